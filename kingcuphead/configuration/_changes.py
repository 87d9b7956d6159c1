"""Build the transaction of a change from what an operator asked for."""

import dataclasses
from collections.abc import Iterator
from typing import TypeAlias

from expression import Error, Ok, Result

from kingcuphead.configuration._rows import (
    HEAD_KEY,
    AcceptedChange,
    Head,
    StoredRecord,
    encode_applied,
    encode_change,
    encode_head,
    encode_stored,
    make_applied_key,
    make_change_key,
    make_record_key,
)
from kingcuphead.configuration._snapshot import Snapshot
from kingcuphead.records import (
    SCHEMA,
    RecordFault,
    RecordName,
    check_configuration,
    decode_record,
)
from kingcuphead.storage import ABSENT, Check, Delete, Put, Transaction

#: Most edits in one change.
EDITS_PER_CHANGE = 500


@dataclasses.dataclass(frozen=True, slots=True)
class PutRecord:
    """Write a record."""

    #: The encoded record.
    content: bytes
    #: Revision of the record that the operator read; `ABSENT` for a new record.
    expected: int


@dataclasses.dataclass(frozen=True, slots=True)
class DeleteRecord:
    """Remove a record."""

    #: Name of the record.
    name: RecordName
    #: Revision of the record that the operator read.
    expected: int


@dataclasses.dataclass(frozen=True, slots=True)
class RaiseSchema:
    """Accept records up to a schema version, once every daemon reads it."""

    #: The schema version.
    schema: int


Edit: TypeAlias = PutRecord | DeleteRecord | RaiseSchema


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """What an operator asks for: all edits take effect together or none does."""

    #: Unique id; a repetition under the same id has no second effect.
    id: str
    #: Operator who asks.
    author: str
    #: Seconds of the Unix epoch.
    at: float
    #: The edits.
    edits: tuple[Edit, ...]
    #: Whether the change was sent before under the same id.
    repeated: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeInvalid:
    """The change can't be accepted as it is."""

    #: Every fault.
    faults: tuple[RecordFault, ...]

    @property
    def message(self) -> str:
        """All faults, one a line."""
        return "\n".join(fault.message for fault in self.faults)


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeConflict:
    """Another change touched a record after the operator had read it."""

    #: The record.
    name: RecordName
    #: Revision of the record that the operator had read.
    expected: int
    #: Revision that it has now; `ABSENT` if it is gone.
    found: int
    #: Revision of the other change, or None if it is no longer known.
    revision: int | None
    #: The other change, once it has been read.
    other: AcceptedChange | None = None

    @property
    def message(self) -> str:
        """The sentence that the operator reads."""
        state = f"is at revision {self.found}" if self.found else "does not exist"
        text = f"{self.name.kind.value} {self.name.name!r} {state}"
        text += f", not at {self.expected}" if self.expected else ", not absent"
        if self.other is None:
            return text
        touched = ", ".join(
            f"{each.kind.value} {each.name}" for each in self.other.names
        )
        head = self.other.head
        return f"{text}: revision {head.revision} by {head.author} touched {touched}"


ChangeFault: TypeAlias = ChangeInvalid | ChangeConflict


def build_change(
    snapshot: Snapshot, change: Change, highest: int = SCHEMA
) -> Result[AcceptedChange, ChangeFault]:
    """Check a change against a snapshot and return it as it would be accepted.

    Parameters
    ----------
    snapshot : Snapshot
        The configuration on which the change builds.
    change : Change
        What the operator asks for.
    highest : int
        Highest schema version that this build reads.

    Returns
    -------
    Result[AcceptedChange, ChangeFault]
        The next revision, or why there is none.
    """
    conflict = next(_find_conflicts(snapshot, change), None)
    if conflict is not None:
        return Error(conflict)
    draft, faults = _draft_change(snapshot, change, highest)
    after = snapshot.with_change(draft)
    faults = (*faults, *check_configuration(after.configuration))
    if faults:
        return Error(ChangeInvalid(faults))
    head = dataclasses.replace(draft.head, fingerprint=after.format_fingerprint())
    return Ok(dataclasses.replace(draft, head=head))


def build_transaction(snapshot: Snapshot, accepted: AcceptedChange) -> Transaction:
    """Return the transaction that puts a change in the table."""
    head = accepted.head
    checks = (
        Check(HEAD_KEY, snapshot.version),
        Check(make_applied_key(head.change), ABSENT),
    )
    rows = (
        Put(HEAD_KEY, encode_head(head)),
        Put(make_change_key(head.revision), encode_change(accepted)),
        Put(make_applied_key(head.change), encode_applied(head.revision)),
    )
    puts = tuple(
        Put(make_record_key(stored.name), encode_stored(stored))
        for stored in accepted.puts
    )
    deletes = tuple(Delete(make_record_key(name)) for name in accepted.deletes)
    return Transaction(checks, (*rows, *deletes, *puts))


def _find_conflicts(snapshot: Snapshot, change: Change) -> Iterator[ChangeConflict]:
    for name, expected in _list_expectations(change):
        found = snapshot.get_revision(name)
        if found != expected:
            revision = found or snapshot.removals.get(name)
            yield ChangeConflict(name, expected, found, revision)


def _list_expectations(change: Change) -> Iterator[tuple[RecordName, int]]:
    for edit in change.edits:
        match edit:
            case PutRecord(content=content, expected=expected):
                # An unreadable record has no name yet; it is refused as invalid.
                decoded = decode_record(content).to_option()
                for record in decoded.to_list():
                    yield StoredRecord(0, content, record).name, expected
            case DeleteRecord(name=name, expected=expected):
                yield name, expected


def _draft_change(
    snapshot: Snapshot, change: Change, highest: int
) -> tuple[AcceptedChange, tuple[RecordFault, ...]]:
    """Return the change without its fingerprint, and the faults of its edits."""
    revision = snapshot.revision + 1
    # The first change fixes what the build that makes it reads.
    schema = snapshot.head.schema if snapshot.revision else highest
    accepted = min(highest, schema)
    puts: list[StoredRecord] = []
    deletes: list[RecordName] = []
    faults = [*_check_edits(change)]
    for edit in change.edits:
        match edit:
            case PutRecord(content=content):
                decoded = decode_record(content, accepted)
                decoded.map_error(faults.append)
                for record in decoded.to_option().to_list():
                    puts.append(StoredRecord(revision, content, record))
            case DeleteRecord(name=name):
                deletes.append(name)
            case RaiseSchema(schema=raised):
                faults.extend(_check_schema(schema, raised, highest))
                schema = raised
    faults.extend(_find_repetitions([*(put.name for put in puts), *deletes]))
    head = Head(revision, change.id, change.author, change.at, schema)
    return AcceptedChange(head, tuple(puts), tuple(deletes)), tuple(faults)


def _check_edits(change: Change) -> Iterator[RecordFault]:
    if not change.edits or len(change.edits) > EDITS_PER_CHANGE:
        problem = f"has {len(change.edits)} edits; allowed are 1 to {EDITS_PER_CHANGE}"
        yield RecordFault("change", change.id, problem)


def _check_schema(current: int, raised: int, highest: int) -> Iterator[RecordFault]:
    if raised <= current:
        problem = f"version {raised} is accepted already; it is never lowered"
        yield RecordFault("schema", "", problem)
    elif raised > highest:
        problem = f"version {raised} is not known to this daemon, which reads {highest}"
        yield RecordFault("schema", "", problem)


def _find_repetitions(names: list[RecordName]) -> Iterator[RecordFault]:
    for name in sorted({name for name in names if names.count(name) > 1}):
        yield RecordFault(name.kind.value, name.name, "is edited twice in one change")

"""Validation of an operator's change and construction of its transaction."""

import dataclasses
from collections.abc import Iterator
from typing import TypeAlias

from expression import Error, Ok, Result

from kingcuphead.configuration._rows import (
    HEAD_KEY,
    AcceptedChange,
    Head,
    StoredRecord,
    encode_change,
    encode_change_id_row,
    encode_head,
    encode_stored,
    make_change_id_key,
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

#: Maximum number of edits in one change.
EDITS_PER_CHANGE = 500


@dataclasses.dataclass(frozen=True, slots=True)
class PutRecord:
    """Create or replace a record."""

    #: Encoded record, at most `RECORD_BYTES` long.
    content: bytes
    #: Revision of the record that the operator read; `ABSENT` for a new record.
    expected: int


@dataclasses.dataclass(frozen=True, slots=True)
class DeleteRecord:
    """Delete a record."""

    #: Kind and name of the record.
    name: RecordName
    #: Revision of the record that the operator read.
    expected: int


@dataclasses.dataclass(frozen=True, slots=True)
class RaiseSchema:
    """Raise the highest accepted schema version.

    Precondition: every daemon of the fleet runs a build that reads the version.
    """

    #: New highest schema version.
    schema: int


Edit: TypeAlias = PutRecord | DeleteRecord | RaiseSchema


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """Atomic change requested by an operator."""

    #: Unique id; a retry with the same id has no second effect.
    id: str
    #: Name of the operator.
    author: str
    #: Time of the request, in seconds since the Unix epoch.
    at: float
    #: Edits, from 1 to `EDITS_PER_CHANGE`; each record at most once.
    edits: tuple[Edit, ...]
    #: Whether the change is a retry, so that an earlier attempt may have succeeded.
    repeated: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeInvalid:
    """The change violates a record schema, a consistency rule or a limit."""

    #: Every fault found, at least one.
    faults: tuple[RecordFault, ...]

    @property
    def message(self) -> str:
        """Error text for operators, with one fault per line."""
        return "\n".join(fault.message for fault in self.faults)


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeConflict:
    """Another change modified a record after the operator read it."""

    #: Kind and name of the record.
    name: RecordName
    #: Revision of the record that the operator read.
    expected: int
    #: Current revision of the record; `ABSENT` if it does not exist.
    found: int
    #: Revision made by the conflicting change, or None if this daemon does not have
    #: it.
    revision: int | None
    #: The conflicting change, or None before it is read.
    other: AcceptedChange | None = None

    @property
    def message(self) -> str:
        """Error text for operators, which names the conflicting change if known."""
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
    snapshot: Snapshot, change: Change, max_schema: int = SCHEMA
) -> Result[AcceptedChange, ChangeFault]:
    """Validate a change against a snapshot and build the accepted change.

    Parameters
    ----------
    snapshot : Snapshot
        Configuration that the change is applied to.
    change : Change
        Change that an operator requested.
    max_schema : int
        Highest schema version that this build reads.

    Returns
    -------
    Result[AcceptedChange, ChangeFault]
        The change as the next revision, or the fault for which it is rejected.
    """
    conflict = next(_iterate_conflicts(snapshot, change), None)
    if conflict is not None:
        return Error(conflict)
    draft, faults = _draft_change(snapshot, change, max_schema)
    after = snapshot.with_change(draft)
    faults = (*faults, *check_configuration(after.configuration))
    if faults:
        return Error(ChangeInvalid(faults))
    head = dataclasses.replace(draft.head, fingerprint=after.format_fingerprint())
    return Ok(dataclasses.replace(draft, head=head))


def build_transaction(snapshot: Snapshot, accepted: AcceptedChange) -> Transaction:
    """Build the transaction that commits a change.

    It checks the version of the head row and that the change id row is absent.
    """
    head = accepted.head
    checks = (
        Check(HEAD_KEY, snapshot.version),
        Check(make_change_id_key(head.change), ABSENT),
    )
    rows = (
        Put(HEAD_KEY, encode_head(head)),
        Put(make_change_key(head.revision), encode_change(accepted)),
        Put(make_change_id_key(head.change), encode_change_id_row(head.revision)),
    )
    puts = tuple(
        Put(make_record_key(stored.name), encode_stored(stored))
        for stored in accepted.puts
    )
    deletes = tuple(Delete(make_record_key(name)) for name in accepted.deletes)
    return Transaction(checks, (*rows, *deletes, *puts))


def _iterate_conflicts(snapshot: Snapshot, change: Change) -> Iterator[ChangeConflict]:
    for name, expected in _iterate_expected_revisions(change):
        found = snapshot.get_revision(name)
        if found != expected:
            revision = found or snapshot.removals.get(name)
            yield ChangeConflict(name, expected, found, revision)


def _iterate_expected_revisions(change: Change) -> Iterator[tuple[RecordName, int]]:
    for edit in change.edits:
        match edit:
            case PutRecord(content=content, expected=expected):
                # A record that can't be decoded has no name; `_draft_change` reports
                # it as invalid.
                decoded = decode_record(content).to_option()
                for record in decoded.to_list():
                    yield StoredRecord(0, content, record).name, expected
            case DeleteRecord(name=name, expected=expected):
                yield name, expected


def _draft_change(
    snapshot: Snapshot, change: Change, max_schema: int
) -> tuple[AcceptedChange, tuple[RecordFault, ...]]:
    """Return the change without its fingerprint, and the faults of its edits."""
    revision = snapshot.revision + 1
    # The first change sets the fleet's schema version to that of the build which
    # makes it.
    schema = snapshot.head.schema if snapshot.revision else max_schema
    accepted_schema = min(max_schema, schema)
    puts: list[StoredRecord] = []
    deletes: list[RecordName] = []
    faults = [*_check_edits(change)]
    for edit in change.edits:
        match edit:
            case PutRecord(content=content):
                decoded = decode_record(content, accepted_schema)
                decoded.map_error(faults.append)
                for record in decoded.to_option().to_list():
                    puts.append(StoredRecord(revision, content, record))
            case DeleteRecord(name=name):
                deletes.append(name)
            case RaiseSchema(schema=raised):
                faults.extend(_check_schema(schema, raised, max_schema))
                schema = raised
    faults.extend(_iterate_duplicate_edits([*(put.name for put in puts), *deletes]))
    head = Head(revision, change.id, change.author, change.at, schema)
    return AcceptedChange(head, tuple(puts), tuple(deletes)), tuple(faults)


def _check_edits(change: Change) -> Iterator[RecordFault]:
    if not change.edits or len(change.edits) > EDITS_PER_CHANGE:
        problem = f"has {len(change.edits)} edits; allowed are 1 to {EDITS_PER_CHANGE}"
        yield RecordFault("change", change.id, problem)


def _check_schema(current: int, raised: int, max_schema: int) -> Iterator[RecordFault]:
    if raised <= current:
        problem = f"version {raised} is already accepted; it is never lowered"
        yield RecordFault("schema", "", problem)
    elif raised > max_schema:
        problem = f"version {raised} is not supported; this daemon reads {max_schema}"
        yield RecordFault("schema", "", problem)


def _iterate_duplicate_edits(names: list[RecordName]) -> Iterator[RecordFault]:
    for name in sorted({name for name in names if names.count(name) > 1}):
        yield RecordFault(name.kind.value, name.name, "is edited twice in one change")

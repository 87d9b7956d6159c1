"""Steps of following the table, one of which may be under way."""

import dataclasses
from typing import TypeAlias

from kingcuphead.configuration._rows import (
    AcceptedChange,
    Head,
    decode_change,
    make_change_key,
)
from kingcuphead.configuration._snapshot import Snapshot
from kingcuphead.records import RecordFault
from kingcuphead.storage import Row

#: Most rows of changes in one read.
CHANGES_PER_READ = 200


@dataclasses.dataclass(frozen=True, slots=True)
class HeadStep:
    """The head row is being read."""

    #: Records of a finished scan, or None if no scan went before.
    scanned: Snapshot | None


@dataclasses.dataclass(frozen=True, slots=True)
class ScanStep:
    """A page of records is being read."""

    #: Head row before the scan, with the records read so far.
    scanned: Snapshot
    #: Key to continue after, or None for the first page.
    after: str | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class ChangesStep:
    """Changes up to the head row are being read."""

    #: Where the changes start from.
    base: Snapshot
    #: The head row.
    head: Head
    #: Version of the head row.
    version: int
    #: When the head row was asked for.
    asked_at: float

    @property
    def last(self) -> int:
        """Last revision of this step."""
        return min(self.head.revision, self.base.revision + CHANGES_PER_READ)

    @property
    def keys(self) -> tuple[str, ...]:
        """Keys of the changes to read."""
        revisions = range(self.base.revision + 1, self.last + 1)
        return tuple(make_change_key(revision) for revision in revisions)

    @property
    def is_final(self) -> bool:
        """Whether the step ends at the head row."""
        return self.last == self.head.revision


Step: TypeAlias = HeadStep | ScanStep | ChangesStep


@dataclasses.dataclass(frozen=True, slots=True)
class Reading:
    """A read under way."""

    #: Number of the read.
    attempt: int
    #: When it was asked for.
    started: float
    #: What it is part of.
    step: Step


@dataclasses.dataclass(frozen=True, slots=True)
class ReplayFault(Exception):
    """Changes that don't lead to a whole configuration."""

    #: Why, in English.
    problem: str


def replay_changes(step: ChangesStep, rows: tuple[Row, ...], schema: int) -> Snapshot:
    """Return the snapshot after the changes of a step.

    Raises
    ------
    ReplayFault
        If a change is missing or unreadable, or the result is not whole.
    """
    ordered = sorted(rows, key=lambda row: row.key)
    if tuple(row.key for row in ordered) != step.keys:
        raise ReplayFault("changes are missing")
    snapshot = step.base
    for row in ordered:
        snapshot = snapshot.with_change(_read_change(row, schema))
    if step.is_final and snapshot.head != step.head:
        raise ReplayFault("the last change and the head row differ")
    if not snapshot.is_whole:
        raise ReplayFault("the records do not match the fingerprint")
    return snapshot.with_version(step.version) if step.is_final else snapshot


def _read_change(row: Row, schema: int) -> AcceptedChange:
    return decode_change(row.value, schema).default_with(_raise_fault)


def _raise_fault(fault: RecordFault) -> AcceptedChange:
    raise ReplayFault(fault.message)

"""Reads that bring a snapshot up to date, and the replay of changes.

A daemon without a snapshot scans all records and then replays the changes since the
scan began. Later it polls the head row and replays newer changes.
"""

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

#: Maximum number of change rows in one read.
CHANGES_PER_READ = 200


@dataclasses.dataclass(frozen=True, slots=True)
class HeadStep:
    """Read of the head row."""

    #: Records of a finished scan, or None for a poll without a scan.
    scanned: Snapshot | None


@dataclasses.dataclass(frozen=True, slots=True)
class ScanStep:
    """Read of one page of record rows."""

    #: Head row as of the start of the scan, with the records read so far.
    scanned: Snapshot
    #: Key after which the page starts, or None for the first page.
    after: str | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class ChangesStep:
    """Read of change rows up to the head row, or the first `CHANGES_PER_READ`."""

    #: Snapshot that the changes are applied to.
    base: Snapshot
    #: Content of the head row.
    head: Head
    #: Version of the head row.
    version: int
    #: Local time in seconds at which the head row was requested.
    requested_at: float

    @property
    def last_revision(self) -> int:
        """Revision of the last change in this step."""
        return min(self.head.revision, self.base.revision + CHANGES_PER_READ)

    @property
    def keys(self) -> tuple[str, ...]:
        """Keys of the change rows to read, in revision order."""
        revisions = range(self.base.revision + 1, self.last_revision + 1)
        return tuple(make_change_key(revision) for revision in revisions)

    @property
    def is_final(self) -> bool:
        """Whether the step reaches the revision of the head row."""
        return self.last_revision == self.head.revision


Step: TypeAlias = HeadStep | ScanStep | ChangesStep


@dataclasses.dataclass(frozen=True, slots=True)
class PendingRead:
    """A read whose reply is outstanding."""

    #: Number of the read, which its reply repeats.
    attempt: int
    #: Local time in seconds at which the read was requested.
    requested_at: float
    #: Step that the read belongs to.
    step: Step


@dataclasses.dataclass(frozen=True, slots=True)
class ReplayFault(Exception):
    """Changes whose replay does not lead to a consistent configuration."""

    #: Description of the error, in English.
    problem: str


def replay_changes(step: ChangesStep, rows: tuple[Row, ...], schema: int) -> Snapshot:
    """Apply the changes of a step and return the resulting snapshot.

    Raises
    ------
    ReplayFault
        If a change row is missing or invalid, or the result is inconsistent.
    """
    ordered = sorted(rows, key=lambda row: row.key)
    if tuple(row.key for row in ordered) != step.keys:
        raise ReplayFault("change rows are missing")
    snapshot = step.base
    for row in ordered:
        snapshot = snapshot.with_change(_read_change(row, schema))
    if step.is_final and snapshot.head != step.head:
        raise ReplayFault("the last change and the head row differ")
    if not snapshot.is_consistent:
        raise ReplayFault("the records do not match the fingerprint")
    return snapshot.with_version(step.version) if step.is_final else snapshot


def _read_change(row: Row, schema: int) -> AcceptedChange:
    return decode_change(row.value, schema).default_with(_raise_fault)


def _raise_fault(fault: RecordFault) -> AcceptedChange:
    raise ReplayFault(fault.message)

"""Messages and effects of the state machine that accepts a change."""

import dataclasses
from typing import TypeAlias

from kingcuphead.configuration._changes import ChangeConflict, ChangeInvalid
from kingcuphead.configuration._snapshot import Snapshot
from kingcuphead.storage import CommitOutcome, Row, Transaction


@dataclasses.dataclass(frozen=True, slots=True)
class SnapshotTaken:
    """A snapshot was confirmed as the newest one after `SnapshotRequested`."""

    #: Configuration in force on this daemon.
    snapshot: Snapshot


@dataclasses.dataclass(frozen=True, slots=True)
class CommitReplied:
    """A commit ended."""

    #: Outcome of the commit, which may be unknown.
    outcome: CommitOutcome


@dataclasses.dataclass(frozen=True, slots=True)
class RowsReplied:
    """A read of rows ended."""

    #: Rows that exist, or None if the read failed.
    rows: tuple[Row, ...] | None


@dataclasses.dataclass(frozen=True, slots=True)
class TimePassed:
    """A `WaitRequested` ended, or the deadline passed."""


AcceptanceMessage: TypeAlias = SnapshotTaken | CommitReplied | RowsReplied | TimePassed


@dataclasses.dataclass(frozen=True, slots=True)
class SnapshotRequested:
    """Reply with `SnapshotTaken` once a snapshot is confirmed after this request."""


@dataclasses.dataclass(frozen=True, slots=True)
class CommitRequested:
    """Commit a transaction and reply with `CommitReplied`."""

    #: Transaction that makes the next revision.
    transaction: Transaction


@dataclasses.dataclass(frozen=True, slots=True)
class RowsRequested:
    """Read rows from one consistent snapshot and reply with `RowsReplied`."""

    #: Keys of the rows, which may be absent.
    keys: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class WaitRequested:
    """Reply with `TimePassed` at the given time."""

    #: Time on the clock that `Acceptance.receive` uses, in seconds.
    until: float


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeAccepted:
    """The change is committed."""

    #: Id of the change.
    change: str
    #: Revision that the change made.
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeRefused:
    """The change is rejected; it has no effect and can't take effect later."""

    #: Reason for the rejection.
    fault: ChangeInvalid | ChangeConflict


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeNotMade:
    """The change is not committed; it has no effect and can't take effect later.

    The table did not reply before the deadline, or the head row changed at each of
    the allowed rebuilds.
    """

    #: Id of the change.
    change: str


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeUncertain:
    """The outcome is unknown; the change can be retried safely with the same id."""

    #: Id of the change.
    change: str


ChangeOutcome: TypeAlias = (
    ChangeAccepted | ChangeRefused | ChangeNotMade | ChangeUncertain
)
AcceptanceEffect: TypeAlias = (
    SnapshotRequested | CommitRequested | RowsRequested | WaitRequested | ChangeOutcome
)

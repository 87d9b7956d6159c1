"""Messages that the machine which accepts a change takes and returns."""

import dataclasses
from typing import TypeAlias

from kingcuphead.configuration._changes import ChangeConflict, ChangeInvalid
from kingcuphead.configuration._snapshot import Snapshot
from kingcuphead.storage import CommitOutcome, Row, Transaction


@dataclasses.dataclass(frozen=True, slots=True)
class SnapshotTaken:
    """The newest configuration that this daemon could read."""

    #: The configuration.
    snapshot: Snapshot


@dataclasses.dataclass(frozen=True, slots=True)
class CommitReplied:
    """The table answered a commit."""

    #: The answer.
    outcome: CommitOutcome


@dataclasses.dataclass(frozen=True, slots=True)
class RowsReplied:
    """The table answered a read."""

    #: The rows, or None if the read failed.
    rows: tuple[Row, ...] | None


@dataclasses.dataclass(frozen=True, slots=True)
class TimePassed:
    """A wait ended, or the deadline came."""


AcceptanceMessage: TypeAlias = SnapshotTaken | CommitReplied | RowsReplied | TimePassed


@dataclasses.dataclass(frozen=True, slots=True)
class SnapshotRequested:
    """Answer with a snapshot that was confirmed after this request."""


@dataclasses.dataclass(frozen=True, slots=True)
class CommitWanted:
    """Commit a transaction and answer with `CommitReplied`."""

    #: The transaction.
    transaction: Transaction


@dataclasses.dataclass(frozen=True, slots=True)
class RowsWanted:
    """Read rows at one moment and answer with `RowsReplied`."""

    #: Keys of the rows.
    keys: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class WaitWanted:
    """Answer with `TimePassed` at a time."""

    #: The time.
    until: float


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeAccepted:
    """The change is in the table."""

    #: The change.
    change: str
    #: The revision that it made.
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeRefused:
    """The change certainly has no effect and never will."""

    #: Why.
    fault: ChangeInvalid | ChangeConflict


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeNotMade:
    """The table was not reached in time; the change certainly has no effect."""

    #: The change.
    change: str


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeUncertain:
    """The change may or may not have taken effect; repeat it under the same id."""

    #: The change.
    change: str


ChangeOutcome: TypeAlias = (
    ChangeAccepted | ChangeRefused | ChangeNotMade | ChangeUncertain
)
AcceptanceEffect: TypeAlias = (
    SnapshotRequested | CommitWanted | RowsWanted | WaitWanted | ChangeOutcome
)

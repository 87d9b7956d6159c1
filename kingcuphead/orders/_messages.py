"""Orders, and the messages and effects of the state machine that dispatches them."""

import dataclasses
import enum
from typing import TypeAlias

from kingcuphead.storage import CommitOutcome, Row, Transaction


@dataclasses.dataclass(frozen=True, slots=True)
class LoadModel:
    """Load one version of a model in addition to those already loaded."""

    #: Name of the model.
    model: str
    #: Version of the model weights.
    version: str


@dataclasses.dataclass(frozen=True, slots=True)
class LoadAdapter:
    """Load an adapter in addition to those already loaded."""

    #: Name of the base model.
    model: str
    #: Name of the adapter.
    adapter: str
    #: Version of the adapter weights.
    version: str


@dataclasses.dataclass(frozen=True, slots=True)
class UnloadModel:
    """Unload one version of a model."""

    #: Name of the model.
    model: str
    #: Version of the model weights.
    version: str


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeRole:
    """Change the role of an engine, for example to prefill or decode."""

    #: Name of the new role.
    role: str


Order: TypeAlias = LoadModel | LoadAdapter | UnloadModel | ChangeRole


def is_commutative(order: Order) -> bool:
    """Return whether an order is safe to execute late, twice or out of order."""
    match order:
        case LoadModel() | LoadAdapter():
            return True
        case UnloadModel() | ChangeRole():
            return False


class EngineReply(enum.Enum):
    """Reply of an engine to an order."""

    #: The order was executed.
    DONE = enum.auto()
    #: Refused: the engine has received a higher fencing number.
    OLD_NUMBER = enum.auto()
    #: No reply was received; the order may have been executed.
    UNKNOWN = enum.auto()


@dataclasses.dataclass(frozen=True, slots=True)
class RowReplied:
    """The read of an order row ended."""

    #: Whether the read succeeded.
    read: bool
    #: The row, or None if it does not exist.
    row: Row | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class CommitReplied:
    """The commit of an order row ended."""

    #: The outcome, which may be unknown.
    outcome: CommitOutcome


@dataclasses.dataclass(frozen=True, slots=True)
class EngineReplied:
    """The exchange with the engine about an order ended."""

    #: The reply, `UNKNOWN` if none was received.
    reply: EngineReply


@dataclasses.dataclass(frozen=True, slots=True)
class TimePassed:
    """The requested wait ended, or the deadline passed."""


DispatchMessage: TypeAlias = RowReplied | CommitReplied | EngineReplied | TimePassed


@dataclasses.dataclass(frozen=True, slots=True)
class RowWanted:
    """Read the target's order row; the reply is `RowReplied`."""

    #: Key of the row in the platform's table.
    key: str


@dataclasses.dataclass(frozen=True, slots=True)
class CommitWanted:
    """Commit a transaction; the reply is `CommitReplied`."""

    #: Write of the order row, conditional on the version that was read.
    transaction: Transaction


@dataclasses.dataclass(frozen=True, slots=True)
class SendOrder:
    """Send an order to the engine; the reply is `EngineReplied`."""

    #: Name of the target.
    target: str
    #: Fencing number to send with the order.
    number: int
    #: Order to send.
    order: Order


@dataclasses.dataclass(frozen=True, slots=True)
class WaitWanted:
    """Wait until a time; the reply is `TimePassed`."""

    #: End of the wait, in seconds on the clock of `receive`.
    until: float


@dataclasses.dataclass(frozen=True, slots=True)
class OrderDone:
    """The engine executed the order."""

    #: Fencing number of the order.
    number: int


@dataclasses.dataclass(frozen=True, slots=True)
class OrderRefused:
    """The order is unsafe for the target and is never sent."""

    #: Cause, in English.
    problem: str


@dataclasses.dataclass(frozen=True, slots=True)
class OrderSuperseded:
    """A newer order to the same target superseded this one."""

    #: Fencing number of this order, or None if it was not assigned one.
    number: int | None


@dataclasses.dataclass(frozen=True, slots=True)
class OrderUncertain:
    """The deadline passed before the engine replied; the order may be executed."""

    #: Fencing number of the order, or None if it is unknown.
    number: int | None


DispatchOutcome: TypeAlias = OrderDone | OrderRefused | OrderSuperseded | OrderUncertain
DispatchEffect: TypeAlias = (
    RowWanted | CommitWanted | SendOrder | WaitWanted | DispatchOutcome
)

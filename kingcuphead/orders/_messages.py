"""Orders, and the messages of the machine that dispatches one."""

import dataclasses
import enum
from typing import TypeAlias

from kingcuphead.storage import CommitOutcome, Row, Transaction


@dataclasses.dataclass(frozen=True, slots=True)
class LoadModel:
    """Load one version of a model beside what is loaded already."""

    #: Model name.
    model: str
    #: Version of its weights.
    version: str


@dataclasses.dataclass(frozen=True, slots=True)
class LoadAdapter:
    """Load an adapter beside what is loaded already."""

    #: Model that it adapts.
    model: str
    #: Adapter name.
    adapter: str
    #: Version of its weights.
    version: str


@dataclasses.dataclass(frozen=True, slots=True)
class UnloadModel:
    """Remove one version of a model."""

    #: Model name.
    model: str
    #: Version of its weights.
    version: str


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeRole:
    """Change what an engine does, for example prefill or decode."""

    #: The role.
    role: str


Order: TypeAlias = LoadModel | LoadAdapter | UnloadModel | ChangeRole


def is_commutative(order: Order) -> bool:
    """Return whether an order may arrive late, twice or out of order."""
    match order:
        case LoadModel() | LoadAdapter():
            return True
        case UnloadModel() | ChangeRole():
            return False


class EngineReply(enum.Enum):
    """What an engine answers to an order."""

    #: The order was carried out.
    DONE = enum.auto()
    #: The engine has seen a higher fencing number.
    OLD_NUMBER = enum.auto()
    #: No answer came: the order may or may not have been carried out.
    UNKNOWN = enum.auto()


@dataclasses.dataclass(frozen=True, slots=True)
class RowReplied:
    """The table answered a read."""

    #: Whether the read succeeded.
    read: bool
    #: The row, or None where there is none.
    row: Row | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class CommitReplied:
    """The table answered a commit."""

    #: The answer.
    outcome: CommitOutcome


@dataclasses.dataclass(frozen=True, slots=True)
class EngineReplied:
    """The engine answered an order, or did not."""

    #: The answer.
    reply: EngineReply


@dataclasses.dataclass(frozen=True, slots=True)
class TimePassed:
    """A wait ended, or the deadline came."""


DispatchMessage: TypeAlias = RowReplied | CommitReplied | EngineReplied | TimePassed


@dataclasses.dataclass(frozen=True, slots=True)
class RowWanted:
    """Read the target's order row and answer with `RowReplied`."""

    #: Key of the row.
    key: str


@dataclasses.dataclass(frozen=True, slots=True)
class CommitWanted:
    """Commit a transaction and answer with `CommitReplied`."""

    #: The transaction.
    transaction: Transaction


@dataclasses.dataclass(frozen=True, slots=True)
class SendOrder:
    """Send an order to the engine and answer with `EngineReplied`."""

    #: Target name.
    target: str
    #: Fencing number, to be sent with the order.
    number: int
    #: The order.
    order: Order


@dataclasses.dataclass(frozen=True, slots=True)
class WaitWanted:
    """Answer with `TimePassed` at a time."""

    #: The time.
    until: float


@dataclasses.dataclass(frozen=True, slots=True)
class OrderDone:
    """The engine carried the order out."""

    #: Its fencing number.
    number: int


@dataclasses.dataclass(frozen=True, slots=True)
class OrderRefused:
    """The order was not sent and never will be."""

    #: Why, in English.
    problem: str


@dataclasses.dataclass(frozen=True, slots=True)
class OrderSuperseded:
    """A newer order to the same target came first."""

    #: Fencing number of this order, or None if it never had one.
    number: int | None


@dataclasses.dataclass(frozen=True, slots=True)
class OrderUncertain:
    """The deadline came before the engine answered."""

    #: Fencing number of the order, or None if none is known.
    number: int | None


DispatchOutcome: TypeAlias = OrderDone | OrderRefused | OrderSuperseded | OrderUncertain
DispatchEffect: TypeAlias = (
    RowWanted | CommitWanted | SendOrder | WaitWanted | DispatchOutcome
)

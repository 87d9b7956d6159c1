"""Messages between the daemon and its budget machines."""

import dataclasses
from typing import TypeAlias

from kingcuphead.budgets._peer_messages import PeerMessage
from kingcuphead.records import BudgetPolicy
from kingcuphead.storage import CommitOutcome, Row, ScanPage, Transaction
from kingcuphead.verdict import Verdict


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """One live daemon."""

    #: Instance name.
    name: str
    #: Availability zone.
    zone: str
    #: Region.
    region: str


@dataclasses.dataclass(frozen=True, slots=True)
class ViewChanged:
    """The membership as this daemon believes it, itself included."""

    #: Live daemons in any order.
    members: tuple[Member, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class HoldRequested:
    """A request needs credit before it is dispatched."""

    #: Unique for each try of a request on this daemon.
    hold_id: str
    #: Identifies the request across retries; scoped by organisation.
    request_id: str
    #: Budget name.
    budget: str
    #: Organisation that asks.
    organisation: str
    #: Upper bound on the cost, in tokens.
    tokens: int
    #: Policy of the budget.
    policy: BudgetPolicy
    #: Monotonic time in seconds after which an answer is of no use.
    deadline: float


@dataclasses.dataclass(frozen=True, slots=True)
class HoldReleased:
    """Nothing of the request can have run, or its caller left while it waited."""

    #: The hold.
    hold_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class HoldSettled:
    """The request ended; its usage is billed."""

    #: The hold.
    hold_id: str
    #: Tokens of the prompt, as reported by the engine.
    prompt_tokens: int
    #: Tokens generated, as reported by the engine.
    completion_tokens: int
    #: Whether the usage is known; otherwise the upper bound is charged.
    measured: bool
    #: Seconds since the epoch.
    settled_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class SurrenderStarted:
    """An operator starts to collect surrenders of a grant."""

    #: Budget name.
    budget: str
    #: Grant of a terminated instance.
    grant_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class Ticked:
    """Time passed; sent several times a second."""


@dataclasses.dataclass(frozen=True, slots=True)
class ShutdownStarted:
    """The daemon takes no new holds, gives credit back and commits its bills."""


@dataclasses.dataclass(frozen=True, slots=True)
class CommitFinished:
    """Answer to `CommitRequested`."""

    #: Token of the request.
    token: int
    #: What became of the transaction.
    outcome: CommitOutcome


@dataclasses.dataclass(frozen=True, slots=True)
class RowsRead:
    """Answer to `ReadRequested`."""

    #: Token of the request.
    token: int
    #: The rows that exist, or None if the table was not reached.
    rows: tuple[Row, ...] | None


@dataclasses.dataclass(frozen=True, slots=True)
class RowsScanned:
    """Answer to `ScanRequested`."""

    #: Token of the request.
    token: int
    #: One page, or None if the table was not reached.
    page: ScanPage | None


#: Messages from the daemon itself.
LocalInput: TypeAlias = (
    ViewChanged
    | HoldRequested
    | HoldReleased
    | HoldSettled
    | SurrenderStarted
    | Ticked
    | ShutdownStarted
    | CommitFinished
    | RowsRead
    | RowsScanned
)


@dataclasses.dataclass(frozen=True, slots=True)
class SendToPeer:
    """Send a message; it may be lost, repeated or reordered."""

    #: Instance name.
    instance: str
    #: The message.
    message: PeerMessage


@dataclasses.dataclass(frozen=True, slots=True)
class CommitRequested:
    """Commit a transaction and answer with `CommitFinished`."""

    #: Matches the answer to the request.
    token: int
    #: The transaction.
    transaction: Transaction


@dataclasses.dataclass(frozen=True, slots=True)
class ReadRequested:
    """Read rows and answer with `RowsRead`."""

    #: Matches the answer to the request.
    token: int
    #: Keys of the rows.
    keys: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ScanRequested:
    """Scan rows and answer with `RowsScanned`."""

    #: Matches the answer to the request.
    token: int
    #: Prefix of the keys.
    prefix: str
    #: Key to start after.
    after: str | None
    #: Most rows in the answer.
    limit: int


@dataclasses.dataclass(frozen=True, slots=True)
class HoldGranted:
    """The request may be dispatched."""

    #: The hold.
    hold_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class HoldRefused:
    """The request must not be dispatched."""

    #: The hold.
    hold_id: str
    #: Why, and when to come back.
    verdict: Verdict


@dataclasses.dataclass(frozen=True, slots=True)
class BillSafe:
    """The bill survives the loss of this daemon; the answer's end may be sent."""

    #: The hold that was settled.
    hold_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class FaultReported:
    """Something for the log and for a counter."""

    #: Kind of fault, for example "usage_above_bound".
    kind: str
    #: Budget name.
    budget: str
    #: Detail in English.
    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class SurrenderReported:
    """Progress of a collection of surrenders."""

    #: Budget name.
    budget: str
    #: The grant.
    grant_id: str
    #: Instances that hold nothing of the grant any more and never will.
    surrendered: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ShutdownFinished:
    """No bill, hold or grant is left here; the daemon may exit."""


#: Messages to the daemon.
Effect: TypeAlias = (
    SendToPeer
    | CommitRequested
    | ReadRequested
    | ScanRequested
    | HoldGranted
    | HoldRefused
    | BillSafe
    | FaultReported
    | SurrenderReported
    | ShutdownFinished
)

#: Everything that a ledger takes.
Input: TypeAlias = LocalInput | PeerMessage

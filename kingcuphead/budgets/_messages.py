"""Messages between a daemon and its budget state machines."""

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
    """Replaces the membership view of this daemon, which includes itself."""

    #: Daemons that the view lists as live, in any order.
    members: tuple[Member, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class HoldRequested:
    """Requests a hold for a request that is not dispatched yet."""

    #: Unique for each attempt of a request on this daemon.
    hold_id: str
    #: Identifies the request across retries; scoped by organisation.
    request_id: str
    #: Budget name.
    budget: str
    #: Organisation that sent the request.
    organisation: str
    #: Upper bound on the cost of the request, in tokens.
    tokens: int
    #: Policy of the budget.
    policy: BudgetPolicy
    #: Monotonic time in seconds at which a hold that still waits is refused.
    deadline: float


@dataclasses.dataclass(frozen=True, slots=True)
class HoldReleased:
    """Ends a hold without a bill.

    Sent if no part of the request can have run, or if the caller left while the hold
    waited for credit.
    """

    #: Id of the hold.
    hold_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class HoldSettled:
    """Ends a hold with a bill for the usage of the request."""

    #: Id of the hold.
    hold_id: str
    #: Tokens of the prompt, as reported by the engine.
    prompt_tokens: int
    #: Tokens generated, as reported by the engine.
    completion_tokens: int
    #: Whether the engine reported the usage; otherwise the upper bound is charged.
    measured: bool
    #: Time of the settlement in seconds since the epoch.
    settled_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class SurrenderStarted:
    """Starts to collect the surrenders of a grant, on behalf of an operator.

    An instance surrenders a grant by ceasing for good to spend credit lent from it.
    """

    #: Budget name.
    budget: str
    #: Id of a grant whose holder is terminated.
    grant_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class Ticked:
    """Triggers retries, timeouts and flushes; sent several times a second."""


@dataclasses.dataclass(frozen=True, slots=True)
class ShutdownStarted:
    """Stops new holds, returns credit and grants, and commits the open bills."""


@dataclasses.dataclass(frozen=True, slots=True)
class CommitFinished:
    """Reply to `CommitRequested`."""

    #: Token of the `CommitRequested`.
    token: int
    #: Outcome of the transaction.
    outcome: CommitOutcome


@dataclasses.dataclass(frozen=True, slots=True)
class RowsRead:
    """Reply to `ReadRequested`."""

    #: Token of the `ReadRequested`.
    token: int
    #: The rows that exist, or None if the read failed.
    rows: tuple[Row, ...] | None


@dataclasses.dataclass(frozen=True, slots=True)
class RowsScanned:
    """Reply to `ScanRequested`."""

    #: Token of the `ScanRequested`.
    token: int
    #: One page of rows, or None if the scan failed.
    page: ScanPage | None


#: Inputs from the daemon itself, as opposed to its peers.
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
    """Sends a message to a peer; it may be lost, repeated or reordered."""

    #: Name of the receiving instance.
    instance: str
    #: The message to send.
    message: PeerMessage


@dataclasses.dataclass(frozen=True, slots=True)
class CommitRequested:
    """Commits a transaction; the reply is `CommitFinished`."""

    #: Repeated in the reply.
    token: int
    #: Transaction on the platform's table.
    transaction: Transaction


@dataclasses.dataclass(frozen=True, slots=True)
class ReadRequested:
    """Reads rows; the reply is `RowsRead`."""

    #: Repeated in the reply.
    token: int
    #: Keys of the rows to read.
    keys: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ScanRequested:
    """Scans rows in key order; the reply is `RowsScanned`."""

    #: Repeated in the reply.
    token: int
    #: Prefix of the keys to scan.
    prefix: str
    #: Key after which the scan starts, None for the first key.
    after: str | None
    #: Maximum number of rows in the reply.
    limit: int


@dataclasses.dataclass(frozen=True, slots=True)
class HoldGranted:
    """Reports that a hold is covered, so that the request may be dispatched."""

    #: Id of the hold.
    hold_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class HoldRefused:
    """Reports that a hold is refused, so that the request must not be dispatched."""

    #: Id of the hold.
    hold_id: str
    #: Reason of the refusal and delay until a retry.
    verdict: Verdict


@dataclasses.dataclass(frozen=True, slots=True)
class BillSafe:
    """Reports that a bill survives the loss of this daemon.

    The end of the answer may be sent to the caller from now on.
    """

    #: Id of the hold that was settled.
    hold_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class FaultReported:
    """Reports a fault to be logged and counted."""

    #: Kind of fault, for example "usage_above_bound".
    kind: str
    #: Budget name.
    budget: str
    #: Description in English with the values concerned.
    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class SurrenderReported:
    """Reports the progress of a collection of surrenders."""

    #: Budget name.
    budget: str
    #: Id of the grant.
    grant_id: str
    #: Names of the instances that surrendered and hold no token of the grant.
    surrendered: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ShutdownFinished:
    """Reports that no bill, hold or grant is left, so that the daemon may exit."""


#: Effects that the daemon carries out.
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

#: Inputs of a ledger: from its daemon and from peers.
Input: TypeAlias = LocalInput | PeerMessage

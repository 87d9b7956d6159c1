"""Messages between the budget state machines of different daemons.

An incarnation is named "instance/incarnation"; its name is also the id of its grant
in each budget. Totals are cumulative and never decrease, so that lost, repeated and
reordered messages do not duplicate credit.
"""

import dataclasses
import enum
from typing import TypeAlias

from kingcuphead.budgets._rows import Bill
from kingcuphead.records import BudgetPolicy


class Denial(enum.StrEnum):
    """Reason why a home denies a credit request."""

    #: Every token is settled or held for a running request.
    EXHAUSTED = "exhausted"
    #: Other daemons may have idle credit but have not answered a recall.
    UNPROVEN = "unproven"
    #: The table is unreachable, or the home is shutting down.
    UNREACHABLE = "unreachable"


@dataclasses.dataclass(frozen=True, slots=True)
class CreditRequested:
    """Requests the home to increase the credit line of a borrower."""

    #: Incarnation of the borrower.
    sender: str
    #: Budget name.
    budget: str
    #: Incarnation of the lender that the totals refer to, "" if it is unknown.
    lender: str
    #: Tokens received on the credit line so far.
    received_total: int
    #: Tokens returned on the credit line so far.
    returned_total: int
    #: Additional tokens that the first waiting hold needs, 0 if none waits.
    needed: int
    #: Additional tokens that all waiting holds need.
    queued: int
    #: Additional tokens for waiting holds and the buffer; no buffer is
    #: lent while the budget is scarce.
    wanted: int
    #: Number of the request for this budget; a denial repeats it.
    sequence: int
    #: Policy of the budget.
    policy: BudgetPolicy


@dataclasses.dataclass(frozen=True, slots=True)
class CreditLent:
    """Reports the state of a credit line after a loan or a return."""

    #: Incarnation of the lender.
    sender: str
    #: Incarnation of the borrower.
    borrower: str
    #: Budget name.
    budget: str
    #: Tokens lent on the credit line so far.
    lent_total: int
    #: Returned tokens that the lender has received so far.
    returned_total: int
    #: Whether the budget is scarce, so that idle credit must be returned at once.
    scarce: bool


@dataclasses.dataclass(frozen=True, slots=True)
class CreditDenied:
    """Denies a credit request."""

    #: Incarnation of the home.
    sender: str
    #: Budget name.
    budget: str
    #: Number of the denied request.
    sequence: int
    #: Reason of the denial.
    denial: Denial
    #: Seconds after which a retry may succeed.
    retry_after: float


@dataclasses.dataclass(frozen=True, slots=True)
class CreditReturned:
    """Reports that a borrower returned credit, which it has already debited.

    Also sent without a return, as the reply to a recall.
    """

    #: Incarnation of the borrower.
    sender: str
    #: Budget name.
    budget: str
    #: Incarnation of the lender.
    lender: str
    #: Tokens received on the credit line so far.
    received_total: int
    #: Tokens returned on the credit line so far.
    returned_total: int
    #: Highest number of a recall answered on this credit line, 0 if none.
    recall: int


@dataclasses.dataclass(frozen=True, slots=True)
class CreditRecalled:
    """Recalls the idle credit of a borrower."""

    #: Incarnation of the lender.
    sender: str
    #: Incarnation of the borrower.
    borrower: str
    #: Budget name.
    budget: str
    #: Tokens lent on the credit line so far, in case a loan message was lost.
    lent_total: int
    #: Number of the recall; the reply repeats it.
    recall: int


@dataclasses.dataclass(frozen=True, slots=True)
class GrantRecalled:
    """Recalls the idle part of the grant of another holder."""

    #: Incarnation of the home that lacks credit.
    sender: str
    #: Budget name.
    budget: str


@dataclasses.dataclass(frozen=True, slots=True)
class GrantYielded:
    """Replies to a recall of a grant.

    The shard row already includes what the holder yielded.
    """

    #: Incarnation of the holder.
    sender: str
    #: Budget name.
    budget: str


@dataclasses.dataclass(frozen=True, slots=True)
class BillsSubmitted:
    """Submits bills to the home of their shard."""

    #: Incarnation that submits the bills, the borrower or a replica holder.
    sender: str
    #: Bills to commit, all of one shard.
    bills: tuple[Bill, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class BillsAccepted:
    """Acknowledges bills that the home keeps in memory until it commits them."""

    #: Incarnation of the home.
    sender: str
    #: Ids of the accepted bills.
    bill_ids: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class BillsCommitted:
    """Reports that bills are in the table."""

    #: Incarnation of the home.
    sender: str
    #: Ids of the committed bills.
    bill_ids: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class BillsDuplicated:
    """Reports that another bill of each request is in the table.

    The credit of the duplicate bills becomes free.
    """

    #: Incarnation of the home.
    sender: str
    #: Ids of the duplicate bills.
    bill_ids: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class BillsRejected:
    """Reports that the grants do not cover the bills, for example after a release."""

    #: Incarnation of the home.
    sender: str
    #: Ids of the rejected bills.
    bill_ids: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class BillsCopied:
    """Sends bill replicas to a daemon in another zone."""

    #: Incarnation of the borrower.
    sender: str
    #: Bills to hold until they are committed.
    bills: tuple[Bill, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class BillCopiesAcknowledged:
    """Acknowledges that the replica holder stores bill replicas."""

    #: Incarnation of the replica holder.
    sender: str
    #: Ids of the replicated bills.
    bill_ids: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class BillCopiesDropped:
    """Drops bill replicas that the borrower no longer needs at the receiver."""

    #: Incarnation of the borrower.
    sender: str
    #: Ids of the bills whose replicas are dropped.
    bill_ids: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class SurrenderRequested:
    """Requests a daemon to cease for good to spend credit lent from a grant.

    An operator starts it before the grant is released.
    """

    #: Incarnation that collects the replies.
    sender: str
    #: Budget name.
    budget: str
    #: Id of a grant whose holder is terminated.
    grant_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class Surrendered:
    """Reply to `SurrenderRequested`."""

    #: Incarnation that replies.
    sender: str
    #: Budget name.
    budget: str
    #: Id of the grant.
    grant_id: str
    #: Tokens of the grant in open holds and uncommitted bills, 0 if there are none.
    outstanding: int


#: Messages between the ledgers of daemons.
PeerMessage: TypeAlias = (
    CreditRequested
    | CreditLent
    | CreditDenied
    | CreditReturned
    | CreditRecalled
    | GrantRecalled
    | GrantYielded
    | BillsSubmitted
    | BillsAccepted
    | BillsCommitted
    | BillsDuplicated
    | BillsRejected
    | BillsCopied
    | BillCopiesAcknowledged
    | BillCopiesDropped
    | SurrenderRequested
    | Surrendered
)

"""Messages between the budget machines of different daemons.

Incarnations are named "instance/incarnation"; the same text is the id of the grant
that an incarnation holds in each of its budgets. Totals are cumulative and never
decrease, so lost, repeated and reordered messages never copy credit.
"""

import dataclasses
import enum
from typing import TypeAlias

from kingcuphead.budgets._rows import Bill
from kingcuphead.records import BudgetPolicy


class Denial(enum.StrEnum):
    """Why a home lends nothing."""

    #: Every token is billed or covers a request that is being served.
    EXHAUSTED = "exhausted"
    #: Others hold credit that they have not answered for.
    UNPROVEN = "unproven"
    #: The table was not reached, or the home is shutting down.
    UNREACHABLE = "unreachable"


@dataclasses.dataclass(frozen=True, slots=True)
class CreditRequested:
    """A borrower asks the home to raise its credit line."""

    #: Incarnation of the borrower.
    sender: str
    #: Budget name.
    budget: str
    #: Incarnation of the lender that the totals refer to, "" if none is known.
    lender: str
    #: Tokens received on the line so far.
    received_total: int
    #: Tokens returned on the line so far.
    returned_total: int
    #: Additional tokens that the first waiting hold needs, 0 if none waits.
    needed: int
    #: Additional tokens that all waiting holds need.
    queued: int
    #: Additional tokens wanted where the budget is plentiful.
    wanted: int
    #: Number of the request on this line; answers repeat it.
    sequence: int
    #: Policy of the budget.
    policy: BudgetPolicy


@dataclasses.dataclass(frozen=True, slots=True)
class CreditLent:
    """State of a credit line after a loan or a return."""

    #: Incarnation of the lender.
    sender: str
    #: Incarnation of the borrower.
    borrower: str
    #: Budget name.
    budget: str
    #: Tokens lent on the line so far.
    lent_total: int
    #: Tokens that the lender has seen returned so far.
    returned_total: int
    #: Whether the budget runs low, so that idle credit is to be returned at once.
    scarce: bool


@dataclasses.dataclass(frozen=True, slots=True)
class CreditDenied:
    """The home cannot lend what was needed."""

    #: Incarnation of the home.
    sender: str
    #: Budget name.
    budget: str
    #: Number of the request that is denied.
    sequence: int
    #: Why.
    denial: Denial
    #: Seconds after which another try may succeed.
    retry_after: float


@dataclasses.dataclass(frozen=True, slots=True)
class CreditReturned:
    """A borrower gave credit back, having debited it first."""

    #: Incarnation of the borrower.
    sender: str
    #: Budget name.
    budget: str
    #: Incarnation of the lender.
    lender: str
    #: Tokens received on the line so far.
    received_total: int
    #: Tokens returned on the line so far.
    returned_total: int
    #: Highest number of a recall that was answered on this line, 0 if none.
    recall: int


@dataclasses.dataclass(frozen=True, slots=True)
class CreditRecalled:
    """A lender asks for idle credit back."""

    #: Incarnation of the lender.
    sender: str
    #: Incarnation of the borrower.
    borrower: str
    #: Budget name.
    budget: str
    #: Tokens lent on the line so far; tells the borrower of a lost loan.
    lent_total: int
    #: Number of the recall; the answer repeats it.
    recall: int


@dataclasses.dataclass(frozen=True, slots=True)
class GrantRecalled:
    """A home asks another holder of a grant to give back what is idle."""

    #: Incarnation of the home that runs low.
    sender: str
    #: Budget name.
    budget: str


@dataclasses.dataclass(frozen=True, slots=True)
class GrantYielded:
    """A holder has answered a recall; the shard row shows what it gave back."""

    #: Incarnation of the holder.
    sender: str
    #: Budget name.
    budget: str


@dataclasses.dataclass(frozen=True, slots=True)
class BillsSubmitted:
    """Bills for the home to commit."""

    #: Incarnation that submits them, the borrower or its witness.
    sender: str
    #: The bills, all of one shard.
    bills: tuple[Bill, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class BillsAccepted:
    """The home keeps the bills in memory and will commit them."""

    #: Incarnation of the home.
    sender: str
    #: Ids of the bills.
    bill_ids: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class BillsCommitted:
    """The bills are in the table."""

    #: Incarnation of the home.
    sender: str
    #: Ids of the bills.
    bill_ids: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class BillsDuplicated:
    """Another bill of each request is in the table; the credit is free again."""

    #: Incarnation of the home.
    sender: str
    #: Ids of the bills that were dropped.
    bill_ids: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class BillsRejected:
    """The grant no longer covers the bills, for example after its release."""

    #: Incarnation of the home.
    sender: str
    #: Ids of the bills.
    bill_ids: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class BillsCopied:
    """Bills for a witness in another zone to keep until they are committed."""

    #: Incarnation of the borrower.
    sender: str
    #: The bills.
    bills: tuple[Bill, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class BillCopiesAcknowledged:
    """The witness keeps the bills."""

    #: Incarnation of the witness.
    sender: str
    #: Ids of the bills.
    bill_ids: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class BillCopiesDropped:
    """The bills are settled for good; the witness may forget them."""

    #: Incarnation of the borrower.
    sender: str
    #: Ids of the bills.
    bill_ids: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class SurrenderRequested:
    """An operator wants every daemon to give up credit on a grant for good."""

    #: Incarnation that collects the answers.
    sender: str
    #: Budget name.
    budget: str
    #: Grant of a terminated instance.
    grant_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class Surrendered:
    """Answer to a request for surrender."""

    #: Incarnation that answers.
    sender: str
    #: Budget name.
    budget: str
    #: The grant.
    grant_id: str
    #: Tokens of the grant still held or billed but not committed; 0 if none.
    outstanding: int


#: Messages between daemons.
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

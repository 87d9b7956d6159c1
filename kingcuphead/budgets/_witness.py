"""Keeps copies of the bills of daemons in other zones."""

import dataclasses
from collections.abc import Iterator

from kingcuphead.budgets._messages import SendToPeer
from kingcuphead.budgets._outbox import sum_bills
from kingcuphead.budgets._peer_messages import (
    BillCopiesAcknowledged,
    BillCopiesDropped,
    BillsCopied,
    BillsSubmitted,
)
from kingcuphead.budgets._routing import Routing, get_instance
from kingcuphead.budgets._rows import Bill, compute_shard
from kingcuphead.budgets._settings import Settings


@dataclasses.dataclass(frozen=True, slots=True)
class Copy:
    """A bill kept for another daemon."""

    #: The bill.
    bill: Bill
    #: Monotonic time in seconds at which the borrower was last known to be live.
    live_at: float
    #: Monotonic time in seconds at which the copy arrived or was last submitted.
    sent_at: float


@dataclasses.dataclass(slots=True)
class Witness:
    """Submits the bills of borrowers that are gone."""

    #: This incarnation.
    incarnation: str
    #: Settings.
    settings: Settings
    #: Beliefs about the other daemons.
    routing: Routing
    #: Copies by bill id.
    copies: dict[str, Copy] = dataclasses.field(default_factory=dict)
    #: Whether the daemon is shutting down.
    closing: bool = False

    def keep(self, message: BillsCopied, now: float) -> Iterator[SendToPeer]:
        """Keep copies and acknowledge them."""
        for bill in message.bills:
            self.copies.setdefault(bill.bill_id, Copy(bill, now, now))
        ids = tuple(bill.bill_id for bill in message.bills)
        answer = BillCopiesAcknowledged(self.incarnation, ids)
        yield SendToPeer(get_instance(message.sender), answer)

    def drop(self, message: BillCopiesDropped) -> None:
        """Forget copies that the borrower no longer needs."""
        self.forget(message.bill_ids)

    def forget(self, bill_ids: tuple[str, ...]) -> None:
        """Forget copies of bills whose fate is in the table."""
        for bill_id in bill_ids:
            self.copies.pop(bill_id, None)

    def tick(self, now: float) -> Iterator[SendToPeer]:
        """Submit the copies that nobody else may submit."""
        for bill_id, copy in list(self.copies.items()):
            if get_instance(copy.bill.borrower) in self.routing.members:
                copy = dataclasses.replace(copy, live_at=now)
            if self.is_due(copy, now):
                copy = dataclasses.replace(copy, sent_at=now)
                yield self.build_submission(copy.bill, now)
            self.copies[bill_id] = copy

    def is_due(self, copy: Copy, now: float) -> bool:
        """Return whether a copy has to be submitted from here."""
        gone = now - copy.live_at >= self.settings.witness_grace or self.closing
        settings = self.settings
        wait = settings.resend_interval if gone else settings.copy_age
        return now - copy.sent_at >= wait

    def build_submission(self, bill: Bill, now: float) -> SendToPeer:
        """Return the submission of a copy to its home."""
        shard = compute_shard(bill.budget, self.settings.shards)
        home = self.routing.choose_home(shard, now)
        return SendToPeer(home.name, BillsSubmitted(self.incarnation, (bill,)))

    def sum_outstanding(self, budget: str, grant_id: str) -> int:
        """Return the tokens of the copies of bills on a grant."""
        bills = (copy.bill for copy in self.copies.values())
        return sum_bills(bills, budget, grant_id)

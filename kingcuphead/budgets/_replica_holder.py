"""Holds bill replicas for daemons in other zones."""

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
class BillReplica:
    """A copy of an uncommitted bill of another daemon."""

    #: The replicated bill.
    bill: Bill
    #: Monotonic time in seconds at which the borrower was last in the membership view.
    live_at: float
    #: Monotonic time in seconds of the arrival or the last submission.
    sent_at: float


@dataclasses.dataclass(slots=True)
class ReplicaHolder:
    """Submits the bills of borrowers that left the membership view."""

    #: Name of this incarnation.
    incarnation: str
    #: Settings of the budget state machines.
    settings: Settings
    #: Membership view and suspected daemons.
    routing: Routing
    #: Bill replicas by bill id.
    replicas: dict[str, BillReplica] = dataclasses.field(default_factory=dict)
    #: Whether the daemon is shutting down.
    closing: bool = False

    def add_replicas(self, message: BillsCopied, now: float) -> Iterator[SendToPeer]:
        """Store bill replicas and acknowledge them."""
        for bill in message.bills:
            self.replicas.setdefault(bill.bill_id, BillReplica(bill, now, now))
        ids = tuple(bill.bill_id for bill in message.bills)
        reply = BillCopiesAcknowledged(self.incarnation, ids)
        yield SendToPeer(get_instance(message.sender), reply)

    def handle_dropped(self, message: BillCopiesDropped) -> None:
        """Remove bill replicas that the borrower no longer needs."""
        self.remove(message.bill_ids)

    def remove(self, bill_ids: tuple[str, ...]) -> None:
        """Remove bill replicas, for example those of resolved bills."""
        for bill_id in bill_ids:
            self.replicas.pop(bill_id, None)

    def tick(self, now: float) -> Iterator[SendToPeer]:
        """Submit the replicas of absent borrowers and those above the maximum age."""
        for bill_id, replica in list(self.replicas.items()):
            if get_instance(replica.bill.borrower) in self.routing.members:
                replica = dataclasses.replace(replica, live_at=now)
            if self.is_due(replica, now):
                replica = dataclasses.replace(replica, sent_at=now)
                yield self.build_submission(replica.bill, now)
            self.replicas[bill_id] = replica

    def is_due(self, replica: BillReplica, now: float) -> bool:
        """Return whether a bill replica is due for submission."""
        is_gone = now - replica.live_at >= self.settings.replica_grace or self.closing
        settings = self.settings
        wait = settings.resend_interval if is_gone else settings.replica_max_age
        return now - replica.sent_at >= wait

    def build_submission(self, bill: Bill, now: float) -> SendToPeer:
        """Return the submission of a bill to its home."""
        shard = compute_shard(bill.budget, self.settings.shards)
        home = self.routing.choose_home(shard, now)
        return SendToPeer(home.name, BillsSubmitted(self.incarnation, (bill,)))

    def sum_outstanding(self, budget: str, grant_id: str) -> int:
        """Return the tokens of the bill replicas on a grant."""
        bills = (replica.bill for replica in self.replicas.values())
        return sum_bills(bills, budget, grant_id)

"""Outbox of one daemon: replicates its bills and submits them until committed."""

import dataclasses
from collections.abc import Iterable, Iterator
from typing import TypeAlias

from kingcuphead.budgets._messages import BillSafe, FaultReported, SendToPeer
from kingcuphead.budgets._peer_messages import (
    BillCopiesAcknowledged,
    BillCopiesDropped,
    BillsAccepted,
    BillsCommitted,
    BillsCopied,
    BillsDuplicated,
    BillsRejected,
    BillsSubmitted,
)
from kingcuphead.budgets._routing import Routing, get_instance
from kingcuphead.budgets._rows import Bill, compute_shard
from kingcuphead.budgets._settings import Settings


@dataclasses.dataclass(frozen=True, slots=True)
class BillDropped:
    """Reports that a bill was dropped as a duplicate, which frees its credit."""

    #: The dropped bill.
    bill: Bill


OutboxEffect: TypeAlias = SendToPeer | BillSafe | FaultReported | BillDropped


@dataclasses.dataclass(frozen=True, slots=True)
class OutboxEntry:
    """A bill that is not committed yet."""

    #: Id of the hold that was settled.
    hold_id: str
    #: The uncommitted bill.
    bill: Bill
    #: Number of the shard that stores the budget.
    shard: int
    #: Name of the instance that the bill was last submitted to.
    home: str
    #: Monotonic time in seconds of the last submission.
    sent_at: float
    #: Whether that home acknowledged the submission.
    accepted: bool = False
    #: Name of the instance that a bill replica was sent to.
    replica_holder: str | None = None
    #: Whether the replica holder acknowledged the bill replica.
    replicated: bool = False
    #: Whether the bill was reported as safe to the daemon.
    safe: bool = False


@dataclasses.dataclass(slots=True)
class Outbox:
    """Bills of this daemon until they are committed."""

    #: Name of this incarnation.
    incarnation: str
    #: Settings of the budget state machines.
    settings: Settings
    #: Membership view and suspected daemons.
    routing: Routing
    #: Uncommitted bills by bill id.
    entries: dict[str, OutboxEntry] = dataclasses.field(default_factory=dict)

    def submit(self, hold_id: str, bill: Bill, now: float) -> Iterator[OutboxEffect]:
        """Submit a new bill, and replicate it if its home is in the same zone."""
        shard = compute_shard(bill.budget, self.settings.shards)
        entry = OutboxEntry(hold_id, bill, shard, home="", sent_at=now)
        self.entries[bill.bill_id] = entry
        yield from self.send(entry, now)

    def send(self, entry: OutboxEntry, now: float) -> Iterator[OutboxEffect]:
        """Submit a bill to its current home and replicate it if necessary."""
        home = self.routing.choose_home(entry.shard, now).name
        accepted = entry.accepted and entry.home == home
        entry = dataclasses.replace(entry, home=home, sent_at=now, accepted=accepted)
        self.entries[entry.bill.bill_id] = entry
        yield from self.send_replica(entry, now)
        yield SendToPeer(home, BillsSubmitted(self.incarnation, (entry.bill,)))

    def send_replica(self, entry: OutboxEntry, now: float) -> Iterator[OutboxEffect]:
        """Send a bill replica to another zone if the home is in this zone."""
        if self.routing.is_in_other_zone(entry.home):
            return
        reachable = entry.replica_holder is not None and self.routing.is_reachable(
            entry.replica_holder, now
        )
        if reachable and entry.replicated:
            return
        replica_holder = self.routing.choose_replica_holder(entry.shard, now)
        if replica_holder is None:
            return
        yield from self.drop_replica(entry, keep=replica_holder.name)
        entry = dataclasses.replace(
            entry, replica_holder=replica_holder.name, replicated=False
        )
        self.entries[entry.bill.bill_id] = entry
        message = BillsCopied(self.incarnation, (entry.bill,))
        yield SendToPeer(replica_holder.name, message)

    def drop_replica(
        self, entry: OutboxEntry, keep: str | None
    ) -> Iterator[OutboxEffect]:
        """Request the replica holder to drop the bill, unless it is `keep`."""
        if entry.replica_holder is not None and entry.replica_holder != keep:
            message = BillCopiesDropped(self.incarnation, (entry.bill.bill_id,))
            yield SendToPeer(entry.replica_holder, message)

    def handle_accepted(self, message: BillsAccepted) -> Iterator[OutboxEffect]:
        """Mark bills as accepted, and as safe if their home is in another zone."""
        instance = get_instance(message.sender)
        for entry in self.iterate_entries(message.bill_ids):
            if entry.home != instance:
                continue
            self.entries[entry.bill.bill_id] = dataclasses.replace(entry, accepted=True)
            if self.routing.is_in_other_zone(instance):
                yield from self.report_safe(entry.bill.bill_id)

    def handle_replicas_acknowledged(
        self, message: BillCopiesAcknowledged
    ) -> Iterator[OutboxEffect]:
        """Mark bills as replicated, and as safe if the holder is in another zone."""
        instance = get_instance(message.sender)
        for entry in self.iterate_entries(message.bill_ids):
            if entry.replica_holder != instance:
                continue
            self.entries[entry.bill.bill_id] = dataclasses.replace(
                entry, replicated=True
            )
            if self.routing.is_in_other_zone(instance):
                yield from self.report_safe(entry.bill.bill_id)

    def handle_committed(self, message: BillsCommitted) -> Iterator[OutboxEffect]:
        """Remove bills that are in the table."""
        for entry in self.iterate_entries(message.bill_ids):
            yield from self.remove_billed(entry)

    def handle_duplicated(self, message: BillsDuplicated) -> Iterator[OutboxEffect]:
        """Drop bills whose request is already billed."""
        for entry in self.iterate_entries(message.bill_ids):
            yield from self.remove_billed(entry)
            yield BillDropped(entry.bill)

    def handle_rejected(self, message: BillsRejected) -> Iterator[OutboxEffect]:
        """Drop bills that their grants do not cover, and report them as faults.

        This happens if an operator releases a grant with open bills.
        """
        for entry in self.iterate_entries(message.bill_ids):
            del self.entries[entry.bill.bill_id]
            yield from self.drop_replica(entry, keep=None)
            detail = f"bill {entry.bill.bill_id} of {entry.bill.tokens} tokens"
            yield FaultReported("bill_rejected", entry.bill.budget, detail)

    def tick(self, now: float) -> Iterator[OutboxEffect]:
        """Resubmit the bills whose submission is due again."""
        for entry in list(self.entries.values()):
            if self.is_due(entry, now):
                yield from self.send(entry, now)

    def is_due(self, entry: OutboxEntry, now: float) -> bool:
        """Return whether a bill is due for resubmission.

        An accepted and safe bill waits for `recheck_interval`, any other one and one
        whose home changed for `resend_interval`.
        """
        settings = self.settings
        moved = entry.home != self.routing.choose_home(entry.shard, now).name
        settled = entry.accepted and entry.safe and not moved
        wait = settings.recheck_interval if settled else settings.resend_interval
        return now - entry.sent_at >= wait

    def sum_outstanding(self, budget: str, grant_id: str) -> int:
        """Return the tokens of the uncommitted bills on a grant."""
        bills = (entry.bill for entry in self.entries.values())
        return sum_bills(bills, budget, grant_id)

    def iterate_entries(self, bill_ids: tuple[str, ...]) -> Iterator[OutboxEntry]:
        """Yield the entries of those bills that are still in the outbox."""
        for bill_id in bill_ids:
            if bill_id in self.entries:
                yield self.entries[bill_id]

    def remove_billed(self, entry: OutboxEntry) -> Iterator[OutboxEffect]:
        """Remove a bill whose request is billed in the table."""
        yield from self.report_safe(entry.bill.bill_id)
        del self.entries[entry.bill.bill_id]
        yield from self.drop_replica(entry, keep=None)

    def report_safe(self, bill_id: str) -> Iterator[OutboxEffect]:
        """Report that a bill is safe, unless that was reported before."""
        entry = self.entries[bill_id]
        if not entry.safe:
            self.entries[bill_id] = dataclasses.replace(entry, safe=True)
            yield BillSafe(entry.hold_id)


def sum_bills(bills: Iterable[Bill], budget: str, grant_id: str) -> int:
    """Return the tokens of the bills of one budget on one grant.

    A bill of 0 tokens counts as one token, since it has to be committed, too.
    """
    return sum(
        max(1, bill.tokens)
        for bill in bills
        if bill.budget == budget and bill.grant_id == grant_id
    )

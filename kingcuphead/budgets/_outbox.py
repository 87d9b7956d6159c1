"""Makes the bills of one daemon safe and sees to it that they are committed."""

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
    """A bill was dropped as a duplicate; its credit is free again."""

    #: The bill.
    bill: Bill


OutboxEffect: TypeAlias = SendToPeer | BillSafe | FaultReported | BillDropped


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """A bill that is not committed yet."""

    #: The hold that was settled.
    hold_id: str
    #: The bill.
    bill: Bill
    #: Shard of its budget.
    shard: int
    #: Instance that it was last submitted to.
    home: str
    #: Monotonic time in seconds of the last submission.
    sent_at: float
    #: Whether that home keeps it.
    accepted: bool = False
    #: Instance that was asked to keep a copy.
    witness: str | None = None
    #: Whether the witness keeps the copy.
    copied: bool = False
    #: Whether the daemon was told that the bill is safe.
    safe: bool = False


@dataclasses.dataclass(slots=True)
class Outbox:
    """Bills of this daemon until they are committed."""

    #: This incarnation.
    incarnation: str
    #: Settings.
    settings: Settings
    #: Beliefs about the other daemons.
    routing: Routing
    #: Bills by bill id.
    entries: dict[str, Entry] = dataclasses.field(default_factory=dict)

    def submit(self, hold_id: str, bill: Bill, now: float) -> Iterator[OutboxEffect]:
        """Send a new bill to its home, and to a witness if the home is too near."""
        shard = compute_shard(bill.budget, self.settings.shards)
        entry = Entry(hold_id, bill, shard, home="", sent_at=now)
        self.entries[bill.bill_id] = entry
        yield from self.send(entry, now)

    def send(self, entry: Entry, now: float) -> Iterator[OutboxEffect]:
        """Submit a bill to the present home, with a copy if it is not safe."""
        home = self.routing.choose_home(entry.shard, now).name
        accepted = entry.accepted and entry.home == home
        entry = dataclasses.replace(entry, home=home, sent_at=now, accepted=accepted)
        self.entries[entry.bill.bill_id] = entry
        yield from self.send_copy(entry, now)
        yield SendToPeer(home, BillsSubmitted(self.incarnation, (entry.bill,)))

    def send_copy(self, entry: Entry, now: float) -> Iterator[OutboxEffect]:
        """Send a copy to a witness if the home is in this zone."""
        if self.routing.is_apart(entry.home):
            return
        reachable = entry.witness is not None and self.routing.is_reachable(
            entry.witness, now
        )
        if reachable and entry.copied:
            return
        witness = self.routing.choose_witness(entry.shard, now)
        if witness is None:
            return
        yield from self.drop_copy(entry, keep=witness.name)
        entry = dataclasses.replace(entry, witness=witness.name, copied=False)
        self.entries[entry.bill.bill_id] = entry
        message = BillsCopied(self.incarnation, (entry.bill,))
        yield SendToPeer(witness.name, message)

    def drop_copy(self, entry: Entry, keep: str | None) -> Iterator[OutboxEffect]:
        """Tell an earlier witness to forget the bill."""
        if entry.witness is not None and entry.witness != keep:
            message = BillCopiesDropped(self.incarnation, (entry.bill.bill_id,))
            yield SendToPeer(entry.witness, message)

    def note_accepted(self, message: BillsAccepted) -> Iterator[OutboxEffect]:
        """Take note that a home keeps the bills."""
        instance = get_instance(message.sender)
        for entry in self.find(message.bill_ids):
            if entry.home != instance:
                continue
            self.entries[entry.bill.bill_id] = dataclasses.replace(entry, accepted=True)
            if self.routing.is_apart(instance):
                yield from self.report_safe(entry.bill.bill_id)

    def note_copied(self, message: BillCopiesAcknowledged) -> Iterator[OutboxEffect]:
        """Take note that a witness keeps the bills."""
        instance = get_instance(message.sender)
        for entry in self.find(message.bill_ids):
            if entry.witness != instance:
                continue
            self.entries[entry.bill.bill_id] = dataclasses.replace(entry, copied=True)
            if self.routing.is_apart(instance):
                yield from self.report_safe(entry.bill.bill_id)

    def note_committed(self, message: BillsCommitted) -> Iterator[OutboxEffect]:
        """Forget bills that are in the table."""
        for entry in self.find(message.bill_ids):
            yield from self.finish(entry)

    def note_duplicated(self, message: BillsDuplicated) -> Iterator[OutboxEffect]:
        """Drop bills of requests that were billed already."""
        for entry in self.find(message.bill_ids):
            yield from self.finish(entry)
            yield BillDropped(entry.bill)

    def note_rejected(self, message: BillsRejected) -> Iterator[OutboxEffect]:
        """Drop bills whose grant was released although they were open."""
        for entry in self.find(message.bill_ids):
            del self.entries[entry.bill.bill_id]
            yield from self.drop_copy(entry, keep=None)
            detail = f"bill {entry.bill.bill_id} of {entry.bill.tokens} tokens"
            yield FaultReported("bill_rejected", entry.bill.budget, detail)

    def tick(self, now: float) -> Iterator[OutboxEffect]:
        """Submit again what was not accepted, or is not committed for long."""
        for entry in list(self.entries.values()):
            if self.is_due(entry, now):
                yield from self.send(entry, now)

    def is_due(self, entry: Entry, now: float) -> bool:
        """Return whether a bill has to be submitted again."""
        settings = self.settings
        moved = entry.home != self.routing.choose_home(entry.shard, now).name
        settled = entry.accepted and entry.safe and not moved
        wait = settings.recheck_interval if settled else settings.resend_interval
        return now - entry.sent_at >= wait

    def sum_outstanding(self, budget: str, grant_id: str) -> int:
        """Return the tokens of the bills on a grant that are not committed."""
        bills = (entry.bill for entry in self.entries.values())
        return sum_bills(bills, budget, grant_id)

    def find(self, bill_ids: tuple[str, ...]) -> Iterator[Entry]:
        """Yield the bills that are still kept here."""
        for bill_id in bill_ids:
            if bill_id in self.entries:
                yield self.entries[bill_id]

    def finish(self, entry: Entry) -> Iterator[OutboxEffect]:
        """Forget a bill whose request is billed in the table."""
        yield from self.report_safe(entry.bill.bill_id)
        del self.entries[entry.bill.bill_id]
        yield from self.drop_copy(entry, keep=None)

    def report_safe(self, bill_id: str) -> Iterator[OutboxEffect]:
        """Report once that a bill is safe."""
        entry = self.entries[bill_id]
        if not entry.safe:
            self.entries[bill_id] = dataclasses.replace(entry, safe=True)
            yield BillSafe(entry.hold_id)


def sum_bills(bills: Iterable[Bill], budget: str, grant_id: str) -> int:
    """Return the tokens of the bills of one budget on one grant.

    A bill of 0 tokens counts as one, since it has to be committed all the same.
    """
    return sum(
        max(1, bill.tokens)
        for bill in bills
        if bill.budget == budget and bill.grant_id == grant_id
    )

"""The home of one shard: takes grants, lends credit and commits bills."""

import dataclasses
from collections.abc import Iterator
from typing import TypeAlias

from kingcuphead.budgets._billbook import BillBook, BillStatus, PendingBill
from kingcuphead.budgets._flush import (
    Flush,
    GrantChange,
    apply_changes,
    build_flush,
    select_bills,
)
from kingcuphead.budgets._lending import Lending
from kingcuphead.budgets._messages import (
    CommitFinished,
    CommitRequested,
    FaultReported,
    ReadRequested,
    RowsRead,
    RowsScanned,
    ScanRequested,
    SendToPeer,
)
from kingcuphead.budgets._outbox import sum_bills
from kingcuphead.budgets._peer_messages import (
    BillsRejected,
    BillsSubmitted,
    CreditRequested,
    CreditReturned,
    GrantRecalled,
    GrantYielded,
)
from kingcuphead.budgets._replica import Snapshot
from kingcuphead.budgets._replies import Replies
from kingcuphead.budgets._routing import Routing, get_instance
from kingcuphead.budgets._rows import Bill, ShardRow
from kingcuphead.budgets._settings import Settings
from kingcuphead.budgets._store import Store, StoreEffect
from kingcuphead.records import BudgetPolicy

HomeEffect: TypeAlias = (
    SendToPeer | ReadRequested | ScanRequested | CommitRequested | FaultReported
)


@dataclasses.dataclass(slots=True)
class Home:
    """Decisions of a home; every daemon may act as one for any shard."""

    #: This incarnation, also the id of its grants.
    incarnation: str
    #: Settings.
    settings: Settings
    #: Beliefs about the other daemons.
    routing: Routing
    #: The shard in the table.
    store: Store
    #: Bills seen.
    book: BillBook
    #: Loans and grants.
    lending: Lending
    #: Number of flushes so far.
    flush_count: int = 0

    def request_credit(
        self, message: CreditRequested, now: float
    ) -> Iterator[HomeEffect]:
        """Lend at once, or let the request wait for a grant or a return."""
        lender = self.lending.open_lender(message.budget, message.policy)
        repeated = message.sender in lender.waiting
        lender.note_request(message, now)
        yield from self.lending.attend(lender, now)
        if repeated and message.sender in lender.waiting:
            # Shows that this home is alive, so that the borrower goes on waiting.
            yield self.lending.build_loan(lender, message.sender, now)
        yield from self.advance(now)

    def return_credit(
        self, message: CreditReturned, now: float
    ) -> Iterator[HomeEffect]:
        """Take credit back and acknowledge it."""
        lender = self.lending.lenders.get(message.budget)
        if lender is None or message.lender != self.incarnation:
            return
        lender.note_totals(message, message.recall)
        lender.check()
        yield self.lending.build_loan(lender, message.sender, now)
        yield from self.lending.attend(lender, now)
        yield from self.advance(now)

    def recall_grant(self, message: GrantRecalled, now: float) -> Iterator[HomeEffect]:
        """Give back what is idle, since another holder runs low."""
        lender = self.lending.lenders.get(message.budget)
        if lender is None:
            # A holder that knows of no grant has nothing to give back.
            answer = GrantYielded(self.incarnation, message.budget)
            yield SendToPeer(get_instance(message.sender), answer)
            return
        if not lender.recallers:
            lender.pressed_at = now
            yield from self.lending.recall_lines(lender, now)
        lender.recallers.add(message.sender)
        yield from self.advance(now)

    def note_yield(self, message: GrantYielded, now: float) -> Iterator[HomeEffect]:
        """Read the row again after another holder gave back."""
        lender = self.lending.lenders.get(message.budget)
        if lender is None:
            return
        lender.yielded_at[message.sender] = now
        self.store.stale = True
        yield from self.advance(now)

    def submit_bills(self, message: BillsSubmitted, now: float) -> Iterator[HomeEffect]:
        """Keep bills until they are committed; answer for those that are."""
        replies = Replies()
        for bill in message.bills:
            status = self.book.get_status(bill)
            replies.add(message.sender, status, bill.bill_id)
            if status is BillStatus.PENDING:
                self.book.add(bill, message.sender, now)
        yield from replies.build(self.incarnation)
        yield from self.advance(now)

    def receive_commit(
        self, message: CommitFinished, now: float
    ) -> Iterator[HomeEffect]:
        """Take the outcome of a flush."""
        yield from self.follow(self.store.receive_commit(message, now), now)

    def receive_rows(self, message: RowsRead, now: float) -> Iterator[HomeEffect]:
        """Take a row that was read."""
        yield from self.follow(self.store.receive_rows(message, now), now)

    def receive_pages(self, message: RowsScanned, now: float) -> Iterator[HomeEffect]:
        """Take pages that were scanned."""
        yield from self.follow(self.store.receive_pages(message, now), now)

    def follow(
        self, effects: Iterator[StoreEffect], now: float
    ) -> Iterator[HomeEffect]:
        """Pass on accesses and take over snapshots."""
        for effect in effects:
            match effect:
                case Snapshot():
                    yield from self.absorb(effect)
                case _:
                    yield effect
        self.lending.sync_yields()
        for lender in self.lending.lenders.values():
            yield from self.lending.attend(lender, now)
        yield from self.advance(now)

    def tick(self, now: float) -> Iterator[HomeEffect]:
        """Judge waiting requests, repeat lost loans and flush what is due."""
        for lender in self.lending.lenders.values():
            if lender.waiting or lender.recallers:
                yield from self.lending.attend(lender, now)
            yield from self.lending.repeat_loans(lender, now)
            if self.lending.closing and self.lending.is_recall_due(lender, now):
                yield from self.lending.recall_lines(lender, now)
        yield from self.advance(now)

    def close(self, now: float) -> Iterator[HomeEffect]:
        """Start to give every grant back."""
        self.lending.closing = True
        yield from self.tick(now)

    def is_finished(self) -> bool:
        """Return whether nothing is left that could still be given back."""
        if self.book.pending or self.store.flush or self.store.token is not None:
            return False
        return not any(
            lender.amount > self.lending.sum_unreachable(lender)
            for lender in self.lending.lenders.values()
        )

    def sum_outstanding(self, budget: str, grant_id: str) -> int:
        """Return the tokens of a grant that this home still has a use for."""
        bills = (pending.bill for pending in self.book.pending.values())
        total = sum_bills(bills, budget, grant_id)
        lender = self.lending.lenders.get(budget)
        if lender is not None and grant_id == self.incarnation:
            total += lender.amount
        return total

    def absorb(self, snapshot: Snapshot) -> Iterator[HomeEffect]:
        """Take over a newer row with its pages."""
        for page in snapshot.pages:
            self.book.add_page(page)
            for bill in page.bills:
                self.note_committed(bill)
        replies = Replies()
        for pending, status in self.book.take_resolved():
            for submitter in pending.submitters:
                replies.add(submitter, status, pending.bill.bill_id)
        for lender in self.lending.lenders.values():
            budget = self.lending.get_budget(lender.budget)
            lender.amount = budget.get_grant(self.incarnation)
        self.lending.sync_yields()
        for lender in self.lending.lenders.values():
            lender.check()
        yield from replies.build(self.incarnation)

    def note_committed(self, bill: Bill) -> None:
        """Take note of a bill on the own grant, whichever home committed it."""
        if bill.grant_id == self.incarnation:
            lender = self.lending.open_lender(bill.budget, BudgetPolicy.STRICT)
            lender.note_committed(bill)

    def advance(self, now: float) -> Iterator[HomeEffect]:
        """Start the next access to the table, if one is due."""
        store = self.store
        if not store.is_free(now):
            return
        if store.row is None or store.stale or self.lending.is_row_too_old(now):
            yield store.start_reading(now)
        elif store.flush is not None:
            # The row is unchanged, so the same transaction is tried again.
            yield store.start_flush(store.flush, now)
        elif now - store.flushed_at >= self.get_flush_interval():
            yield from self.start_flush(store.row, now)

    def get_flush_interval(self) -> float:
        """Return the least time between flushes, shorter while a request waits."""
        settings = self.settings
        waits = any(lender.waiting for lender in self.lending.lenders.values())
        urgent = min(settings.urgent_interval, settings.flush_interval)
        return urgent if waits else settings.flush_interval

    def start_flush(self, row: ShardRow, now: float) -> Iterator[HomeEffect]:
        """Commit what waits, if anything does."""
        batch = select_bills(
            row, self.book.iterate_candidates(), self.settings.page_bills
        )
        yield from self.reject_uncovered(batch.uncovered)
        changes = tuple(self.lending.plan_changes(batch.row, now))
        if not batch.bills and not changes:
            if self.store.stale:
                yield self.store.start_reading(now)
            return
        flush = self.build_flush(batch.row, batch.bills, changes)
        yield self.store.start_flush(flush, now)
        self.lending.sync_yields()
        for lender in self.lending.lenders.values():
            lender.check()

    def build_flush(
        self, row: ShardRow, bills: tuple[Bill, ...], changes: tuple[GrantChange, ...]
    ) -> Flush:
        """Return the flush of some bills and changes of grants."""
        self.flush_count += 1
        shard = self.store.shard
        attempt = f"{self.incarnation}/{shard}#{self.flush_count}"
        holder = get_instance(self.incarnation)
        row = apply_changes(row, changes, self.incarnation, holder)
        return build_flush(shard, attempt, self.store.version, row, bills, changes)

    def reject_uncovered(
        self, uncovered: tuple[PendingBill, ...]
    ) -> Iterator[HomeEffect]:
        """Reject bills whose grant is gone; read the row again if it may be old."""
        for pending in uncovered:
            bill = pending.bill
            if pending.arrived_at >= self.store.fresh_at:
                self.store.stale = True
                continue
            del self.book.pending[bill.bill_id]
            detail = f"grant {bill.grant_id} does not cover bill {bill.bill_id}"
            yield FaultReported("bill_uncovered", bill.budget, detail)
            for submitter in pending.submitters:
                message = BillsRejected(self.incarnation, (bill.bill_id,))
                yield SendToPeer(get_instance(submitter), message)

"""Home state machine of one shard: takes grants, lends credit and commits bills."""

import dataclasses
from collections.abc import Iterator
from typing import TypeAlias

from kingcuphead.budgets._bill_index import BillIndex, BillStatus, PendingBill
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
from kingcuphead.budgets._replies import Replies
from kingcuphead.budgets._routing import Routing, get_instance
from kingcuphead.budgets._rows import Bill, ShardRow
from kingcuphead.budgets._settings import Settings
from kingcuphead.budgets._shard_read import Snapshot
from kingcuphead.budgets._store import Store, StoreEffect
from kingcuphead.records import BudgetPolicy

HomeEffect: TypeAlias = (
    SendToPeer | ReadRequested | ScanRequested | CommitRequested | FaultReported
)


@dataclasses.dataclass(slots=True)
class Home:
    """State machine of a home; every daemon may act as the home of any shard."""

    #: Name of this incarnation, also the id of its grants.
    incarnation: str
    #: Settings of the budget state machines.
    settings: Settings
    #: Membership view and suspected daemons.
    routing: Routing
    #: Cached shard row and access to the table.
    store: Store
    #: Pending bills and recently committed bills.
    bill_index: BillIndex
    #: Loans, recalls and grants.
    lending: Lending
    #: Number of flushes that this incarnation has built.
    flush_count: int = 0

    def handle_credit_request(
        self, message: CreditRequested, now: float
    ) -> Iterator[HomeEffect]:
        """Lend credit, or enqueue the request until a grant or a return covers it."""
        lender = self.lending.get_or_create_lender(message.budget, message.policy)
        repeated = message.sender in lender.waiting
        lender.enqueue_request(message, now)
        yield from self.lending.process_requests(lender, now)
        if repeated and message.sender in lender.waiting:
            # Any reply keeps the borrower from suspecting this home.
            yield self.lending.build_loan(lender, message.sender, now)
        yield from self.start_next_access(now)

    def handle_credit_return(
        self, message: CreditReturned, now: float
    ) -> Iterator[HomeEffect]:
        """Apply a return of credit and acknowledge it."""
        lender = self.lending.lenders.get(message.budget)
        if lender is None or message.lender != self.incarnation:
            return
        lender.update_totals(message, message.recall)
        lender.check_loans()
        yield self.lending.build_loan(lender, message.sender, now)
        yield from self.lending.process_requests(lender, now)
        yield from self.start_next_access(now)

    def handle_grant_recall(
        self, message: GrantRecalled, now: float
    ) -> Iterator[HomeEffect]:
        """Start to return idle credit, which another holder needs."""
        lender = self.lending.lenders.get(message.budget)
        if lender is None:
            # Without a lender there is no credit to return.
            reply = GrantYielded(self.incarnation, message.budget)
            yield SendToPeer(get_instance(message.sender), reply)
            return
        if not lender.recallers:
            lender.peer_recalled_at = now
            yield from self.lending.recall_lines(lender, now)
        lender.recallers.add(message.sender)
        yield from self.start_next_access(now)

    def handle_grant_yield(
        self, message: GrantYielded, now: float
    ) -> Iterator[HomeEffect]:
        """Read the row again after another holder yielded its idle credit."""
        lender = self.lending.lenders.get(message.budget)
        if lender is None:
            return
        lender.yielded_at[message.sender] = now
        self.store.stale = True
        yield from self.start_next_access(now)

    def handle_bills(self, message: BillsSubmitted, now: float) -> Iterator[HomeEffect]:
        """Store the pending bills and reply with the status of every bill."""
        replies = Replies()
        for bill in message.bills:
            status = self.bill_index.get_status(bill)
            replies.add(message.sender, status, bill.bill_id)
            if status is BillStatus.PENDING:
                self.bill_index.add(bill, message.sender, now)
        yield from replies.build(self.incarnation)
        yield from self.start_next_access(now)

    def handle_commit(
        self, message: CommitFinished, now: float
    ) -> Iterator[HomeEffect]:
        """Process the outcome of a flush."""
        yield from self.process_store_effects(
            self.store.handle_commit(message, now), now
        )

    def handle_rows(self, message: RowsRead, now: float) -> Iterator[HomeEffect]:
        """Process the shard row of a read."""
        yield from self.process_store_effects(self.store.handle_rows(message, now), now)

    def handle_pages(self, message: RowsScanned, now: float) -> Iterator[HomeEffect]:
        """Process the bill pages of a scan."""
        yield from self.process_store_effects(
            self.store.handle_pages(message, now), now
        )

    def process_store_effects(
        self, effects: Iterator[StoreEffect], now: float
    ) -> Iterator[HomeEffect]:
        """Yield accesses to the table, apply snapshots and process the requests."""
        for effect in effects:
            match effect:
                case Snapshot():
                    yield from self.apply_snapshot(effect)
                case _:
                    yield effect
        self.lending.update_yielding()
        for lender in self.lending.lenders.values():
            yield from self.lending.process_requests(lender, now)
        yield from self.start_next_access(now)

    def tick(self, now: float) -> Iterator[HomeEffect]:
        """Process waiting requests, resend loans and start a flush if one is due."""
        for lender in self.lending.lenders.values():
            if lender.waiting or lender.recallers:
                yield from self.lending.process_requests(lender, now)
            yield from self.lending.resend_loans(lender, now)
            if self.lending.closing and self.lending.is_recall_due(lender, now):
                yield from self.lending.recall_lines(lender, now)
        yield from self.start_next_access(now)

    def start_shutdown(self, now: float) -> Iterator[HomeEffect]:
        """Start to return every grant."""
        self.lending.closing = True
        yield from self.tick(now)

    def is_finished(self) -> bool:
        """Return whether no pending bill, flush, access or returnable token is left.

        Tokens lent to daemons outside the membership view cannot be returned.
        """
        if self.bill_index.pending or self.store.flush or self.store.token is not None:
            return False
        return not any(
            lender.amount > self.lending.sum_unreachable(lender)
            for lender in self.lending.lenders.values()
        )

    def sum_outstanding(self, budget: str, grant_id: str) -> int:
        """Return the tokens of a grant in pending bills, loans and lendable credit."""
        bills = (pending.bill for pending in self.bill_index.pending.values())
        total = sum_bills(bills, budget, grant_id)
        lender = self.lending.lenders.get(budget)
        if lender is not None and grant_id == self.incarnation:
            total += lender.amount
        return total

    def apply_snapshot(self, snapshot: Snapshot) -> Iterator[HomeEffect]:
        """Apply a newer row with its pages, and reply about the resolved bills."""
        for page in snapshot.pages:
            self.bill_index.add_page(page)
            for bill in page.bills:
                self.record_committed_bill(bill)
        replies = Replies()
        for pending, status in self.bill_index.remove_resolved():
            for submitter in pending.submitters:
                replies.add(submitter, status, pending.bill.bill_id)
        for lender in self.lending.lenders.values():
            budget = self.lending.get_budget(lender.budget)
            lender.amount = budget.get_grant(self.incarnation)
        self.lending.update_yielding()
        for lender in self.lending.lenders.values():
            lender.check_loans()
        yield from replies.build(self.incarnation)

    def record_committed_bill(self, bill: Bill) -> None:
        """Deduct a bill on the own grant from its loan, whichever home committed it."""
        if bill.grant_id == self.incarnation:
            lender = self.lending.get_or_create_lender(bill.budget, BudgetPolicy.STRICT)
            lender.record_committed_bill(bill)

    def start_next_access(self, now: float) -> Iterator[HomeEffect]:
        """Start the next access to the table, if one is due."""
        store = self.store
        if not store.may_start_access(now):
            return
        if store.row is None or store.stale or self.lending.is_row_too_old(now):
            yield store.start_read(now)
        elif store.flush is not None:
            # The row is unchanged, so the same transaction is retried.
            yield store.start_flush(store.flush, now)
        elif now - store.flushed_at >= self.get_flush_interval():
            yield from self.start_flush(store.row, now)

    def get_flush_interval(self) -> float:
        """Return the minimum seconds between flushes, less while a request waits."""
        settings = self.settings
        is_waiting = any(lender.waiting for lender in self.lending.lenders.values())
        urgent = min(settings.urgent_interval, settings.flush_interval)
        return urgent if is_waiting else settings.flush_interval

    def start_flush(self, row: ShardRow, now: float) -> Iterator[HomeEffect]:
        """Commit pending bills and planned changes of grants, if there are any."""
        batch = select_bills(
            row, self.bill_index.iterate_candidates(), self.settings.page_bills
        )
        yield from self.reject_uncovered(batch.uncovered)
        changes = tuple(self.lending.plan_changes(batch.row, now))
        if not batch.bills and not changes:
            if self.store.stale:
                yield self.store.start_read(now)
            return
        flush = self.build_flush(batch.row, batch.bills, changes)
        yield self.store.start_flush(flush, now)
        self.lending.update_yielding()
        for lender in self.lending.lenders.values():
            lender.check_loans()

    def build_flush(
        self, row: ShardRow, bills: tuple[Bill, ...], changes: tuple[GrantChange, ...]
    ) -> Flush:
        """Return the flush that commits bills and changes of grants."""
        self.flush_count += 1
        shard = self.store.shard
        attempt = f"{self.incarnation}/{shard}#{self.flush_count}"
        holder = get_instance(self.incarnation)
        row = apply_changes(row, changes, self.incarnation, holder)
        return build_flush(shard, attempt, self.store.version, row, bills, changes)

    def reject_uncovered(
        self, uncovered: tuple[PendingBill, ...]
    ) -> Iterator[HomeEffect]:
        """Reject the bills that their grants do not cover.

        A bill that arrived after the row was read is kept and the row is read again.
        """
        for pending in uncovered:
            bill = pending.bill
            if pending.arrived_at >= self.store.fresh_at:
                self.store.stale = True
                continue
            del self.bill_index.pending[bill.bill_id]
            detail = f"grant {bill.grant_id} does not cover bill {bill.bill_id}"
            yield FaultReported("bill_uncovered", bill.budget, detail)
            for submitter in pending.submitters:
                message = BillsRejected(self.incarnation, (bill.bill_id,))
                yield SendToPeer(get_instance(submitter), message)

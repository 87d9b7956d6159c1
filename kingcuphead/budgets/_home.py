"""The home of one shard: takes grants, lends credit and commits bills."""

import dataclasses
from collections import defaultdict
from collections.abc import Iterator
from typing import TypeAlias

from kingcuphead.budgets._billbook import BillBook, BillStatus, PendingBill
from kingcuphead.budgets._demand import Demand
from kingcuphead.budgets._flush import (
    Flush,
    GrantChange,
    apply_changes,
    build_flush,
    select_bills,
)
from kingcuphead.budgets._lender import Lender, WaitingRequest
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
    BillsAccepted,
    BillsCommitted,
    BillsDuplicated,
    BillsRejected,
    BillsSubmitted,
    CreditDenied,
    CreditLent,
    CreditRecalled,
    CreditRequested,
    CreditReturned,
    Denial,
    GrantRecalled,
    GrantYielded,
)
from kingcuphead.budgets._replica import Snapshot
from kingcuphead.budgets._routing import Routing, get_instance
from kingcuphead.budgets._rows import Bill, BudgetState, ShardRow
from kingcuphead.budgets._settings import Settings
from kingcuphead.budgets._store import Store, StoreEffect
from kingcuphead.records import BudgetPolicy

HomeEffect: TypeAlias = (
    SendToPeer | ReadRequested | ScanRequested | CommitRequested | FaultReported
)

#: A budget that was never created.
NO_BUDGET = BudgetState(limit=0)

#: Seconds after which a refused caller may try again where no better time is known.
RETRY_SECONDS = 1.0


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
    #: State by budget name.
    lenders: dict[str, Lender] = dataclasses.field(default_factory=dict)
    #: Whether the daemon is shutting down.
    closing: bool = False
    #: Number of flushes so far.
    flush_count: int = 0

    def request_credit(
        self, message: CreditRequested, now: float
    ) -> Iterator[HomeEffect]:
        """Lend at once, or let the request wait for a grant or a return."""
        lender = self.open_lender(message.budget, message.policy)
        lender.note_request(message, now)
        yield from self.attend(lender, now)
        yield from self.advance(now)

    def return_credit(
        self, message: CreditReturned, now: float
    ) -> Iterator[HomeEffect]:
        """Take credit back and acknowledge it."""
        lender = self.lenders.get(message.budget)
        if lender is None or message.lender != self.incarnation:
            return
        lender.note_totals(message, message.recall)
        lender.check()
        yield self.build_loan(lender, message.sender, now)
        yield from self.attend(lender, now)
        yield from self.advance(now)

    def recall_grant(self, message: GrantRecalled, now: float) -> Iterator[HomeEffect]:
        """Give back what is idle, since another holder runs low."""
        lender = self.lenders.get(message.budget)
        if lender is None:
            # A holder that knows of no grant has nothing to give back.
            answer = GrantYielded(self.incarnation, message.budget)
            yield SendToPeer(get_instance(message.sender), answer)
            return
        if not lender.recallers:
            lender.pressed_at = now
            yield from self.recall_lines(lender, now)
        lender.recallers.add(message.sender)
        yield from self.advance(now)

    def note_yield(self, message: GrantYielded, now: float) -> Iterator[HomeEffect]:
        """Read the row again after another holder gave back."""
        lender = self.lenders.get(message.budget)
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
        self.sync_yields()
        for lender in self.lenders.values():
            yield from self.attend(lender, now)
        yield from self.advance(now)

    def tick(self, now: float) -> Iterator[HomeEffect]:
        """Judge waiting requests, repeat lost loans and flush what is due."""
        for lender in self.lenders.values():
            yield from self.attend(lender, now)
            yield from self.repeat_loans(lender, now)
            if self.closing and self.is_recall_due(lender, now):
                yield from self.recall_lines(lender, now)
        yield from self.advance(now)

    def close(self, now: float) -> Iterator[HomeEffect]:
        """Start to give every grant back."""
        self.closing = True
        yield from self.tick(now)

    def is_finished(self) -> bool:
        """Return whether nothing is left that could still be given back."""
        if self.book.pending or self.store.flush or self.store.token is not None:
            return False
        return not any(
            lender.amount > self.sum_unreachable(lender)
            for lender in self.lenders.values()
        )

    def sum_unreachable(self, lender: Lender) -> int:
        """Return the tokens lent to daemons that are gone."""
        members = self.routing.members
        return sum(
            line.outstanding
            for borrower, line in lender.lines.items()
            if get_instance(borrower) not in members
        )

    def sum_outstanding(self, budget: str, grant_id: str) -> int:
        """Return the tokens of a grant that this home still has a use for."""
        bills = (pending.bill for pending in self.book.pending.values())
        total = sum_bills(bills, budget, grant_id)
        lender = self.lenders.get(budget)
        if lender is not None and grant_id == self.incarnation:
            total += lender.amount
        return total

    def open_lender(self, budget: str, kind: BudgetPolicy) -> Lender:
        """Return the state of a budget, a new one if there is none."""
        policy = self.settings.choose_policy(kind)
        lender = self.lenders.get(budget)
        if lender is None:
            demand = Demand(self.settings.demand_seconds)
            lender = Lender(self.incarnation, budget, policy, demand)
            self.lenders[budget] = lender
        return lender

    def get_budget(self, budget: str) -> BudgetState:
        """Return the last known state of a budget."""
        row = self.store.row or ShardRow()
        return row.budgets.get(budget, NO_BUDGET)

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
        for lender in self.lenders.values():
            budget = self.get_budget(lender.budget)
            lender.amount = budget.get_grant(self.incarnation)
        self.sync_yields()
        for lender in self.lenders.values():
            lender.check()
        yield from replies.build(self.incarnation)

    def note_committed(self, bill: Bill) -> None:
        """Take note of a bill on the own grant, whichever home committed it."""
        if bill.grant_id == self.incarnation:
            lender = self.open_lender(bill.budget, BudgetPolicy.STRICT)
            lender.note_committed(bill)

    def sync_yields(self) -> None:
        """Set aside what the flush under way gives back, nothing else."""
        flush = self.store.flush
        for lender in self.lenders.values():
            lender.yielding = flush.yields.get(lender.budget, 0) if flush else 0

    def attend(self, lender: Lender, now: float) -> Iterator[HomeEffect]:
        """Serve what can be served and judge the rest."""
        yield from self.serve(lender, now)
        for waiting in list(lender.waiting.values()):
            yield from self.judge(lender, waiting, now)
        yield from self.answer_recallers(lender, now)

    def serve(self, lender: Lender, now: float) -> Iterator[HomeEffect]:
        """Lend to the waiting requests that available credit covers."""
        if self.closing:
            return
        remaining = self.get_budget(lender.budget).remaining
        for borrower, waiting in list(lender.waiting.items()):
            if lender.compute_short(waiting.message) > lender.available:
                continue
            del lender.waiting[borrower]
            lender.lend(waiting.message, remaining, now)
            lender.check()
            yield self.build_loan(lender, borrower, now)

    def build_loan(self, lender: Lender, borrower: str, now: float) -> SendToPeer:
        """Return the state of a line for its borrower."""
        line = lender.get_line(borrower)
        remaining = self.get_budget(lender.budget).remaining
        scarce = self.closing or lender.is_scarce(remaining, now)
        message = CreditLent(
            sender=self.incarnation,
            borrower=borrower,
            budget=lender.budget,
            lent_total=line.lent,
            returned_total=line.returned,
            scarce=scarce,
        )
        return SendToPeer(get_instance(borrower), message)

    def judge(
        self, lender: Lender, waiting: WaitingRequest, now: float
    ) -> Iterator[HomeEffect]:
        """Deny a request once it is known, or cannot be known, that nothing comes."""
        if not self.is_coverable(lender, waiting) and self.is_recall_due(lender, now):
            yield from self.recall_lines(lender, now)
            yield from self.recall_grants(lender, now)
            waiting = lender.waiting[waiting.message.sender]
        denial = self.find_denial(lender, waiting, now)
        if denial is None:
            return
        del lender.waiting[waiting.message.sender]
        exhausted = denial is Denial.EXHAUSTED
        after = self.settings.exhausted_retry if exhausted else RETRY_SECONDS
        message = CreditDenied(
            self.incarnation,
            lender.budget,
            waiting.message.sequence,
            denial,
            after,
        )
        yield SendToPeer(get_instance(waiting.message.sender), message)

    def is_coverable(self, lender: Lender, waiting: WaitingRequest) -> bool:
        """Return whether a grant that the row allows would cover a request."""
        if self.store.row is None:
            return True
        remaining = self.get_budget(lender.budget).remaining
        return lender.compute_short(waiting.message) <= lender.available + remaining

    def find_denial(
        self, lender: Lender, waiting: WaitingRequest, now: float
    ) -> Denial | None:
        """Return why a request is denied, or None while it should wait."""
        late = now - waiting.arrived_at >= self.settings.answer_wait
        store = self.store
        # A single lost reply is no outage: the next try may bring the credit.
        outage = now - store.failing_since >= self.settings.outage_seconds
        failed = store.failing and outage and store.failed_at >= waiting.arrived_at
        if self.closing:
            return Denial.UNREACHABLE
        if self.is_coverable(lender, waiting):
            return Denial.UNREACHABLE if failed else None
        if store.fresh_at < waiting.arrived_at:
            return Denial.UNREACHABLE if failed else None
        unanswered = set(self.iterate_unanswered(lender, waiting))
        if not unanswered:
            return Denial.EXHAUSTED
        # Only those that are reachable can still answer.
        hopeful = any(self.routing.is_reachable(name, now) for name in unanswered)
        return None if hopeful and not late else Denial.UNPROVEN

    def iterate_unanswered(
        self, lender: Lender, waiting: WaitingRequest
    ) -> Iterator[str]:
        """Yield the instances that may hold idle credit which a request needs."""
        for borrower in lender.iterate_unanswered(waiting):
            yield get_instance(borrower)
        for grant_id in self.iterate_foreign(lender):
            yielded_at = lender.yielded_at.get(grant_id, float("-inf"))
            if not waiting.arrived_at <= yielded_at <= self.store.fresh_at:
                yield get_instance(grant_id)

    def iterate_foreign(self, lender: Lender) -> Iterator[str]:
        """Yield the ids of other holders' grants."""
        for grant_id in self.get_budget(lender.budget).grants:
            if grant_id != self.incarnation:
                yield grant_id

    def is_recall_due(self, lender: Lender, now: float) -> bool:
        """Return whether credit may be recalled again."""
        return now - lender.recalled_at >= self.settings.recall_interval

    def recall_lines(self, lender: Lender, now: float) -> Iterator[HomeEffect]:
        """Ask the borrowers for idle credit."""
        for borrower in lender.start_recall(now):
            message = CreditRecalled(
                sender=self.incarnation,
                borrower=borrower,
                budget=lender.budget,
                lent_total=lender.get_line(borrower).lent,
                recall=lender.recall,
            )
            yield SendToPeer(get_instance(borrower), message)

    def recall_grants(self, lender: Lender, now: float) -> Iterator[HomeEffect]:
        """Ask the other holders to give back what is idle."""
        for grant_id in self.iterate_foreign(lender):
            instance = get_instance(grant_id)
            if self.routing.is_reachable(instance, now):
                message = GrantRecalled(self.incarnation, lender.budget)
                yield SendToPeer(instance, message)

    def answer_recallers(self, lender: Lender, now: float) -> Iterator[HomeEffect]:
        """Tell other holders that everything idle is in the row."""
        if not lender.recallers:
            return
        late = now - lender.pressed_at >= self.settings.answer_wait / 2
        silent = any(lender.iterate_silent(lender.recall))
        idle = lender.yielding or lender.available > lender.sum_shorts()
        if idle or (silent and not late):
            return
        recallers, lender.recallers = lender.recallers, set()
        for incarnation in recallers:
            message = GrantYielded(self.incarnation, lender.budget)
            yield SendToPeer(get_instance(incarnation), message)

    def repeat_loans(self, lender: Lender, now: float) -> Iterator[HomeEffect]:
        """Repeat loans that the borrower may not know of."""
        if now - lender.repeated_at < self.settings.recheck_interval:
            return
        lender.repeated_at = now
        for borrower in lender.iterate_unconfirmed():
            yield self.build_loan(lender, borrower, now)

    def advance(self, now: float) -> Iterator[HomeEffect]:
        """Start the next access to the table, if one is due."""
        store = self.store
        if not store.is_free(now):
            return
        if store.row is None or store.stale or self.is_row_too_old(now):
            yield store.start_reading(now)
        elif store.flush is not None:
            # The row is unchanged, so the same transaction is tried again.
            yield store.start_flush(store.flush, now)
        elif now - store.flushed_at >= self.get_flush_interval():
            yield from self.start_flush(store.row, now)

    def get_flush_interval(self) -> float:
        """Return the least time between flushes, shorter while a request waits."""
        settings = self.settings
        waits = any(lender.waiting for lender in self.lenders.values())
        urgent = min(settings.urgent_interval, settings.flush_interval)
        return urgent if waits else settings.flush_interval

    def is_row_too_old(self, now: float) -> bool:
        """Return whether a request waits that the known row cannot cover."""
        if now - self.store.fresh_at < self.settings.read_interval:
            return False
        return any(
            waiting.arrived_at > self.store.fresh_at
            and not self.is_coverable(lender, waiting)
            for lender in self.lenders.values()
            for waiting in lender.waiting.values()
        )

    def start_flush(self, row: ShardRow, now: float) -> Iterator[HomeEffect]:
        """Commit what waits, if anything does."""
        batch = select_bills(
            row, self.book.iterate_candidates(), self.settings.page_bills
        )
        yield from self.reject_uncovered(batch.uncovered)
        changes = tuple(self.plan_changes(batch.row, now))
        if not batch.bills and not changes:
            if self.store.stale:
                yield self.store.start_reading(now)
            return
        flush = self.build_flush(batch.row, batch.bills, changes)
        yield self.store.start_flush(flush, now)
        self.sync_yields()
        for lender in self.lenders.values():
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

    def plan_changes(self, row: ShardRow, now: float) -> Iterator[GrantChange]:
        """Yield the changes of the own grants that demand asks for."""
        for lender in self.lenders.values():
            budget = row.budgets.get(lender.budget)
            if budget is None:
                continue
            # A bill that another home dropped may wait here still: its credit came
            # back, so the grant would not cover both. The commit then conflicts.
            amount = budget.get_grant(self.incarnation)
            tokens = max(-amount, self.plan_change(lender, budget.remaining, now))
            if tokens:
                yield GrantChange(lender.budget, tokens)

    def plan_change(self, lender: Lender, remaining: int, now: float) -> int:
        """Return the tokens to take, or to give back if negative."""
        short = 0 if self.closing else lender.sum_shorts()
        reserve = 0 if self.closing else lender.compute_reserve(remaining, now)
        available = lender.available
        if available < short or available < reserve / 2:
            return min(short + reserve - available, remaining)
        keep = short + reserve
        return keep - available if available > 2 * keep else 0


@dataclasses.dataclass(slots=True)
class Replies:
    """Answers about bills, joined by addressee and status."""

    #: Bill ids by addressee and status.
    ids: dict[tuple[str, BillStatus], list[str]] = dataclasses.field(
        default_factory=lambda: defaultdict(list)
    )

    def add(self, addressee: str, status: BillStatus, bill_id: str) -> None:
        """Add one answer."""
        self.ids[addressee, status].append(bill_id)

    def build(self, sender: str) -> Iterator[SendToPeer]:
        """Yield the messages."""
        for (addressee, status), bill_ids in self.ids.items():
            ids = tuple(bill_ids)
            instance = get_instance(addressee)
            match status:
                case BillStatus.PENDING:
                    yield SendToPeer(instance, BillsAccepted(sender, ids))
                case BillStatus.COMMITTED:
                    yield SendToPeer(instance, BillsCommitted(sender, ids))
                case BillStatus.DUPLICATE:
                    yield SendToPeer(instance, BillsDuplicated(sender, ids))

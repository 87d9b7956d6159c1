"""Loans, recalls and grant sizes of one shard."""

import dataclasses
from collections.abc import Iterator

from kingcuphead.budgets._demand import Demand
from kingcuphead.budgets._flush import (
    GrantChange,
)
from kingcuphead.budgets._lender import Lender, WaitingRequest
from kingcuphead.budgets._messages import (
    SendToPeer,
)
from kingcuphead.budgets._peer_messages import (
    CreditDenied,
    CreditLent,
    CreditRecalled,
    Denial,
    GrantRecalled,
    GrantYielded,
)
from kingcuphead.budgets._routing import Routing, get_instance
from kingcuphead.budgets._rows import BudgetState, ShardRow
from kingcuphead.budgets._settings import Settings
from kingcuphead.budgets._store import Store
from kingcuphead.records import BudgetPolicy

#: State that stands for a budget without an entry in the shard row.
NO_BUDGET = BudgetState(limit=0)

#: `retry_after` of a denial, in seconds, unless the budget is exhausted.
RETRY_SECONDS = 1.0


@dataclasses.dataclass(slots=True)
class Lending:
    """Lends, recalls and denies credit, and determines the sizes of the grants."""

    #: Name of this incarnation, also the id of its grants.
    incarnation: str
    #: Settings of the budget state machines.
    settings: Settings
    #: Membership view and suspected daemons.
    routing: Routing
    #: Cached shard row, which is only read here.
    store: Store
    #: Grants and loans by budget name.
    lenders: dict[str, Lender] = dataclasses.field(default_factory=dict)
    #: Whether the daemon is shutting down.
    closing: bool = False

    def get_or_create_lender(self, budget: str, budget_policy: BudgetPolicy) -> Lender:
        """Return the lender of a budget and create it if there is none."""
        policy = self.settings.choose_policy(budget_policy)
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

    def process_requests(self, lender: Lender, now: float) -> Iterator[SendToPeer]:
        """Lend to waiting requests; recall credit for the others or deny them."""
        yield from self.lend_to_waiting(lender, now)
        for waiting in list(lender.waiting.values()):
            yield from self.recall_or_deny(lender, waiting, now)
        yield from self.reply_to_recallers(lender, now)

    def lend_to_waiting(self, lender: Lender, now: float) -> Iterator[SendToPeer]:
        """Lend to the waiting requests that available credit covers."""
        if self.closing:
            return
        unallocated = self.get_budget(lender.budget).unallocated
        for borrower, waiting in list(lender.waiting.items()):
            if lender.compute_shortfall(waiting.message) > lender.available:
                continue
            del lender.waiting[borrower]
            lender.lend(waiting.message, unallocated, now)
            lender.check_loans()
            yield self.build_loan(lender, borrower, now)

    def build_loan(self, lender: Lender, borrower: str, now: float) -> SendToPeer:
        """Return the message that reports a credit line to its borrower."""
        line = lender.get_line(borrower)
        unallocated = self.get_budget(lender.budget).unallocated
        scarce = self.closing or lender.is_scarce(unallocated, now)
        message = CreditLent(
            sender=self.incarnation,
            borrower=borrower,
            budget=lender.budget,
            lent_total=line.lent,
            returned_total=line.returned,
            scarce=scarce,
        )
        return SendToPeer(get_instance(borrower), message)

    def recall_or_deny(
        self, lender: Lender, waiting: WaitingRequest, now: float
    ) -> Iterator[SendToPeer]:
        """Recall credit for an uncovered request; deny it if `find_denial` says so."""
        if not self.is_coverable(lender, waiting) and self.is_recall_due(lender, now):
            yield from self.recall_lines(lender, now)
            yield from self.recall_grants(lender, now)
            waiting = lender.waiting[waiting.message.sender]
        denial = self.find_denial(lender, waiting, now)
        if denial is None:
            return
        del lender.waiting[waiting.message.sender]
        exhausted = denial is Denial.EXHAUSTED
        after = self.settings.exhausted_retry_after if exhausted else RETRY_SECONDS
        message = CreditDenied(
            self.incarnation,
            lender.budget,
            waiting.message.sequence,
            denial,
            after,
        )
        yield SendToPeer(get_instance(waiting.message.sender), message)

    def is_coverable(self, lender: Lender, waiting: WaitingRequest) -> bool:
        """Return whether own credit and unallocated tokens cover a request."""
        if self.store.row is None:
            return True
        unallocated = self.get_budget(lender.budget).unallocated
        # Tokens that a flush returns can be granted again once its outcome is known.
        obtainable = lender.available + lender.yielding + unallocated
        return lender.compute_shortfall(waiting.message) <= obtainable

    def find_denial(
        self, lender: Lender, waiting: WaitingRequest, now: float
    ) -> Denial | None:
        """Return why a request is denied, or None while it keeps waiting."""
        late = now - waiting.arrived_at >= self.settings.credit_request_timeout
        store = self.store
        # A single lost reply does not count as an outage, since a retry may succeed.
        outage = now - store.failing_since >= self.settings.outage_seconds
        failed = store.failing and outage and store.failed_at >= waiting.arrived_at
        if self.closing:
            return Denial.UNREACHABLE
        if self.is_coverable(lender, waiting):
            return Denial.UNREACHABLE if failed else None
        if store.fresh_at < waiting.arrived_at:
            return Denial.UNREACHABLE if failed else None
        candidates = set(self.iterate_idle_candidates(lender, waiting))
        if not candidates:
            return Denial.EXHAUSTED
        # Unreachable candidates are not expected to reply.
        may_reply = any(self.routing.is_reachable(name, now) for name in candidates)
        return None if may_reply and not late else Denial.UNPROVEN

    def iterate_idle_candidates(
        self, lender: Lender, waiting: WaitingRequest
    ) -> Iterator[str]:
        """Yield the instances that may have idle credit for a request.

        These are the borrowers that did not answer a recall, and the holders of other
        grants that did not yield between the arrival of the request and the last read
        of the shard row.
        """
        for borrower in lender.iterate_idle_candidates(waiting):
            yield get_instance(borrower)
        for grant_id in self.iterate_other_grants(lender):
            yielded_at = lender.yielded_at.get(grant_id, float("-inf"))
            if not waiting.arrived_at <= yielded_at <= self.store.fresh_at:
                yield get_instance(grant_id)

    def iterate_other_grants(self, lender: Lender) -> Iterator[str]:
        """Yield the ids of the grants of other holders."""
        for grant_id in self.get_budget(lender.budget).grants:
            if grant_id != self.incarnation:
                yield grant_id

    def is_recall_due(self, lender: Lender, now: float) -> bool:
        """Return whether `recall_interval` has passed since the last recall."""
        return now - lender.recalled_at >= self.settings.recall_interval

    def recall_lines(self, lender: Lender, now: float) -> Iterator[SendToPeer]:
        """Recall idle credit from the borrowers."""
        for borrower in lender.start_recall(now):
            message = CreditRecalled(
                sender=self.incarnation,
                borrower=borrower,
                budget=lender.budget,
                lent_total=lender.get_line(borrower).lent,
                recall=lender.last_recall,
            )
            yield SendToPeer(get_instance(borrower), message)

    def recall_grants(self, lender: Lender, now: float) -> Iterator[SendToPeer]:
        """Recall the idle part of the grants of other reachable holders."""
        for grant_id in self.iterate_other_grants(lender):
            instance = get_instance(grant_id)
            if self.routing.is_reachable(instance, now):
                message = GrantRecalled(self.incarnation, lender.budget)
                yield SendToPeer(instance, message)

    def reply_to_recallers(self, lender: Lender, now: float) -> Iterator[SendToPeer]:
        """Send `GrantYielded` to recallers once the shard row includes all idle credit.

        Borrowers that have not answered their recall delay it for at most half of the
        timeout of a credit request.
        """
        if not lender.recallers:
            return
        late = now - lender.peer_recalled_at >= self.settings.credit_request_timeout / 2
        has_pending = any(lender.iterate_recall_pending(lender.last_recall))
        idle = lender.yielding or lender.available > lender.sum_shortfalls()
        if idle or (has_pending and not late):
            return
        recallers, lender.recallers = lender.recallers, set()
        for incarnation in recallers:
            message = GrantYielded(self.incarnation, lender.budget)
            yield SendToPeer(get_instance(incarnation), message)

    def resend_loans(self, lender: Lender, now: float) -> Iterator[SendToPeer]:
        """Resend the loans that their borrowers have not confirmed."""
        if now - lender.resent_at < self.settings.recheck_interval:
            return
        lender.resent_at = now
        for borrower in lender.iterate_unconfirmed():
            yield self.build_loan(lender, borrower, now)

    def is_row_too_old(self, now: float) -> bool:
        """Return whether a request requires a newer row.

        This is a request that arrived after the row was read and that the row does
        not cover.
        """
        if now - self.store.fresh_at < self.settings.read_interval:
            return False
        return any(
            waiting.arrived_at > self.store.fresh_at
            and not self.is_coverable(lender, waiting)
            for lender in self.lenders.values()
            for waiting in lender.waiting.values()
        )

    def plan_changes(self, row: ShardRow, now: float) -> Iterator[GrantChange]:
        """Yield the changes of the own grants that adapt them to the demand.

        Parameters
        ----------
        row : ShardRow
            Shard row after the bills of the flush.
        now : float
            Monotonic time in seconds.
        """
        for lender in self.lenders.values():
            budget = row.budgets.get(lender.budget)
            if budget is None:
                continue
            # The row may include a bill that another home has dropped as a duplicate.
            # Its credit was returned and is available, too, so the grant does not cover
            # both and the change is limited. The commit then fails with a conflict.
            amount = budget.get_grant(self.incarnation)
            tokens = max(-amount, self.plan_change(lender, budget.unallocated, now))
            if tokens:
                yield GrantChange(lender.budget, tokens)

    def plan_change(self, lender: Lender, unallocated: int, now: float) -> int:
        """Return the tokens to add to the grant, or to return if negative."""
        shortfall = 0 if self.closing else lender.sum_shortfalls()
        buffer = 0 if self.closing else lender.compute_buffer(unallocated, now)
        available = lender.available
        if available < shortfall or available < buffer / 2:
            return min(shortfall + buffer - available, unallocated)
        keep = shortfall + buffer
        return keep - available if available > 2 * keep else 0

    def update_yielding(self) -> None:
        """Set the yielding tokens to what the flush in progress deducts from grants."""
        flush = self.store.flush
        for lender in self.lenders.values():
            lender.yielding = flush.yields.get(lender.budget, 0) if flush else 0

    def sum_unreachable(self, lender: Lender) -> int:
        """Return the tokens lent to daemons that left the membership view."""
        members = self.routing.members
        return sum(
            line.outstanding
            for borrower, line in lender.lines.items()
            if get_instance(borrower) not in members
        )

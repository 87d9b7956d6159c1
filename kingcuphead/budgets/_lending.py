"""Loans and grants of one shard."""

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

#: A budget that was never created.
NO_BUDGET = BudgetState(limit=0)

#: Seconds after which a refused caller may try again where no better time is known.
RETRY_SECONDS = 1.0


@dataclasses.dataclass(slots=True)
class Lending:
    """Decides who gets credit, who is refused, and how large the grants are."""

    #: This incarnation, also the id of its grants.
    incarnation: str
    #: Settings.
    settings: Settings
    #: Beliefs about the other daemons.
    routing: Routing
    #: The shard in the table; read only.
    store: Store
    #: State by budget name.
    lenders: dict[str, Lender] = dataclasses.field(default_factory=dict)
    #: Whether the daemon is shutting down.
    closing: bool = False

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

    def attend(self, lender: Lender, now: float) -> Iterator[SendToPeer]:
        """Serve what can be served and judge the rest."""
        yield from self.serve(lender, now)
        for waiting in list(lender.waiting.values()):
            yield from self.judge(lender, waiting, now)
        yield from self.answer_recallers(lender, now)

    def serve(self, lender: Lender, now: float) -> Iterator[SendToPeer]:
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
    ) -> Iterator[SendToPeer]:
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
        # What a flush gives back can be taken again once its outcome is known.
        obtainable = lender.available + lender.yielding + remaining
        return lender.compute_short(waiting.message) <= obtainable

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

    def recall_lines(self, lender: Lender, now: float) -> Iterator[SendToPeer]:
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

    def recall_grants(self, lender: Lender, now: float) -> Iterator[SendToPeer]:
        """Ask the other holders to give back what is idle."""
        for grant_id in self.iterate_foreign(lender):
            instance = get_instance(grant_id)
            if self.routing.is_reachable(instance, now):
                message = GrantRecalled(self.incarnation, lender.budget)
                yield SendToPeer(instance, message)

    def answer_recallers(self, lender: Lender, now: float) -> Iterator[SendToPeer]:
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

    def repeat_loans(self, lender: Lender, now: float) -> Iterator[SendToPeer]:
        """Repeat loans that the borrower may not know of."""
        if now - lender.repeated_at < self.settings.recheck_interval:
            return
        lender.repeated_at = now
        for borrower in lender.iterate_unconfirmed():
            yield self.build_loan(lender, borrower, now)

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

    def sync_yields(self) -> None:
        """Set aside what the flush under way gives back, nothing else."""
        flush = self.store.flush
        for lender in self.lenders.values():
            lender.yielding = flush.yields.get(lender.budget, 0) if flush else 0

    def sum_unreachable(self, lender: Lender) -> int:
        """Return the tokens lent to daemons that are gone."""
        members = self.routing.members
        return sum(
            line.outstanding
            for borrower, line in lender.lines.items()
            if get_instance(borrower) not in members
        )

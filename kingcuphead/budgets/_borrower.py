"""Holds credit for the requests of one daemon."""

import dataclasses
from collections.abc import Iterator

from kingcuphead.budgets._account import Account, Ask, Hold
from kingcuphead.budgets._borrower_effects import BillMade, BorrowerEffect
from kingcuphead.budgets._demand import Demand
from kingcuphead.budgets._messages import (
    FaultReported,
    HoldGranted,
    HoldReleased,
    HoldRequested,
    HoldSettled,
    SendToPeer,
)
from kingcuphead.budgets._peer_messages import (
    CreditDenied,
    CreditLent,
    CreditRecalled,
    CreditRequested,
    CreditReturned,
    Denial,
)
from kingcuphead.budgets._refusals import refuse, refuse_denied
from kingcuphead.budgets._routing import Routing, get_instance
from kingcuphead.budgets._rows import Bill, compute_shard
from kingcuphead.budgets._settings import Settings
from kingcuphead.invariants import ensure
from kingcuphead.records import BudgetPolicy
from kingcuphead.verdict import Reason

#: Ticks in which each account is looked at once, unless a hold waits on it.
TICK_TURNS = 8


@dataclasses.dataclass(slots=True)
class Borrower:
    """Grants holds from credit lines and asks homes for more credit."""

    #: This incarnation.
    incarnation: str
    #: Settings.
    settings: Settings
    #: Beliefs about the other daemons.
    routing: Routing
    #: State by budget name.
    accounts: dict[str, Account] = dataclasses.field(default_factory=dict)
    #: Names of the budgets that have to be looked at as time passes.
    active: set[str] = dataclasses.field(default_factory=set)
    #: Granted holds by hold id.
    holds: dict[str, Hold] = dataclasses.field(default_factory=dict)
    #: Whether the daemon is shutting down.
    closing: bool = False
    #: Number of the last bill.
    bill_count: int = 0
    #: Number of the last tick.
    ticks: int = 0

    def request_hold(
        self, request: HoldRequested, now: float
    ) -> Iterator[BorrowerEffect]:
        """Grant a hold from free credit, or let it wait for more."""
        if self.closing:
            yield refuse(request, Reason.SHUTTING_DOWN, "the daemon shuts down")
            return
        account = self.open_account(request.budget, request.policy)
        account.demand = account.demand.with_sample(request.tokens, now)
        account.used_at = now
        account.waiting.append(request)
        yield from self.serve(account, now)
        yield from self.ask_if_short(account, now)

    def release(self, message: HoldReleased, now: float) -> Iterator[BorrowerEffect]:
        """Free the credit of a request that did not run."""
        hold = self.holds.pop(message.hold_id, None)
        if hold is None:
            self.drop_waiting(message.hold_id)
            return
        account = self.accounts[hold.request.budget]
        line = account.lines[hold.grant_id]
        account.lines[hold.grant_id] = line.with_settlement(hold.request.tokens, 0)
        yield from self.reuse(account, now)

    def settle(self, message: HoldSettled, now: float) -> Iterator[BorrowerEffect]:
        """Turn a hold into a bill; what it did not use is free again."""
        hold = self.holds.pop(message.hold_id, None)
        if hold is None:
            return
        request = hold.request
        used = message.prompt_tokens + message.completion_tokens
        if used > request.tokens:
            detail = f"{used} tokens reported for a bound of {request.tokens}"
            yield FaultReported("usage_above_bound", request.budget, detail)
        tokens = min(used, request.tokens) if message.measured else request.tokens
        account = self.accounts[request.budget]
        line = account.lines[hold.grant_id]
        account.lines[hold.grant_id] = line.with_settlement(request.tokens, tokens)
        yield BillMade(message.hold_id, self.build_bill(hold, message, tokens))
        yield from self.reuse(account, now)

    def build_bill(self, hold: Hold, message: HoldSettled, tokens: int) -> Bill:
        """Return the bill of a hold."""
        self.bill_count += 1
        return Bill(
            bill_id=f"{self.incarnation}#{self.bill_count}",
            request_id=hold.request.request_id,
            budget=hold.request.budget,
            organisation=hold.request.organisation,
            borrower=self.incarnation,
            grant_id=hold.grant_id,
            tokens=tokens,
            prompt_tokens=message.prompt_tokens,
            completion_tokens=message.completion_tokens,
            measured=message.measured,
            settled_at=message.settled_at,
        )

    def refund(self, bill: Bill, now: float) -> Iterator[BorrowerEffect]:
        """Free the credit of a bill that was dropped as a duplicate."""
        ensure(bill.borrower == self.incarnation, "a refund is for own bills")
        account = self.accounts[bill.budget]
        line = account.lines[bill.grant_id]
        account.lines[bill.grant_id] = line.with_refund(bill.tokens)
        yield from self.reuse(account, now)

    def receive_loan(self, message: CreditLent, now: float) -> Iterator[BorrowerEffect]:
        """Add credit that a home lent."""
        account = self.accounts.get(message.budget)
        if account is None or message.borrower != self.incarnation:
            return
        instance = get_instance(message.sender)
        self.routing.trust(instance)
        account.lenders[instance] = message.sender
        account.scarce = message.scarce
        before = account.get_line(message.sender)
        line = before.with_receipt(message.lent_total, message.returned_total)
        account.lines[message.sender] = line
        self.note_answer(account, instance, line.received > before.received, now)
        yield from self.reuse(account, now)

    def note_answer(
        self, account: Account, instance: str, gained: bool, now: float
    ) -> None:
        """Take note that a home is alive, and whether it gave something."""
        ask = account.ask
        if ask is None or ask.instance != instance:
            return
        # An ask that nobody waits for, or that brought nothing, stays, so that the
        # next one waits its interval.
        answered = dataclasses.replace(ask, silent_since=now)
        account.ask = None if gained and account.waiting else answered

    def receive_denial(
        self, message: CreditDenied, now: float
    ) -> Iterator[BorrowerEffect]:
        """Refuse the holds that the denial is about, or try another home."""
        account = self.accounts.get(message.budget)
        if account is None or account.ask is None:
            return
        if message.sequence != account.sequence:
            return
        ask = account.ask
        if not ask.tokens:
            # Nobody waits, so the next try has time until its interval is over.
            self.note_answer(account, ask.instance, False, now)
            return
        account.ask = None
        unreachable = message.denial is Denial.UNREACHABLE
        if not unreachable or not self.routing.pass_over(
            ask.instance, account.shard, now
        ):
            yield from self.refuse_waiting(account, ask.tokens, message)
        yield from self.ask_if_short(account, now)

    def refuse_waiting(
        self, account: Account, tokens: int, message: CreditDenied
    ) -> Iterator[BorrowerEffect]:
        """Refuse the waiting holds of at least this size."""
        refused = [hold for hold in account.waiting if hold.tokens >= tokens]
        account.waiting = [hold for hold in account.waiting if hold.tokens < tokens]
        for request in refused:
            yield refuse_denied(request, message)

    def recall(self, message: CreditRecalled, now: float) -> Iterator[BorrowerEffect]:
        """Give idle credit back at once, and report the line in any case."""
        account = self.accounts.get(message.budget)
        if account is None or message.borrower != self.incarnation:
            return
        line = account.get_line(message.sender)
        account.lines[message.sender] = line.with_receipt(message.lent_total, 0)
        account.scarce = True
        self.active.add(account.budget)
        answered = account.recalls.get(message.sender, 0)
        account.recalls[message.sender] = max(answered, message.recall)
        yield from self.serve(account, now)
        yield from self.give_back(account, message.sender, now)

    def tick(self, now: float) -> Iterator[BorrowerEffect]:
        """Look after the accounts with waiting holds, and a part of the others."""
        self.ticks += 1
        turn = self.ticks % TICK_TURNS
        for budget in sorted(self.active):
            account = self.accounts[budget]
            if account.waiting or account.turn == turn:
                yield from self.attend(account, now)

    def attend(self, account: Account, now: float) -> Iterator[BorrowerEffect]:
        """Expire holds, repeat requests and return idle credit."""
        for request in account.take_expired(now):
            yield refuse(
                request, Reason.CREDIT_UNAVAILABLE, "no credit before the deadline"
            )
        self.suspect_silent(account, now)
        yield from self.ask_if_short(account, now)
        yield from self.return_idle(account, now)
        yield from self.repeat_reports(account, now)
        if account.is_quiet():
            self.active.discard(account.budget)

    def close(self, now: float) -> Iterator[BorrowerEffect]:
        """Refuse what waits and start to give everything back."""
        self.closing = True
        for account in self.accounts.values():
            waiting, account.waiting = account.waiting, []
            for request in waiting:
                yield refuse(request, Reason.SHUTTING_DOWN, "the daemon shuts down")
            account.scarce = True
            self.active.add(account.budget)
            yield from self.return_idle(account, now)

    def is_settled(self, now: float) -> bool:
        """Return whether every reachable lender knows that all was given back.

        A return that is lost with the daemon would leave its credit charged.
        """
        return all(
            not line.free and line.returned <= line.acknowledged
            for account in self.accounts.values()
            for grant_id, line in account.lines.items()
            if self.routing.is_reachable(get_instance(grant_id), now)
        )

    def surrender(self, budget: str, grant_id: str) -> int:
        """Give up a line for good; return the tokens that are still held."""
        account = self.open_account(budget, BudgetPolicy.STRICT)
        line = account.get_line(grant_id).with_surrender()
        account.lines[grant_id] = line
        return line.held

    @property
    def own_name(self) -> str:
        """Name of this instance."""
        return self.routing.own.name

    def open_account(self, budget: str, kind: BudgetPolicy) -> Account:
        """Return the account of a budget under its present policy."""
        self.active.add(budget)
        policy = self.settings.choose_policy(kind)
        account = self.accounts.get(budget)
        if account is None:
            shard = compute_shard(budget, self.settings.shards)
            demand = Demand(self.settings.demand_seconds)
            turn = len(self.accounts) % TICK_TURNS
            account = Account(budget, shard, kind, policy, demand, turn)
            self.accounts[budget] = account
        account.kind, account.policy = kind, policy
        return account

    def drop_waiting(self, hold_id: str) -> None:
        """Forget a waiting hold."""
        for account in self.accounts.values():
            kept = [hold for hold in account.waiting if hold.hold_id != hold_id]
            account.waiting = kept

    def serve(self, account: Account, now: float) -> Iterator[BorrowerEffect]:
        """Grant the waiting holds in order, as far as free credit covers them."""
        home = self.routing.choose_home(account.shard, now).name
        while account.waiting:
            request = account.waiting[0]
            grant_id = account.find_line(request.tokens, home)
            if grant_id is None:
                return
            account.waiting.pop(0)
            line = account.lines[grant_id]
            account.lines[grant_id] = line.with_hold(request.tokens)
            self.holds[request.hold_id] = Hold(request, grant_id)
            yield HoldGranted(request.hold_id)

    def reuse(self, account: Account, now: float) -> Iterator[BorrowerEffect]:
        """Use credit that became free for waiting holds; return it if scarce."""
        self.active.add(account.budget)
        yield from self.serve(account, now)
        yield from self.ask_if_short(account, now)
        if account.scarce:
            yield from self.return_idle(account, now)

    def ask_if_short(self, account: Account, now: float) -> Iterator[BorrowerEffect]:
        """Ask the home for credit if holds wait or the reserve is half used."""
        reserve = 0 if self.closing else account.compute_reserve(now)
        if not account.waiting and account.free >= reserve / 2:
            account.ask = None
            return
        tokens = account.waiting[0].tokens if account.waiting else 0
        ask = account.ask
        fresh = ask is not None and now - ask.sent_at < self.settings.ask_interval
        if ask is not None and ask.tokens == tokens and fresh:
            return
        yield self.build_request(account, tokens, reserve, now)

    def build_request(
        self, account: Account, tokens: int, reserve: int, now: float
    ) -> SendToPeer:
        """Return a credit request to the home and take note of it."""
        home = self.routing.choose_home(account.shard, now).name
        ask = account.ask
        same = ask is not None and ask.instance == home
        silent_since = ask.silent_since if ask is not None and same else now
        account.ask = Ask(home, silent_since, now, tokens)
        account.sequence += 1
        lender = account.lenders.get(home, "")
        line = account.get_line(lender)
        queued = sum(request.tokens for request in account.waiting)
        spare = 0 if account.waiting else account.free
        message = CreditRequested(
            sender=self.incarnation,
            budget=account.budget,
            lender=lender,
            received_total=line.received,
            returned_total=line.returned,
            needed=max(0, tokens - line.free) if account.waiting else 0,
            queued=max(0, queued - line.free) if account.waiting else 0,
            wanted=max(0, queued + reserve - spare),
            sequence=account.sequence,
            policy=account.kind,
        )
        return SendToPeer(home, message)

    def suspect_silent(self, account: Account, now: float) -> None:
        """Pass over a home that did not answer, so that the next ask goes on."""
        ask = account.ask
        if ask is None or ask.instance == self.own_name:
            return
        if now - ask.silent_since >= self.settings.home_timeout:
            self.routing.suspect(ask.instance, now)
            account.ask = None

    def return_idle(self, account: Account, now: float) -> Iterator[BorrowerEffect]:
        """Return the credit that demand does not justify to reachable lenders."""
        if account.waiting:
            return
        reserve = account.compute_reserve(now)
        excess = account.free - reserve
        if excess <= 0 or account.free <= 2 * reserve:
            return
        for grant_id, line in list(account.lines.items()):
            tokens = min(line.free, excess)
            # One return at a time: what is on the way into a cut helps nobody.
            acknowledged = line.returned <= line.acknowledged
            reachable = self.routing.is_reachable(get_instance(grant_id), now)
            if tokens and acknowledged and reachable:
                excess -= tokens
                yield from self.give_back(account, grant_id, now, tokens)

    def give_back(
        self, account: Account, grant_id: str, now: float, tokens: int | None = None
    ) -> Iterator[BorrowerEffect]:
        """Debit free credit, all of it by default, and report the line."""
        line = account.lines[grant_id]
        amount = line.free if tokens is None else tokens
        account.lines[grant_id] = line.with_return(amount)
        yield self.build_report(account, grant_id, now)

    def repeat_reports(self, account: Account, now: float) -> Iterator[BorrowerEffect]:
        """Repeat the returns that the lender has not acknowledged."""
        for grant_id, line in account.lines.items():
            reported_at = account.reported_at.get(grant_id, now)
            due = now - reported_at >= self.settings.resend_interval
            reachable = self.routing.is_reachable(get_instance(grant_id), now)
            if due and reachable and line.returned > line.acknowledged:
                yield self.build_report(account, grant_id, now)

    def build_report(self, account: Account, grant_id: str, now: float) -> SendToPeer:
        """Return a report of a line to its lender."""
        account.reported_at[grant_id] = now
        line = account.lines[grant_id]
        message = CreditReturned(
            sender=self.incarnation,
            budget=account.budget,
            lender=grant_id,
            received_total=line.received,
            returned_total=line.returned,
            recall=account.recalls.get(grant_id, 0),
        )
        return SendToPeer(get_instance(grant_id), message)

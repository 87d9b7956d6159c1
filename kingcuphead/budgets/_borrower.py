"""Borrower state machine of one daemon: holds, credit requests and returns."""

import dataclasses
from collections.abc import Iterator

from kingcuphead.budgets._account import Account, Hold, OpenCreditRequest
from kingcuphead.budgets._borrower_effects import BillCreated, BorrowerEffect
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

#: Number of ticks in which each account without a waiting hold is maintained once.
TICK_SLOTS = 8


@dataclasses.dataclass(slots=True)
class Borrower:
    """Grants holds from credit lines and requests more credit from homes."""

    #: Name of this incarnation.
    incarnation: str
    #: Settings of the budget state machines.
    settings: Settings
    #: Membership view and suspected daemons.
    routing: Routing
    #: Accounts by budget name.
    accounts: dict[str, Account] = dataclasses.field(default_factory=dict)
    #: Names of the budgets whose accounts need maintenance on ticks.
    active: set[str] = dataclasses.field(default_factory=set)
    #: Granted holds by hold id.
    holds: dict[str, Hold] = dataclasses.field(default_factory=dict)
    #: Whether the daemon is shutting down.
    closing: bool = False
    #: Number of bills that this incarnation has built.
    bill_count: int = 0
    #: Number of ticks so far.
    ticks: int = 0

    def request_hold(
        self, request: HoldRequested, now: float
    ) -> Iterator[BorrowerEffect]:
        """Grant a hold from free credit, or enqueue it and request credit."""
        if self.closing:
            yield refuse(request, Reason.SHUTTING_DOWN, "the daemon is shutting down")
            return
        account = self.get_or_create_account(request.budget, request.policy)
        account.demand = account.demand.with_sample(request.tokens, now)
        account.used_at = now
        account.waiting.append(request)
        yield from self.grant_waiting(account, now)
        yield from self.request_credit_if_short(account, now)

    def release(self, message: HoldReleased, now: float) -> Iterator[BorrowerEffect]:
        """End a hold without a bill, or remove it while it waits."""
        hold = self.holds.pop(message.hold_id, None)
        if hold is None:
            self.drop_waiting(message.hold_id)
            return
        account = self.accounts[hold.request.budget]
        line = account.lines[hold.grant_id]
        account.lines[hold.grant_id] = line.with_settlement(hold.request.tokens, 0)
        yield from self.use_freed_credit(account, now)

    def settle(self, message: HoldSettled, now: float) -> Iterator[BorrowerEffect]:
        """Settle a hold by a bill, which frees the unused tokens."""
        hold = self.holds.pop(message.hold_id, None)
        if hold is None:
            return
        request = hold.request
        used = message.prompt_tokens + message.completion_tokens
        if used > request.tokens:
            detail = f"{used} tokens reported, upper bound was {request.tokens}"
            yield FaultReported("usage_above_bound", request.budget, detail)
        tokens = min(used, request.tokens) if message.measured else request.tokens
        account = self.accounts[request.budget]
        line = account.lines[hold.grant_id]
        account.lines[hold.grant_id] = line.with_settlement(request.tokens, tokens)
        yield BillCreated(message.hold_id, self.build_bill(hold, message, tokens))
        yield from self.use_freed_credit(account, now)

    def build_bill(self, hold: Hold, message: HoldSettled, tokens: int) -> Bill:
        """Return the bill of a settled hold."""
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
        ensure(bill.borrower == self.incarnation, "only own bills are refunded")
        account = self.accounts[bill.budget]
        line = account.lines[bill.grant_id]
        account.lines[bill.grant_id] = line.with_refund(bill.tokens)
        yield from self.use_freed_credit(account, now)

    def handle_loan(self, message: CreditLent, now: float) -> Iterator[BorrowerEffect]:
        """Apply a loan of a home to its credit line."""
        account = self.accounts.get(message.budget)
        if account is None or message.borrower != self.incarnation:
            return
        instance = get_instance(message.sender)
        self.routing.clear_suspicion(instance)
        account.lenders[instance] = message.sender
        account.scarce = message.scarce
        before = account.get_line(message.sender)
        line = before.with_receipt(message.lent_total, message.returned_total)
        account.lines[message.sender] = line
        self.record_reply(account, instance, line.received > before.received, now)
        yield from self.use_freed_credit(account, now)

    def record_reply(
        self, account: Account, instance: str, gained: bool, now: float
    ) -> None:
        """Record a reply of a home; close the credit request if it led to a loan."""
        open_request = account.open_request
        if open_request is None or open_request.instance != instance:
            return
        # The request stays open if no hold waits or nothing was lent, so that the
        # next one is sent only after `credit_request_interval`.
        answered = dataclasses.replace(open_request, unanswered_since=now)
        account.open_request = None if gained and account.waiting else answered

    def handle_denial(
        self, message: CreditDenied, now: float
    ) -> Iterator[BorrowerEffect]:
        """Try another home, or refuse the waiting holds that were denied."""
        account = self.accounts.get(message.budget)
        if account is None or account.open_request is None:
            return
        if message.sequence != account.sequence:
            return
        open_request = account.open_request
        if not open_request.tokens:
            # No hold waits, so the next request is sent only after the interval.
            self.record_reply(account, open_request.instance, False, now)
            return
        account.open_request = None
        unreachable = message.denial is Denial.UNREACHABLE
        if not unreachable or not self.routing.skip_home(
            open_request.instance, account.shard, now
        ):
            yield from self.refuse_waiting(account, open_request.tokens, message)
        yield from self.request_credit_if_short(account, now)

    def refuse_waiting(
        self, account: Account, tokens: int, message: CreditDenied
    ) -> Iterator[BorrowerEffect]:
        """Refuse the waiting holds of at least this number of tokens."""
        refused = [hold for hold in account.waiting if hold.tokens >= tokens]
        account.waiting = [hold for hold in account.waiting if hold.tokens < tokens]
        for request in refused:
            yield refuse_denied(request, message)

    def handle_recall(
        self, message: CreditRecalled, now: float
    ) -> Iterator[BorrowerEffect]:
        """Return idle credit at once, and report the credit line in any case."""
        account = self.accounts.get(message.budget)
        if account is None or message.borrower != self.incarnation:
            return
        line = account.get_line(message.sender)
        account.lines[message.sender] = line.with_receipt(message.lent_total, 0)
        account.scarce = True
        self.active.add(account.budget)
        answered = account.answered_recalls.get(message.sender, 0)
        account.answered_recalls[message.sender] = max(answered, message.recall)
        yield from self.grant_waiting(account, now)
        yield from self.return_credit(account, message.sender, now)

    def tick(self, now: float) -> Iterator[BorrowerEffect]:
        """Maintain the accounts with waiting holds and a fraction of the others."""
        self.ticks += 1
        tick_slot = self.ticks % TICK_SLOTS
        for budget in sorted(self.active):
            account = self.accounts[budget]
            if account.waiting or account.tick_slot == tick_slot:
                yield from self.maintain_account(account, now)

    def maintain_account(
        self, account: Account, now: float
    ) -> Iterator[BorrowerEffect]:
        """Expire waiting holds, repeat requests and reports, and return idle credit."""
        for request in account.remove_expired(now):
            yield refuse(
                request,
                Reason.CREDIT_UNAVAILABLE,
                "no credit was lent before the deadline",
            )
        self.suspect_unresponsive(account, now)
        yield from self.request_credit_if_short(account, now)
        yield from self.return_idle_credit(account, now)
        yield from self.resend_reports(account, now)
        if account.is_inactive():
            self.active.discard(account.budget)

    def start_shutdown(self, now: float) -> Iterator[BorrowerEffect]:
        """Refuse the waiting holds and start to return all credit."""
        self.closing = True
        for account in self.accounts.values():
            waiting, account.waiting = account.waiting, []
            for request in waiting:
                yield refuse(
                    request, Reason.SHUTTING_DOWN, "the daemon is shutting down"
                )
            account.scarce = True
            self.active.add(account.budget)
            yield from self.return_idle_credit(account, now)

    def has_returned_credit(self, now: float) -> bool:
        """Return whether every reachable lender acknowledged the return of all credit.

        A return that is lost when the daemon exits would leave its credit charged.
        """
        return all(
            not line.free and line.returned <= line.acknowledged
            for account in self.accounts.values()
            for grant_id, line in account.lines.items()
            if self.routing.is_reachable(get_instance(grant_id), now)
        )

    def surrender(self, budget: str, grant_id: str) -> int:
        """Surrender a credit line; return the tokens in its open holds."""
        account = self.get_or_create_account(budget, BudgetPolicy.STRICT)
        line = account.get_line(grant_id).with_surrender()
        account.lines[grant_id] = line
        return line.held

    @property
    def own_name(self) -> str:
        """Instance name of this daemon."""
        return self.routing.own.name

    def get_or_create_account(
        self, budget: str, budget_policy: BudgetPolicy
    ) -> Account:
        """Return the account of a budget and update its policy."""
        self.active.add(budget)
        policy = self.settings.choose_policy(budget_policy)
        account = self.accounts.get(budget)
        if account is None:
            shard = compute_shard(budget, self.settings.shards)
            demand = Demand(self.settings.demand_seconds)
            tick_slot = len(self.accounts) % TICK_SLOTS
            account = Account(budget, shard, budget_policy, policy, demand, tick_slot)
            self.accounts[budget] = account
        account.budget_policy, account.policy = budget_policy, policy
        return account

    def drop_waiting(self, hold_id: str) -> None:
        """Remove a waiting hold."""
        for account in self.accounts.values():
            kept = [hold for hold in account.waiting if hold.hold_id != hold_id]
            account.waiting = kept

    def grant_waiting(self, account: Account, now: float) -> Iterator[BorrowerEffect]:
        """Grant the waiting holds in order until free credit does not cover one."""
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

    def use_freed_credit(
        self, account: Account, now: float
    ) -> Iterator[BorrowerEffect]:
        """Grant waiting holds from freed credit; return the rest if it is scarce."""
        self.active.add(account.budget)
        yield from self.grant_waiting(account, now)
        yield from self.request_credit_if_short(account, now)
        if account.scarce:
            yield from self.return_idle_credit(account, now)

    def request_credit_if_short(
        self, account: Account, now: float
    ) -> Iterator[BorrowerEffect]:
        """Request credit if holds wait or less than half of the buffer is free."""
        buffer = 0 if self.closing else account.compute_buffer(now)
        if not account.waiting and account.free >= buffer / 2:
            account.open_request = None
            return
        tokens = account.waiting[0].tokens if account.waiting else 0
        open_request = account.open_request
        fresh = (
            open_request is not None
            and now - open_request.sent_at < self.settings.credit_request_interval
        )
        if open_request is not None and open_request.tokens == tokens and fresh:
            return
        yield self.build_credit_request(account, tokens, buffer, now)

    def build_credit_request(
        self, account: Account, tokens: int, buffer: int, now: float
    ) -> SendToPeer:
        """Return a credit request to the home and record it as open."""
        home = self.routing.choose_home(account.shard, now).name
        open_request = account.open_request
        same = open_request is not None and open_request.instance == home
        unanswered_since = (
            open_request.unanswered_since if open_request is not None and same else now
        )
        account.open_request = OpenCreditRequest(home, unanswered_since, now, tokens)
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
            wanted=max(0, queued + buffer - spare),
            sequence=account.sequence,
            policy=account.budget_policy,
        )
        return SendToPeer(home, message)

    def suspect_unresponsive(self, account: Account, now: float) -> None:
        """Suspect a home that did not reply in time, so that the next one is tried."""
        open_request = account.open_request
        if open_request is None or open_request.instance == self.own_name:
            return
        if now - open_request.unanswered_since >= self.settings.home_timeout:
            self.routing.suspect(open_request.instance, now)
            account.open_request = None

    def return_idle_credit(
        self, account: Account, now: float
    ) -> Iterator[BorrowerEffect]:
        """Return the free credit above the buffer to reachable lenders."""
        if account.waiting:
            return
        buffer = account.compute_buffer(now)
        excess = account.free - buffer
        if excess <= 0 or account.free <= 2 * buffer:
            return
        for grant_id, line in list(account.lines.items()):
            tokens = min(line.free, excess)
            # At most one unacknowledged return for each credit line, since returns
            # that are lost in a partition are of use to no daemon.
            acknowledged = line.returned <= line.acknowledged
            reachable = self.routing.is_reachable(get_instance(grant_id), now)
            if tokens and acknowledged and reachable:
                excess -= tokens
                yield from self.return_credit(account, grant_id, now, tokens)

    def return_credit(
        self, account: Account, grant_id: str, now: float, tokens: int | None = None
    ) -> Iterator[BorrowerEffect]:
        """Debit free credit, all of it by default, and report the credit line."""
        line = account.lines[grant_id]
        amount = line.free if tokens is None else tokens
        account.lines[grant_id] = line.with_return(amount)
        yield self.build_report(account, grant_id, now)

    def resend_reports(self, account: Account, now: float) -> Iterator[BorrowerEffect]:
        """Resend the returns that their lenders have not acknowledged."""
        for grant_id, line in account.lines.items():
            reported_at = account.reported_at.get(grant_id, now)
            due = now - reported_at >= self.settings.resend_interval
            reachable = self.routing.is_reachable(get_instance(grant_id), now)
            if due and reachable and line.returned > line.acknowledged:
                yield self.build_report(account, grant_id, now)

    def build_report(self, account: Account, grant_id: str, now: float) -> SendToPeer:
        """Return the message that reports a credit line to its lender."""
        account.reported_at[grant_id] = now
        line = account.lines[grant_id]
        message = CreditReturned(
            sender=self.incarnation,
            budget=account.budget,
            lender=grant_id,
            received_total=line.received,
            returned_total=line.returned,
            recall=account.answered_recalls.get(grant_id, 0),
        )
        return SendToPeer(get_instance(grant_id), message)

"""Home state of one budget: the grant, the loans and the waiting requests."""

import dataclasses
from collections.abc import Iterator

from kingcuphead.budgets._credit_lines import LentLine
from kingcuphead.budgets._demand import Demand
from kingcuphead.budgets._peer_messages import CreditRequested, CreditReturned
from kingcuphead.budgets._rows import Bill
from kingcuphead.budgets._settings import Policy
from kingcuphead.invariants import ensure

#: Seconds after a recall by another holder in which a home keeps and lends no
#: buffer.
PEER_RECALL_SECONDS = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class WaitingRequest:
    """A credit request that free credit did not cover on arrival."""

    #: Latest message of the request.
    message: CreditRequested
    #: Monotonic time in seconds at which the request first arrived.
    arrived_at: float
    #: Number of the first recall after the arrival, 0 if there was none.
    first_recall: int = 0


@dataclasses.dataclass(slots=True)
class Lender:
    """Credit of one budget that this incarnation may lend."""

    #: Id of the grant, equal to the name of this incarnation.
    grant_id: str
    #: Budget name.
    budget: str
    #: Credit buffers that the policy of the budget defines.
    policy: Policy
    #: Recent demand in lent tokens.
    demand: Demand
    #: Tokens of the grant in the last known shard row.
    amount: int = 0
    #: Tokens that the flush in progress deducts from the grant.
    yielding: int = 0
    #: Credit lines by incarnation of the borrower.
    lines: dict[str, LentLine] = dataclasses.field(default_factory=dict)
    #: Waiting requests by incarnation of the borrower, oldest first.
    waiting: dict[str, WaitingRequest] = dataclasses.field(default_factory=dict)
    #: Number of the last recall.
    last_recall: int = 0
    #: Monotonic time in seconds of the last recall.
    recalled_at: float = float("-inf")
    #: Monotonic time in seconds at which unconfirmed loans were last resent.
    resent_at: float = float("-inf")
    #: Monotonic time in seconds of the last credit request.
    used_at: float = float("-inf")
    #: Monotonic time in seconds at which another holder last recalled the grant.
    peer_recalled_at: float = float("-inf")
    #: Incarnations whose recall of the grant has not been answered.
    recallers: set[str] = dataclasses.field(default_factory=set)
    #: Decaying maximum of the tokens that recent holds needed.
    peak_needed: int = 0
    #: Monotonic time in seconds of the last yield of other holders, by grant id.
    yielded_at: dict[str, float] = dataclasses.field(default_factory=dict)

    @property
    def outstanding(self) -> int:
        """Outstanding tokens on all credit lines."""
        return sum(line.outstanding for line in self.lines.values())

    @property
    def available(self) -> int:
        """Tokens that may be lent."""
        return self.amount - self.yielding - self.outstanding

    def check_loans(self) -> None:
        """Check that the grant covers loans and yields."""
        ensure(
            self.available >= 0,
            "loans and yields stay within the grant",
            budget=self.budget,
            amount=self.amount,
            yielding=self.yielding,
            outstanding=self.outstanding,
        )

    def get_line(self, borrower: str) -> LentLine:
        """Return a credit line, an empty one if there is none."""
        return self.lines.get(borrower, LentLine())

    def enqueue_request(self, message: CreditRequested, now: float) -> None:
        """Update the totals of the credit line and enqueue the request."""
        self.used_at = now
        self.update_totals(message, 0)
        earlier = self.waiting.get(message.sender)
        if earlier and earlier.message.sequence >= message.sequence:
            return
        if message.needed:
            self.peak_needed = max(message.needed, self.peak_needed * 7 // 8)
        # A repeated request keeps its arrival time and the recall made for it.
        same = earlier is not None and earlier.message.needed == message.needed
        if earlier and same:
            waiting = dataclasses.replace(earlier, message=message)
        else:
            waiting = WaitingRequest(message, now)
        self.waiting[message.sender] = waiting

    def update_totals(
        self, message: CreditRequested | CreditReturned, recall: int
    ) -> None:
        """Update a credit line from the totals of its borrower."""
        if message.lender != self.grant_id:
            return
        line = self.get_line(message.sender)
        self.lines[message.sender] = line.with_report(
            message.received_total, message.returned_total, recall
        )

    def compute_shortfall(self, message: CreditRequested) -> int:
        """Return the loan that the first waiting hold of the borrower still needs."""
        return self.compute_loan(message, message.needed)

    def compute_loan(self, message: CreditRequested, tokens: int) -> int:
        """Return the loan that provides a borrower with additional tokens.

        The tokens count from the received total of the request, so that loans that the
        borrower has not received yet are subtracted and repeated requests lend nothing
        more.
        """
        is_own_grant = message.lender == self.grant_id
        received = message.received_total if is_own_grant else 0
        lent = self.get_line(message.sender).lent
        return max(0, received + tokens - lent)

    def lend(self, message: CreditRequested, unallocated: int, now: float) -> None:
        """Debit a loan; the available credit must cover the first waiting hold.

        Parameters
        ----------
        message : CreditRequested
            Credit request of the borrower.
        unallocated : int
            Tokens of the budget that are neither settled nor granted.
        now : float
            Monotonic time in seconds.
        """
        shortfall = self.compute_shortfall(message)
        needed = self.compute_loan(message, max(message.needed, message.queued))
        wanted = self.compute_loan(message, message.wanted)
        if self.waiting or self.is_scarce(unallocated, now):
            wanted = needed
        max_buffer = self.compute_max_buffer(unallocated)
        desired = max(needed, min(wanted, needed + max_buffer))
        tokens = max(shortfall, min(desired, self.available))
        ensure(
            tokens <= self.available,
            "a loan is covered by available credit",
            tokens=tokens,
            available=self.available,
        )
        line = self.get_line(message.sender)
        self.lines[message.sender] = line.with_loan(tokens)
        self.demand = self.demand.with_sample(tokens, now)

    def record_committed_bill(self, bill: Bill) -> None:
        """Deduct a committed bill from its credit line.

        The commit has already deducted it from the grant in the shard row.
        """
        self.lines[bill.borrower] = self.get_line(bill.borrower).with_bill(bill.tokens)

    def is_peer_short(self, now: float) -> bool:
        """Return whether another holder recalled the grant recently."""
        return now - self.peer_recalled_at < PEER_RECALL_SECONDS

    def compute_max_buffer(self, unallocated: int) -> int:
        """Return the maximum buffer, which leaves most of the budget to others."""
        return int((unallocated + self.available) * self.policy.max_buffer_share)

    def compute_buffer(self, unallocated: int, now: float) -> int:
        """Return the tokens to keep in the grant beyond loans and shortfalls."""
        idle = now - self.used_at > self.policy.idle_seconds
        if idle or self.is_peer_short(now):
            return 0
        recent = int(self.demand.compute_rate(now) * self.policy.home_buffer_seconds)
        # Without a minimum, each request to a rarely used budget would wait for a
        # flush that takes a new grant.
        buffer = max(recent, self.policy.home_buffer_loans * self.peak_needed)
        return min(buffer, self.compute_max_buffer(unallocated))

    def is_scarce(self, unallocated: int, now: float) -> bool:
        """Return whether the budget is below its low-water mark.

        A recent recall by another holder counts as scarcity, too.

        Parameters
        ----------
        unallocated : int
            Tokens of the budget that are neither settled nor granted.
        now : float
            Monotonic time in seconds.
        """
        low_water = self.demand.compute_rate(now) * self.policy.low_water_seconds
        return self.is_peer_short(now) or unallocated + self.available < low_water

    def sum_shortfalls(self) -> int:
        """Return the loans that all waiting requests still need, in tokens."""
        requests = (waiting.message for waiting in self.waiting.values())
        return sum(
            self.compute_loan(message, max(message.needed, message.queued))
            for message in requests
        )

    def start_recall(self, now: float) -> Iterator[str]:
        """Start a recall with the next number and yield its recipients."""
        self.last_recall += 1
        self.recalled_at = now
        for borrower, waiting in self.waiting.items():
            if not waiting.first_recall:
                recalled = dataclasses.replace(waiting, first_recall=self.last_recall)
                self.waiting[borrower] = recalled
        yield from self.iterate_recall_pending(self.last_recall)

    def iterate_recall_pending(self, recall: int) -> Iterator[str]:
        """Yield the borrowers with outstanding credit that did not answer a recall."""
        for borrower, line in self.lines.items():
            if line.outstanding and line.answered_recall < recall:
                yield borrower

    def iterate_idle_candidates(self, waiting: WaitingRequest) -> Iterator[str]:
        """Yield the borrowers that may have idle credit for a waiting request.

        These are the borrowers that have not answered a recall made after the request
        arrived.
        """
        yield from self.iterate_recall_pending(
            waiting.first_recall or self.last_recall + 1
        )

    def iterate_unconfirmed(self) -> Iterator[str]:
        """Yield the borrowers that have not confirmed every loan."""
        for borrower, line in self.lines.items():
            if line.outstanding and line.confirmed < line.lent:
                yield borrower

"""A home's state for one budget: its grant, its loans and who waits for credit."""

import dataclasses
from collections.abc import Iterator

from kingcuphead.budgets._demand import Demand
from kingcuphead.budgets._lines import LentLine
from kingcuphead.budgets._peer_messages import CreditRequested, CreditReturned
from kingcuphead.budgets._rows import Bill, ensure
from kingcuphead.budgets._settings import Policy

#: Seconds for which a home lends no more than needed after another holder's recall.
PRESSED_SECONDS = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class WaitingRequest:
    """A credit request that could not be served at once."""

    #: The request.
    message: CreditRequested
    #: Monotonic time in seconds at which it arrived.
    arrived_at: float
    #: Number of the first recall after it arrived, 0 if none was made.
    recall: int = 0


@dataclasses.dataclass(slots=True)
class Lender:
    """Credit of one budget that this incarnation may lend."""

    #: Incarnation, also the id of the grant.
    grant_id: str
    #: Budget name.
    budget: str
    #: Figures of the budget's policy.
    policy: Policy
    #: Recent loans.
    demand: Demand
    #: Amount of the grant according to the row.
    amount: int = 0
    #: Tokens that a flush under way gives back.
    yielding: int = 0
    #: Credit lines by borrower.
    lines: dict[str, LentLine] = dataclasses.field(default_factory=dict)
    #: Waiting requests by borrower, the oldest first.
    waiting: dict[str, WaitingRequest] = dataclasses.field(default_factory=dict)
    #: Number of the last recall.
    recall: int = 0
    #: Monotonic time in seconds of the last recall.
    recalled_at: float = float("-inf")
    #: Monotonic time in seconds at which unconfirmed loans were last repeated.
    repeated_at: float = float("-inf")
    #: Monotonic time in seconds of the last request.
    used_at: float = float("-inf")
    #: Monotonic time in seconds of the last recall by another holder.
    pressed_at: float = float("-inf")
    #: Incarnations that wait for an answer to their recall.
    recallers: set[str] = dataclasses.field(default_factory=set)
    #: Tokens that a large hold of late needed.
    typical_loan: int = 0
    #: Monotonic time in seconds at which other holders answered a recall.
    yielded_at: dict[str, float] = dataclasses.field(default_factory=dict)

    @property
    def outstanding(self) -> int:
        """Tokens on all credit lines."""
        return sum(line.outstanding for line in self.lines.values())

    @property
    def available(self) -> int:
        """Tokens that may be lent."""
        return self.amount - self.yielding - self.outstanding

    def check(self) -> None:
        """Check that no more was lent than granted."""
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

    def note_request(self, message: CreditRequested, now: float) -> None:
        """Take in the borrower's totals and let the request wait."""
        self.used_at = now
        self.note_totals(message, 0)
        earlier = self.waiting.get(message.sender)
        if earlier and earlier.message.sequence >= message.sequence:
            return
        if message.needed:
            self.typical_loan = max(message.needed, self.typical_loan * 7 // 8)
        # A repeated request keeps its place.
        same = earlier is not None and earlier.message.needed == message.needed
        if earlier and same:
            waiting = dataclasses.replace(earlier, message=message)
        else:
            waiting = WaitingRequest(message, now)
        self.waiting[message.sender] = waiting

    def note_totals(
        self, message: CreditRequested | CreditReturned, recall: int
    ) -> None:
        """Take in the borrower's totals, and the recall that they answer."""
        if message.lender != self.grant_id:
            return
        line = self.get_line(message.sender)
        self.lines[message.sender] = line.with_report(
            message.received_total, message.returned_total, recall
        )

    def compute_short(self, message: CreditRequested) -> int:
        """Return the tokens that the first waiting hold still lacks.

        The request names a total to reach, so that a repetition lends nothing more.
        """
        return self.compute_gap(message, message.needed)

    def compute_gap(self, message: CreditRequested, tokens: int) -> int:
        """Return what has to be lent so that the borrower receives some tokens."""
        known = message.lender == self.grant_id
        received = message.received_total if known else 0
        lent = self.get_line(message.sender).lent
        return max(0, received + tokens - lent)

    def lend(self, message: CreditRequested, remaining: int, now: float) -> None:
        """Debit a loan; the first hold's need must be available.

        Parameters
        ----------
        message : CreditRequested
            The request.
        remaining : int
            Tokens of the budget that are neither billed nor granted.
        now : float
            Monotonic time in seconds.
        """
        short = self.compute_short(message)
        needed = self.compute_gap(message, max(message.needed, message.queued))
        wanted = self.compute_gap(message, message.wanted)
        if self.waiting or self.is_scarce(remaining, now):
            wanted = needed
        spare = self.compute_spare(remaining)
        gap = max(needed, min(wanted, needed + spare))
        tokens = max(short, min(gap, self.available))
        ensure(
            tokens <= self.available,
            "a loan is covered by available credit",
            tokens=tokens,
            available=self.available,
        )
        line = self.get_line(message.sender)
        self.lines[message.sender] = line.with_loan(tokens)
        self.demand = self.demand.with_sample(tokens, now)

    def note_committed(self, bill: Bill) -> None:
        """Take a committed bill off its line; the row took it off the grant."""
        self.lines[bill.borrower] = self.get_line(bill.borrower).with_bill(bill.tokens)

    def is_pressed(self, now: float) -> bool:
        """Return whether another holder lacks credit."""
        return now - self.pressed_at < PRESSED_SECONDS

    def compute_spare(self, remaining: int) -> int:
        """Return the largest reserve that leaves enough of the budget to others."""
        return int((remaining + self.available) * self.policy.reserve_share)

    def compute_reserve(self, remaining: int, now: float) -> int:
        """Return the tokens to keep in the grant beyond the loans."""
        idle = now - self.used_at > self.policy.idle_seconds
        if idle or self.is_pressed(now):
            return 0
        recent = int(self.demand.compute_rate(now) * self.policy.reserve_seconds)
        # Rare use of a plentiful budget would else take a grant for each request.
        wanted = max(recent, self.policy.reserve_loans * self.typical_loan)
        return min(wanted, self.compute_spare(remaining))

    def is_scarce(self, remaining: int, now: float) -> bool:
        """Return whether the budget runs low.

        Parameters
        ----------
        remaining : int
            Tokens of the budget that are neither billed nor granted.
        now : float
            Monotonic time in seconds.
        """
        low_water = self.demand.compute_rate(now) * self.policy.low_water_seconds
        return self.is_pressed(now) or remaining + self.available < low_water

    def sum_shorts(self) -> int:
        """Return the tokens that all waiting requests lack."""
        requests = (waiting.message for waiting in self.waiting.values())
        return sum(
            self.compute_gap(message, max(message.needed, message.queued))
            for message in requests
        )

    def start_recall(self, now: float) -> Iterator[str]:
        """Give a recall its number and yield the borrowers that it goes to."""
        self.recall += 1
        self.recalled_at = now
        for borrower, waiting in self.waiting.items():
            if not waiting.recall:
                recalled = dataclasses.replace(waiting, recall=self.recall)
                self.waiting[borrower] = recalled
        yield from self.iterate_silent(self.recall)

    def iterate_silent(self, recall: int) -> Iterator[str]:
        """Yield the borrowers with credit that have not answered a recall."""
        for borrower, line in self.lines.items():
            if line.outstanding and line.recall < recall:
                yield borrower

    def iterate_unanswered(self, waiting: WaitingRequest) -> Iterator[str]:
        """Yield the borrowers that may hold idle credit which a request needs."""
        yield from self.iterate_silent(waiting.recall or self.recall + 1)

    def iterate_unconfirmed(self) -> Iterator[str]:
        """Yield the borrowers that may not know of a loan."""
        for borrower, line in self.lines.items():
            if line.outstanding and line.confirmed < line.lent:
                yield borrower

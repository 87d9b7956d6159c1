"""Borrower state of one budget."""

import dataclasses
from collections.abc import Iterator

from kingcuphead.budgets._credit_lines import BorrowedLine
from kingcuphead.budgets._demand import Demand
from kingcuphead.budgets._messages import HoldRequested
from kingcuphead.budgets._settings import Policy
from kingcuphead.records import BudgetPolicy


@dataclasses.dataclass(frozen=True, slots=True)
class Hold:
    """Tokens reserved on one credit line for the maximum cost of a request."""

    #: Request for the hold, with the number of tokens.
    request: HoldRequested
    #: Id of the grant behind the credit line.
    grant_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class OpenCreditRequest:
    """An open credit request of an account.

    It limits how often requests are sent, and how long the home may not reply.
    """

    #: Name of the instance that received the request.
    instance: str
    #: Monotonic time in seconds of the first unanswered request or the last reply.
    unanswered_since: float
    #: Monotonic time in seconds of the last request.
    sent_at: float
    #: Upper bound of the first waiting hold, 0 if none waits.
    tokens: int


@dataclasses.dataclass(slots=True)
class Account:
    """Credit lines, waiting holds and recent demand of one budget."""

    #: Budget name.
    budget: str
    #: Number of the shard that stores the budget.
    shard: int
    #: Policy in the configuration record of the budget.
    budget_policy: BudgetPolicy
    #: Credit buffers that the policy defines.
    policy: Policy
    #: Recent demand in tokens of requested holds.
    demand: Demand
    #: Remainder of the tick number by `TICK_SLOTS` at which the account is maintained
    #: if no hold waits.
    tick_slot: int = 0
    #: Credit lines by grant id.
    lines: dict[str, BorrowedLine] = dataclasses.field(default_factory=dict)
    #: Current grant id of each lender, by instance name.
    lenders: dict[str, str] = dataclasses.field(default_factory=dict)
    #: Holds that wait for credit, oldest first.
    waiting: list[HoldRequested] = dataclasses.field(default_factory=list)
    #: Last credit request, None if none is open.
    open_request: OpenCreditRequest | None = None
    #: Sequence number of the last credit request.
    sequence: int = 0
    #: Whether a lender reported scarcity or recalled credit, or the daemon shuts down.
    scarce: bool = False
    #: Monotonic time in seconds of the last requested hold.
    used_at: float = float("-inf")
    #: Highest number of an answered recall, by grant id.
    answered_recalls: dict[str, int] = dataclasses.field(default_factory=dict)
    #: Monotonic time in seconds of the last report to the lender, by grant id.
    reported_at: dict[str, float] = dataclasses.field(default_factory=dict)

    def get_line(self, grant_id: str) -> BorrowedLine:
        """Return a credit line, an empty one if there is none."""
        return self.lines.get(grant_id, BorrowedLine())

    @property
    def free(self) -> int:
        """Free tokens on all credit lines."""
        return sum(line.free for line in self.lines.values())

    def is_inactive(self) -> bool:
        """Return whether the passing of time alone requires no action."""
        settled = all(
            not line.free and line.returned <= line.acknowledged
            for line in self.lines.values()
        )
        return settled and not self.waiting and self.open_request is None

    def compute_buffer(self, now: float) -> int:
        """Return the free tokens to keep for the recent demand."""
        idle = now - self.used_at > self.policy.idle_seconds
        if idle or self.scarce:
            return 0
        return int(self.demand.compute_rate(now) * self.policy.borrower_buffer_seconds)

    def find_line(self, tokens: int, home: str) -> str | None:
        """Return the grant id of a line that covers a hold, or None.

        Lines whose lender is no longer the home are preferred, which leaves little
        unused credit on them.
        """
        fitting = (g for g, line in self.lines.items() if line.free >= tokens)
        current = self.lenders.get(home)
        return min(fitting, key=lambda grant_id: grant_id == current, default=None)

    def remove_expired(self, now: float) -> Iterator[HoldRequested]:
        """Remove and yield the waiting holds whose deadline has passed."""
        expired = [hold for hold in self.waiting if hold.deadline <= now]
        self.waiting = [hold for hold in self.waiting if hold.deadline > now]
        yield from expired

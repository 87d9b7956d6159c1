"""A borrower's state for one budget."""

import dataclasses
from collections.abc import Iterator

from kingcuphead.budgets._demand import Demand
from kingcuphead.budgets._lines import BorrowedLine
from kingcuphead.budgets._messages import HoldRequested
from kingcuphead.budgets._settings import Policy
from kingcuphead.records import BudgetPolicy


@dataclasses.dataclass(frozen=True, slots=True)
class Hold:
    """An upper bound on the cost of a request, debited from one credit line."""

    #: The request.
    request: HoldRequested
    #: Grant of the line.
    grant_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class Ask:
    """A credit request that has not been answered."""

    #: Instance that was asked.
    instance: str
    #: Monotonic time in seconds since which the instance has been silent.
    silent_since: float
    #: Monotonic time in seconds at which it was last asked.
    sent_at: float
    #: Bound of the first waiting hold, 0 if none waits.
    tokens: int


@dataclasses.dataclass(slots=True)
class Account:
    """Credit lines, waiting holds and demand of one budget."""

    #: Budget name.
    budget: str
    #: Shard of the budget.
    shard: int
    #: Policy of the budget's record.
    kind: BudgetPolicy
    #: Figures of the policy.
    policy: Policy
    #: Recent demand.
    demand: Demand
    #: Which of the borrower's ticks look at the account when no hold waits.
    turn: int = 0
    #: Credit lines by grant id.
    lines: dict[str, BorrowedLine] = dataclasses.field(default_factory=dict)
    #: Grant ids that the instances use at present.
    lenders: dict[str, str] = dataclasses.field(default_factory=dict)
    #: Holds that wait for credit, the first one first.
    waiting: list[HoldRequested] = dataclasses.field(default_factory=list)
    #: The credit request that is under way.
    ask: Ask | None = None
    #: Number of the last credit request.
    sequence: int = 0
    #: Whether the budget runs low.
    scarce: bool = False
    #: Monotonic time in seconds of the last hold.
    used_at: float = float("-inf")
    #: Highest number of a recall that was answered on each line.
    recalls: dict[str, int] = dataclasses.field(default_factory=dict)
    #: Monotonic time in seconds of the last report on each line.
    reported_at: dict[str, float] = dataclasses.field(default_factory=dict)

    def get_line(self, grant_id: str) -> BorrowedLine:
        """Return a credit line, an empty one if there is none."""
        return self.lines.get(grant_id, BorrowedLine())

    @property
    def free(self) -> int:
        """Free tokens on all lines."""
        return sum(line.free for line in self.lines.values())

    def is_quiet(self) -> bool:
        """Return whether time alone changes nothing here."""
        settled = all(
            not line.free and line.returned <= line.acknowledged
            for line in self.lines.values()
        )
        return settled and not self.waiting and self.ask is None

    def compute_reserve(self, now: float) -> int:
        """Return the tokens that recent demand justifies to keep."""
        idle = now - self.used_at > self.policy.idle_seconds
        if idle or self.scarce:
            return 0
        return int(self.demand.compute_rate(now) * self.policy.chunk_seconds)

    def find_line(self, tokens: int, home: str) -> str | None:
        """Return the grant id of a line that covers a hold, foreign lines first.

        A line whose lender is no longer the home is used up before the home's own,
        so that little is left behind on it.
        """
        fitting = (g for g, line in self.lines.items() if line.free >= tokens)
        current = self.lenders.get(home)
        return min(fitting, key=lambda grant_id: grant_id == current, default=None)

    def take_expired(self, now: float) -> Iterator[HoldRequested]:
        """Remove and yield the waiting holds whose deadline has passed."""
        expired = [hold for hold in self.waiting if hold.deadline <= now]
        self.waiting = [hold for hold in self.waiting if hold.deadline > now]
        yield from expired

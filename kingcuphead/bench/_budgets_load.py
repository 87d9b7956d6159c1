"""The load of a lunch hour on a fleet, and what every scheme is measured by."""

import dataclasses
import math
import random
from collections import defaultdict
from collections.abc import Iterator

from kingcuphead.records import BudgetPolicy

#: Length of a run, in seconds.
RUN_SECONDS = 60.0

#: Requests per second of each daemon outside the burst and at its top.
CALM_RATE = 2.0
BURST_RATE = 8.0

#: Middle and width of the burst, in seconds.
BURST_AT = 30.0
BURST_WIDTH = 10.0

#: Mean share of its upper bound that a request uses.
MEAN_USE = 0.4

#: Mean upper bound of a request, in tokens.
MEAN_BOUND = 1000

#: Share of the requests that a few large organisations send.
LARGE_SHARE = 0.7

#: Share of a budget above which a false refusal counts for the target.
PLENTY = 0.01

#: Limits as shares of the expected spend: most budgets run out, some do not.
LIMIT_SHARES = (0.5, 0.7, 0.9, 1.3)


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """One request of the load."""

    #: Unique number.
    number: int
    #: Seconds from the start of the run.
    at: float
    #: Index of the daemon.
    daemon: int
    #: Budget name.
    budget: str
    #: Upper bound, in tokens.
    bound: int
    #: Tokens that it will use.
    used: int
    #: Seconds that it takes.
    seconds: float


@dataclasses.dataclass(slots=True)
class TrueBudget:
    """The truth about one budget, known to the measurement alone."""

    #: Tokens that were paid for.
    limit: int
    #: Policy.
    policy: BudgetPolicy
    #: Tokens that requests have used.
    used: int = 0
    #: Upper bounds of the requests that run, or that a killed daemon left.
    held: int = 0

    @property
    def left(self) -> int:
        """Tokens that no request has used or may use."""
        return self.limit - self.used - self.held


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """Budgets and requests of a run."""

    #: Number of daemons.
    daemons: int
    #: Limits and policies by budget name.
    limits: dict[str, tuple[int, BudgetPolicy]]
    #: The requests in order of time.
    requests: tuple[Request, ...]

    def build_true_budgets(self) -> dict[str, TrueBudget]:
        """Return untouched budgets."""
        return {name: TrueBudget(*limit) for name, limit in self.limits.items()}


def compute_rate(at: float) -> float:
    """Return the requests per second of each daemon at a time of the run."""
    shape = math.exp(-(((at - BURST_AT) / BURST_WIDTH) ** 2))
    return CALM_RATE + (BURST_RATE - CALM_RATE) * shape


def build_load(daemons: int, seed: int) -> Load:
    """Return the load of a fleet.

    Parameters
    ----------
    daemons : int
        Number of daemons.
    seed : int
        Seed of every choice.
    """
    source = random.Random(seed)
    large = [f"large-{index}" for index in range(max(2, daemons // 7))]
    small = [f"small-{index}" for index in range(6 + 2 * daemons)]
    requests = tuple(iterate_requests(source, daemons, large, small))
    spend: dict[str, int] = defaultdict(int)
    for request in requests:
        spend[request.budget] += request.used
    limits = {}
    for index, name in enumerate(large + small):
        share = LIMIT_SHARES[index % len(LIMIT_SHARES)]
        policy = (BudgetPolicy.STRICT, BudgetPolicy.AVAILABLE)[index // 2 % 2]
        limits[name] = (int(spend[name] * share), policy)
    return Load(daemons, limits, requests)


def iterate_requests(
    source: random.Random, daemons: int, large: list[str], small: list[str]
) -> Iterator[Request]:
    """Yield requests as a Poisson process with a varying rate."""
    at, number = 0.0, 0
    while True:
        at += source.expovariate(daemons * BURST_RATE)
        if at >= RUN_SECONDS:
            return
        if source.random() * BURST_RATE > compute_rate(at):
            continue
        number += 1
        pool = large if source.random() < LARGE_SHARE else small
        bound = max(50, int(source.expovariate(1 / MEAN_BOUND)))
        used = int(bound * source.betavariate(2, 2 / MEAN_USE - 2))
        yield Request(
            number,
            at,
            source.randrange(daemons),
            source.choice(pool),
            bound,
            used,
            source.uniform(0.5, 8.0),
        )


@dataclasses.dataclass(slots=True)
class Score:
    """What a scheme did with a load."""

    #: The truth by budget name.
    budgets: dict[str, TrueBudget]
    #: Requests that reached a live daemon.
    requests: int = 0
    #: Requests that were refused.
    refused: int = 0
    #: Refusals although the budget covered the request.
    false: int = 0
    #: Those with more than `PLENTY` of the budget left while the table was up.
    false_plenty: int = 0
    #: The same while the table was down.
    false_outage: int = 0
    #: Waits for credit, in seconds.
    waits: list[float] = dataclasses.field(default_factory=list)
    #: False refusals by reason.
    reasons: dict[str, int] = dataclasses.field(
        default_factory=lambda: defaultdict(int)
    )

    def grant(self, request: Request, wait: float) -> None:
        """Take note of a grant."""
        self.budgets[request.budget].held += request.bound
        self.waits.append(wait)

    def settle(self, request: Request) -> None:
        """Take note of the end of a request."""
        budget = self.budgets[request.budget]
        budget.held -= request.bound
        budget.used += request.used

    def refuse(self, request: Request, reason: str, outage: bool) -> None:
        """Take note of a refusal, given while the table was down or not."""
        budget = self.budgets[request.budget]
        self.refused += 1
        if budget.left >= request.bound:
            self.false += 1
            self.reasons[reason] += 1
            plenty = budget.left > PLENTY * budget.limit
            self.false_plenty += plenty and not outage
            self.false_outage += plenty and outage

    @property
    def overspend(self) -> int:
        """Tokens used beyond the limits."""
        return sum(
            max(0, budget.used - budget.limit) for budget in self.budgets.values()
        )

    def compute_wait(self, quantile: float) -> float:
        """Return a quantile of the waits, in milliseconds."""
        ordered = sorted(self.waits)
        if not ordered:
            return 0.0
        return 1000 * ordered[min(len(ordered) - 1, int(quantile * len(ordered)))]

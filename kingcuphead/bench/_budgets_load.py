"""Synthetic load with one burst, and the score of a scheme under it."""

import dataclasses
import math
import random
from collections import defaultdict
from collections.abc import Iterator

from kingcuphead.records import BudgetPolicy

#: Length of the load, in seconds.
RUN_SECONDS = 60.0

#: Requests per second of each daemon, outside the burst and at its peak.
BASE_RATE = 2.0
PEAK_RATE = 8.0

#: Centre and width of the Gaussian burst, in seconds.
BURST_CENTRE_SECONDS = 30.0
BURST_WIDTH_SECONDS = 10.0

#: Mean ratio of the tokens that a request uses to its upper bound.
MEAN_USED_SHARE = 0.4

#: Mean upper bound of a request, in tokens.
MEAN_BOUND = 1000

#: Share of the requests that the few large organisations send.
LARGE_SHARE = 0.7

#: Remaining share of a limit above which a false refusal counts for the required
#: bound on false refusals.
AMPLE_SHARE = 0.01

#: Limits relative to the total use of a budget: most run out, some do not.
LIMIT_SHARES = (0.5, 0.7, 0.9, 1.3)


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """A request of the load."""

    #: Number of the request, unique in the load.
    number: int
    #: Arrival time in seconds from the start of the run.
    arrives_at: float
    #: Index of the daemon that receives it.
    daemon: int
    #: Name of the budget that pays for it.
    budget: str
    #: Upper bound on its cost, in tokens.
    bound: int
    #: Actual cost, in tokens.
    used: int
    #: Duration from grant to settlement, in seconds.
    seconds: float


@dataclasses.dataclass(slots=True)
class ActualBudget:
    """Exact state of a budget, independent of what a scheme has recorded."""

    #: Prepaid tokens.
    limit: int
    #: Trade-off between exact spending and availability.
    policy: BudgetPolicy
    #: Tokens used by requests that ended.
    used: int = 0
    #: Upper bounds of running requests and of those that a killed daemon ran.
    held: int = 0

    @property
    def remaining(self) -> int:
        """Tokens that are neither used nor held."""
        return self.limit - self.used - self.held


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """Limits of the budgets and requests of a run."""

    #: Number of daemons in the fleet.
    daemons: int
    #: Limit in tokens and policy, by budget name.
    limits: dict[str, tuple[int, BudgetPolicy]]
    #: Requests by arrival time.
    requests: tuple[Request, ...]

    def build_budgets(self) -> dict[str, ActualBudget]:
        """Return the budgets as they are before the first request."""
        return {name: ActualBudget(*limit) for name, limit in self.limits.items()}


def compute_rate(at: float) -> float:
    """Return the requests per second of each daemon at a time of the run."""
    shape = math.exp(-(((at - BURST_CENTRE_SECONDS) / BURST_WIDTH_SECONDS) ** 2))
    return BASE_RATE + (PEAK_RATE - BASE_RATE) * shape


def build_load(daemons: int, seed: int) -> Load:
    """Build the budgets and requests of a fleet.

    Parameters
    ----------
    daemons : int
        Number of daemons.
    seed : int
        Seed of the random number generator.
    """
    rng = random.Random(seed)
    large = [f"large-{index}" for index in range(max(2, daemons // 7))]
    small = [f"small-{index}" for index in range(6 + 2 * daemons)]
    requests = tuple(iterate_requests(rng, daemons, large, small))
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
    rng: random.Random, daemons: int, large: list[str], small: list[str]
) -> Iterator[Request]:
    """Yield requests as a Poisson process with a varying rate."""
    at, number = 0.0, 0
    while True:
        at += rng.expovariate(daemons * PEAK_RATE)
        if at >= RUN_SECONDS:
            return
        if rng.random() * PEAK_RATE > compute_rate(at):
            continue
        number += 1
        pool = large if rng.random() < LARGE_SHARE else small
        bound = max(50, int(rng.expovariate(1 / MEAN_BOUND)))
        used = int(bound * rng.betavariate(2, 2 / MEAN_USED_SHARE - 2))
        yield Request(
            number,
            at,
            rng.randrange(daemons),
            rng.choice(pool),
            bound,
            used,
            rng.uniform(0.5, 8.0),
        )


@dataclasses.dataclass(slots=True)
class Score:
    """Results of a scheme under a load."""

    #: Exact state of each budget, by budget name.
    budgets: dict[str, ActualBudget]
    #: Requests that were routed to a running daemon.
    requests: int = 0
    #: Requests that were refused, rightly or not.
    refused: int = 0
    #: Refusals of requests that the budget's remaining tokens covered.
    false_refusals: int = 0
    #: False refusals with more than `AMPLE_SHARE` of the limit remaining, while the
    #: table was available.
    ample_false_refusals: int = 0
    #: False refusals with more than `AMPLE_SHARE` of the limit remaining, while the
    #: table was unavailable.
    outage_false_refusals: int = 0
    #: Time from request to grant of each granted request, in seconds.
    waits: list[float] = dataclasses.field(default_factory=list)
    #: False refusals by reason.
    reasons: dict[str, int] = dataclasses.field(
        default_factory=lambda: defaultdict(int)
    )

    def record_grant(self, request: Request, wait: float) -> None:
        """Record a grant and the seconds until it."""
        self.budgets[request.budget].held += request.bound
        self.waits.append(wait)

    def record_settlement(self, request: Request) -> None:
        """Record the end of a request."""
        budget = self.budgets[request.budget]
        budget.held -= request.bound
        budget.used += request.used

    def record_refusal(self, request: Request, reason: str, outage: bool) -> None:
        """Record a refusal; `outage` says whether the table was unavailable then."""
        budget = self.budgets[request.budget]
        self.refused += 1
        if budget.remaining >= request.bound:
            self.false_refusals += 1
            self.reasons[reason] += 1
            is_ample = budget.remaining > AMPLE_SHARE * budget.limit
            self.ample_false_refusals += is_ample and not outage
            self.outage_false_refusals += is_ample and outage

    @property
    def overspend(self) -> int:
        """Tokens used beyond the limits, over all budgets."""
        return sum(
            max(0, budget.used - budget.limit) for budget in self.budgets.values()
        )

    def compute_wait(self, quantile: float) -> float:
        """Return a quantile of the waits, in milliseconds."""
        ordered = sorted(self.waits)
        if not ordered:
            return 0.0
        return 1000 * ordered[min(len(ordered) - 1, int(quantile * len(ordered)))]

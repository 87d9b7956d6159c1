"""The targets that a request may be placed on, with their costs."""

import dataclasses
import math
import random
from collections.abc import Sequence

from kingcuphead.dispatch._target_state import PrefillPlan, TargetState
from kingcuphead.targets import Target


@dataclasses.dataclass(frozen=True, slots=True)
class Option:
    """One target that a request may be placed on."""

    #: The target.
    target: Target
    #: State of its incarnation.
    state: TargetState
    #: Expected prefill of the prompt there.
    plan: PrefillPlan
    #: Expected seconds to the first byte at a latency ratio of 1.
    wait: float
    #: Cost in units of the latency objective.
    cost: float
    #: Whether the target ranks first among the available ones.
    is_preferred: bool
    #: Part of the cost because all slots of the target are taken.
    full_cost: float = 0.0


def keeps_waiting(options: Sequence[Option], limit: float) -> bool:
    """Return whether a request would wait for others at each of some targets.

    Parameters
    ----------
    options
        Targets that the request may be placed on.
    limit
        Seconds of waiting that don't count.
    """
    waits = (
        option.wait * option.state.latency_ratio
        - option.plan.prefill_tokens / option.state.speed.rate
        for option in options
    )
    return min(waits, default=math.inf) > limit


def choose_cheapest(options: Sequence[Option]) -> Option:
    """Return the first option with the lowest cost."""
    return min(options, key=lambda option: option.cost)


def choose_near_cheapest(
    options: Sequence[Option], tolerance: float, rng: random.Random
) -> Option:
    """Return a random option, one with a low cost more often.

    Daemons that know the same reports would all choose the one cheapest target.

    Parameters
    ----------
    options
        Options to choose from.
    tolerance
        Difference of costs at which an option is chosen 1/e times as often.
    rng
        Source of randomness.
    """
    lowest = min(option.cost for option in options)
    weights = [math.exp((lowest - option.cost) / tolerance) for option in options]
    return rng.choices(options, weights)[0]

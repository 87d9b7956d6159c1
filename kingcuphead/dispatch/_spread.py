"""Spreads the requests to a busy service over its targets.

Daemons choose by reports of the same age. If all of them sent their next requests to
the target that was reported as the emptiest, it would be full before the next report.
"""

import math
import random
from collections.abc import Sequence

from kingcuphead.dispatch._options import Option
from kingcuphead.dispatch._room import TargetRoom

#: Load of the targets together, in units of their places, from which on a service is
#: busy. Below it, requests that several daemons send to one target find slots there.
MIN_BUSY_LOAD = 0.75
#: Load above that of the targets together, in units of the places of a target, up to
#: which the target gets requests.
MAX_EXCESS_LOAD = 0.25


def choose_by_room(
    options: Sequence[Option],
    rooms: Sequence[TargetRoom],
    tolerance: float,
    rng: random.Random,
) -> Option | None:
    """Return a random option, one with much room or a low cost more often.

    Parameters
    ----------
    options
        Options to choose from.
    rooms
        How much of the target of each option is taken.
    tolerance
        Difference of costs at which an option is chosen 1/e times as often.
    rng
        Source of randomness.

    Returns
    -------
    Option or None
        The choice; None if the service isn't busy, or if the targets with room cost too
        much.
    """
    load = sum(room.load for room in rooms) / max(1, sum(room.places for room in rooms))
    if load < MIN_BUSY_LOAD:
        return None
    costs = [option.cost - option.full_cost for option in options]
    lowest = min(costs)
    weights = [
        max(0.0, (load + MAX_EXCESS_LOAD) * room.places - room.load)
        * math.exp((lowest - cost) / tolerance)
        for room, cost in zip(rooms, costs, strict=True)
    ]
    return rng.choices(options, weights)[0] if any(weights) else None

"""How the requests that a cold target takes are divided among daemons.

The first daemons in the rendezvous order of a target each own a fixed part of them, and
grant permits out of it. The parts don't depend on who is reachable, so their sum stays
below the bound whichever daemons have crashed or are cut off from each other.
"""

from typing import Protocol

from kingcuphead.frozen import frozen
from kingcuphead.targets import ColdLimit, Target

#: Parts of the permitted rate, by position in the order. A third is left over: for
#: permits that were saved up, and for requests that were granted one after the other
#: and reach the target together.
RATE_PARTS = (0.54, 0.1, 0.04)
#: Seconds of its rate that each part holds at most, beside one permit.
SAVED_SECONDS = 0.25
#: Number of daemons that own a part.
MAX_OWNERS = len(RATE_PARTS)
#: Seconds after which a permit is asked for again when no owner could be asked.
NO_OWNER_WAIT = 0.25


@frozen
class ColdBounds:
    """Bound on the requests that a cold target gets in any one second.

    It is the target's limit, times `ratio`, plus `extra`.
    """

    #: Factor of the target's limit in requests per second.
    ratio: float = 1.5
    #: Requests in addition.
    extra: float = 5.0

    @property
    def owners(self) -> int:
        """Number of daemons that own a part; each may grant one permit at once."""
        return max(1, min(MAX_OWNERS, int(self.extra) - 1))

    def compute_rate(self, limit: float, position: int) -> float:
        """Return the permits per second that a daemon owns.

        Parameters
        ----------
        limit
            Requests per second that the cold target takes.
        position
            Position of the daemon in the target's order, below `owners`.
        """
        return RATE_PARTS[position] * self.ratio * limit


class ColdView(Protocol):
    """What this daemon knows about cold targets."""

    @property
    def has_cold_limits(self) -> bool:
        """Whether the targets of any service need permits while they are cold."""
        ...

    def find_cold_limit(self, target: Target) -> ColdLimit | None:
        """Return what a target takes because it is cold or may be; None if warm."""
        ...

    def is_known_warm(self, incarnation: str) -> bool:
        """Whether an incarnation of a target is warm beyond doubt."""
        ...


class NoColdTargets:
    """View of a fleet without cold targets."""

    has_cold_limits = False

    def find_cold_limit(self, target: Target) -> ColdLimit | None:
        """Return None."""
        return None

    def is_known_warm(self, incarnation: str) -> bool:
        """Return that every target is warm."""
        return True

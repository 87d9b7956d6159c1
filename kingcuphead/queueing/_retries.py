"""Retries: the router's own budget, and when refused callers come back."""

import dataclasses
import random

from kingcuphead.queueing._settings import QueueingSettings

#: Guards a whole retry against the rounding of its parts.
EPSILON_TOKENS = 1e-9


class RetryBudget:
    """Token bucket that first attempts fill and the router's retries drain.

    Parameters
    ----------
    settings : QueueingSettings
        Ratio and burst.
    """

    def __init__(self, settings: QueueingSettings) -> None:
        self._ratio = settings.retry_ratio
        self._burst = settings.retry_burst
        self._tokens = settings.retry_burst

    def earn(self) -> None:
        """Add the part of a retry that a first attempt earns."""
        self._tokens = min(self._burst, self._tokens + self._ratio)

    def spend(self) -> bool:
        """Take one retry; return whether there was one."""
        if self._tokens < 1 - EPSILON_TOKENS:
            return False
        self._tokens = max(0.0, self._tokens - 1)
        return True


@dataclasses.dataclass(slots=True)
class ComebackPlan:
    """Gives refused callers times to come back that follow one another.

    Each refusal books the next turn at the rate of service, so that callers do
    not return together.
    """

    #: Bounds on the time to come back.
    settings: QueueingSettings
    #: Breaks up turns that coincide.
    random_source: random.Random
    #: Turn that was booked last, in seconds.
    horizon: float = float("-inf")

    def book(self, wait: float, rate: float, now: float) -> float:
        """Return the seconds after which a caller should ask again.

        Parameters
        ----------
        wait : float
            Estimated wait behind the requests that are queued, in seconds.
        rate : float
            Requests served a second.
        now : float
            Seconds on the monotonic clock.
        """
        longest = self.settings.longest_retry_after
        turn = max(self.horizon, now + wait) + 1 / max(rate, 1 / longest)
        self.horizon = min(turn, now + longest)
        if turn >= now + longest:
            return self.random_source.uniform(longest / 2, longest)
        jittered = (turn - now) * self.random_source.uniform(0.75, 1.25)
        return min(longest, max(self.settings.least_retry_after, jittered))

"""Retry budget of the router, and retry delays for refused callers."""

import dataclasses
import random

from kingcuphead.queueing._settings import QueueingSettings

#: Tolerance for rounding errors in sums of fractional tokens.
EPSILON_TOKENS = 1e-9


class RetryBudget:
    """Token bucket filled by first attempts and drained by the router's retries.

    Parameters
    ----------
    settings : QueueingSettings
        Retry ratio and burst.
    """

    def __init__(self, settings: QueueingSettings) -> None:
        self._ratio = settings.retry_ratio
        self._burst = settings.retry_burst
        self._tokens = settings.retry_burst

    def refill(self) -> None:
        """Add the tokens for one first attempt."""
        self._tokens = min(self._burst, self._tokens + self._ratio)

    def try_spend(self) -> bool:
        """Take one token; return whether one was available."""
        if self._tokens < 1 - EPSILON_TOKENS:
            return False
        self._tokens = max(0.0, self._tokens - 1)
        return True


@dataclasses.dataclass(slots=True)
class RetrySchedule:
    """Spreads the retries of refused callers over time.

    Each refusal is assigned the next retry time at the service rate, so that
    callers do not retry together.
    """

    #: Bounds on the retry delay.
    settings: QueueingSettings
    #: Adds jitter to the retry delays.
    rng: random.Random
    #: Retry time assigned last, in seconds on the monotonic clock.
    last_retry_at: float = float("-inf")

    def schedule_retry(self, wait: float, rate: float, now: float) -> float:
        """Return the seconds after which a caller should retry.

        Parameters
        ----------
        wait : float
            Estimated wait behind the queued requests, in seconds.
        rate : float
            Requests served per second.
        now : float
            Seconds on the monotonic clock.
        """
        max_delay = self.settings.max_retry_after
        retry_at = max(self.last_retry_at, now + wait) + 1 / max(rate, 1 / max_delay)
        self.last_retry_at = min(retry_at, now + max_delay)
        if retry_at >= now + max_delay:
            return self.rng.uniform(max_delay / 2, max_delay)
        jittered = (retry_at - now) * self.rng.uniform(0.75, 1.25)
        return min(max_delay, max(self.settings.min_retry_after, jittered))

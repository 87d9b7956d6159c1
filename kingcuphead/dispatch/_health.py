"""Health of one target, derived from the results of attempts."""

import math

from kingcuphead.dispatch._messages import AttemptResult

#: Weight of the newest result in the moving average of the failure rate.
RESULT_WEIGHT = 0.25
#: Time constant of the failure rate's exponential decay: without new results it falls
#: to about a third in this many seconds.
FAILURE_RATE_DECAY_SECONDS = 4.0
#: Backoff in seconds after the first attempt that got no connection or no answer.
MIN_BACKOFF_SECONDS = 0.3
#: Upper bound of the exponential backoff in seconds.
MAX_BACKOFF_SECONDS = 3.0

_FAILURES = frozenset(
    {
        AttemptResult.FAILED,
        AttemptResult.UNREACHABLE,
        AttemptResult.BROKEN,
        AttemptResult.SILENT,
    }
)
#: Results that the next request to the target would most likely have too.
_BACKOFF_RESULTS = frozenset({AttemptResult.UNREACHABLE, AttemptResult.SILENT})


class TargetHealth:
    """Failure rate and backoff of one target."""

    def __init__(self) -> None:
        self._failure_rate = 0.0
        self._updated_at = 0.0
        self._backoff = 0.0
        self._backoff_until = float("-inf")

    def record_result(self, result: AttemptResult, now: float) -> None:
        """Update the failure rate and the backoff with the result of an attempt."""
        if result is AttemptResult.CANCELLED:
            return
        rate = self.get_failure_rate(now)
        failure = 1.0 if result in _FAILURES else 0.0
        self._failure_rate = rate + RESULT_WEIGHT * (failure - rate)
        self._updated_at = now
        if result in _BACKOFF_RESULTS:
            # Requests that met the same silence must not lengthen it.
            if not self.is_backing_off(now):
                self._backoff = min(
                    MAX_BACKOFF_SECONDS, max(MIN_BACKOFF_SECONDS, 2 * self._backoff)
                )
                self._backoff_until = now + self._backoff
        elif result is AttemptResult.ANSWERED:
            self._backoff = 0.0

    def get_failure_rate(self, now: float) -> float:
        """Return the expected share of failing attempts, from 0 to 1."""
        elapsed = max(0.0, now - self._updated_at)
        return self._failure_rate * math.exp(-elapsed / FAILURE_RATE_DECAY_SECONDS)

    def is_backing_off(self, now: float) -> bool:
        """Whether new requests avoid the target until its backoff ends."""
        return now < self._backoff_until

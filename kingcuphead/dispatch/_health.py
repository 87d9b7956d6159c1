"""What the outcomes of attempts say about one target."""

import math

from kingcuphead.dispatch._messages import AttemptResult

#: Weight of the newest outcome in the failure rate.
OUTCOME_WEIGHT = 0.25
#: Seconds after which a failure rate has fallen to a third without new outcomes.
FORGET_PERIOD = 4.0
#: Seconds that a target is left alone after its first failure to be reached.
FIRST_PAUSE = 0.3
#: Longest time in seconds that it is left alone.
LONGEST_PAUSE = 3.0

_FAILURES = frozenset(
    {
        AttemptResult.FAILED,
        AttemptResult.UNREACHABLE,
        AttemptResult.BROKEN,
        AttemptResult.SILENT,
    }
)
#: Outcomes after which the next request would most likely meet the same.
_PAUSING = frozenset({AttemptResult.UNREACHABLE, AttemptResult.SILENT})


class TargetHealth:
    """Failure rate and pauses of one target."""

    def __init__(self) -> None:
        self._failure_rate = 0.0
        self._updated_at = 0.0
        self._pause = 0.0
        self._paused_until = float("-inf")

    def take_result(self, result: AttemptResult, now: float) -> None:
        """Take how an attempt ended."""
        if result is AttemptResult.CANCELLED:
            return
        rate = self.get_failure_rate(now)
        failure = 1.0 if result in _FAILURES else 0.0
        self._failure_rate = rate + OUTCOME_WEIGHT * (failure - rate)
        self._updated_at = now
        if result in _PAUSING:
            self._pause = min(LONGEST_PAUSE, max(FIRST_PAUSE, 2 * self._pause))
            self._paused_until = now + self._pause
        elif result is AttemptResult.ANSWERED:
            self._pause = 0.0

    def get_failure_rate(self, now: float) -> float:
        """Return the share of attempts that are expected to fail."""
        elapsed = max(0.0, now - self._updated_at)
        return self._failure_rate * math.exp(-elapsed / FORGET_PERIOD)

    def is_paused(self, now: float) -> bool:
        """Whether it is left alone for the moment."""
        return now < self._paused_until

"""Estimate of the recent demand for tokens."""

import dataclasses
import math


@dataclasses.dataclass(frozen=True, slots=True)
class Demand:
    """Exponentially weighted moving average of a token rate.

    Attributes
    ----------
    seconds : float
        Time constant of the average.
    rate : float
        Tokens per second at time `at`.
    at : float
        Monotonic time of the last sample, in seconds.
    """

    seconds: float
    rate: float = 0.0
    at: float = 0.0

    def compute_rate(self, now: float) -> float:
        """Return the rate in tokens per second, decayed until now."""
        return self.rate * math.exp(-max(0.0, now - self.at) / self.seconds)

    def with_sample(self, tokens: int, now: float) -> "Demand":
        """Return a copy that includes one more sample of demanded tokens."""
        rate = self.compute_rate(now) + tokens / self.seconds
        return dataclasses.replace(self, rate=rate, at=max(now, self.at))

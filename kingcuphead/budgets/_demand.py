"""Estimate of recent demand."""

import dataclasses
import math


@dataclasses.dataclass(frozen=True, slots=True)
class Demand:
    """Exponentially weighted rate of tokens.

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
        """Return the tokens per second, decayed to the present."""
        return self.rate * math.exp(-max(0.0, now - self.at) / self.seconds)

    def with_sample(self, tokens: int, now: float) -> "Demand":
        """Return a copy that includes one more use."""
        rate = self.compute_rate(now) + tokens / self.seconds
        return dataclasses.replace(self, rate=rate, at=max(now, self.at))

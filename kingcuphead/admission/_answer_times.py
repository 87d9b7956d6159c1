"""Time that requests take from admission to their first answer."""

import dataclasses

#: Weight of the newest observation in the moving averages.
WEIGHT = 0.1
#: Bound on the tracked pairs of service and size.
MAX_ENTRIES = 1_024


@dataclasses.dataclass(slots=True)
class _Average:
    mean: float
    #: Mean absolute difference from the mean.
    deviation: float = 0.0

    def record(self, seconds: float) -> None:
        difference = seconds - self.mean
        self.mean += WEIGHT * difference
        self.deviation += WEIGHT * (abs(difference) - self.deviation)


class AnswerTimes:
    """Moving averages by service and power of two of the size."""

    def __init__(self) -> None:
        self._averages: dict[tuple[str, int], _Average] = {}

    def record(self, service: str, size: int, seconds: float) -> None:
        """Record the seconds from an admission to the first answer."""
        key = (service, size.bit_length())
        average = self._averages.get(key)
        if average is not None:
            average.record(seconds)
        elif len(self._averages) < MAX_ENTRIES:
            self._averages[key] = _Average(seconds)

    def estimate(self, service: str, size: int) -> float:
        """Return the seconds that most requests take; 0 if none was measured.

        A request that is admitted when only the mean is left is late half of the time.
        """
        average = self._averages.get((service, size.bit_length()))
        return 0.0 if average is None else average.mean + average.deviation

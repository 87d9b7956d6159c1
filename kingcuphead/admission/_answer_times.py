"""Time that requests take from admission to their first answer."""

#: Weight of the newest observation in the moving averages.
WEIGHT = 0.1
#: Bound on the tracked pairs of service and size.
MAX_ENTRIES = 1_024


class AnswerTimes:
    """Moving averages by service and power of two of the size."""

    def __init__(self) -> None:
        self._averages: dict[tuple[str, int], float] = {}

    def record(self, service: str, size: int, seconds: float) -> None:
        """Record the seconds from an admission to the first answer."""
        key = (service, size.bit_length())
        average = self._averages.get(key)
        if average is not None:
            self._averages[key] = average + WEIGHT * (seconds - average)
        elif len(self._averages) < MAX_ENTRIES:
            self._averages[key] = seconds

    def estimate(self, service: str, size: int) -> float:
        """Return the expected seconds; 0 if requests like that weren't measured."""
        return self._averages.get((service, size.bit_length()), 0.0)

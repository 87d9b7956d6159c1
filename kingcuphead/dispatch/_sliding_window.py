"""An event counter over a sliding time window."""

from collections import deque


class SlidingWindowCounter:
    """Counts the events of the last seconds.

    Parameters
    ----------
    window
        Length of the window in seconds.
    """

    def __init__(self, window: float) -> None:
        self._window = window
        self._times: deque[float] = deque()

    def add(self, now: float) -> None:
        """Count one event at the given time."""
        self._times.append(now)

    def count(self, now: float) -> int:
        """Return the number of events within the window that ends at `now`."""
        while self._times and self._times[0] <= now - self._window:
            self._times.popleft()
        return len(self._times)

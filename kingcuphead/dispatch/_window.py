"""A count over the last seconds."""

from collections import deque


class SlidingCount:
    """Counts what happened within a sliding window.

    Parameters
    ----------
    window
        Length of the window in seconds.
    """

    def __init__(self, window: float) -> None:
        self._window = window
        self._times: deque[float] = deque()

    def add(self, now: float) -> None:
        """Count one occurrence."""
        self._times.append(now)

    def count(self, now: float) -> int:
        """Return the occurrences within the window before this time."""
        while self._times and self._times[0] <= now - self._window:
            self._times.popleft()
        return len(self._times)

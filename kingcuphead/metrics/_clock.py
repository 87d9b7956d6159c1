"""Measurement of the times between the tokens of one answer."""

from kingcuphead.metrics._messages import StreamTimes


class TokenClock:
    """Measures the time to the first chunk and the gaps between chunks.

    Parameters
    ----------
    arrived_at : float
        Arrival time of the request in seconds.
    """

    def __init__(self, arrived_at: float) -> None:
        self._arrived_at = arrived_at
        self._first: float | None = None
        self._last = 0.0
        self._longest_gap = 0.0
        self._chunks = 0

    def record_chunk(self, now: float) -> None:
        """Record a chunk of the answer that arrived at `now`, in seconds."""
        if self._first is None:
            self._first = now
        elif now - self._last > self._longest_gap:
            self._longest_gap = now - self._last
        self._last = now
        self._chunks += 1

    def get_times(self) -> StreamTimes | None:
        """Return the times so far; None before the first chunk."""
        if self._first is None:
            return None
        first_token = self._first - self._arrived_at
        if self._chunks == 1:
            return StreamTimes(first_token, None, None)
        mean = (self._last - self._first) / (self._chunks - 1)
        return StreamTimes(first_token, mean, self._longest_gap)

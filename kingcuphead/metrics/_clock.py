"""Times between the tokens of one answer."""

from kingcuphead.metrics._messages import StreamTimes


class TokenClock:
    """Follows the pieces of one answer.

    Parameters
    ----------
    arrived : float
        Time at which the request arrived, in seconds.
    """

    def __init__(self, arrived: float) -> None:
        self._arrived = arrived
        self._first: float | None = None
        self._last = 0.0
        self._longest = 0.0
        self._pieces = 0

    def take(self, now: float) -> None:
        """Count a piece that came at that time, in seconds."""
        if self._first is None:
            self._first = now
        elif now - self._last > self._longest:
            self._longest = now - self._last
        self._last = now
        self._pieces += 1

    def read(self) -> StreamTimes | None:
        """Return the times so far; None before the first piece."""
        if self._first is None:
            return None
        first_token = self._first - self._arrived
        if self._pieces == 1:
            return StreamTimes(first_token, None, None)
        mean = (self._last - self._first) / (self._pieces - 1)
        return StreamTimes(first_token, mean, self._longest)

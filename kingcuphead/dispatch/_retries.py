"""The fleet's budget of repeats, spent by each daemon without asking the others."""

from collections import defaultdict

from kingcuphead.dispatch._window import SlidingCount


class RetryAllowance:
    """The part of one daemon in the repeats that a service may get.

    The part that grows with requests is safe by itself: each daemon repeats at most a
    share of its own requests. The fixed part is divided by the number of daemons.

    Parameters
    ----------
    ratio
        Repeats for each request.
    burst
        Repeats of this daemon beyond that.
    window
        Seconds over which both are counted.
    """

    def __init__(self, ratio: float, burst: float, window: float) -> None:
        self.apply(ratio, burst, window)
        self._requests: dict[str, SlidingCount] = defaultdict(
            lambda: SlidingCount(self._window)
        )
        self._repeats: dict[str, SlidingCount] = defaultdict(
            lambda: SlidingCount(self._window)
        )

    def apply(self, ratio: float, burst: float, window: float) -> None:
        """Take other bounds; a window that changed counts from new services on."""
        self._ratio = ratio
        self._burst = burst
        self._window = window

    def count_request(self, service: str, now: float) -> None:
        """Count a request of a caller."""
        self._requests[service].add(now)

    def spend(self, service: str, now: float) -> bool:
        """Return whether one more repeat is allowed, and count it if so."""
        allowed = self._ratio * self._requests[service].count(now) + self._burst
        if self._repeats[service].count(now) + 1 > allowed:
            return False
        self._repeats[service].add(now)
        return True

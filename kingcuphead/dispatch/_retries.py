"""Retry budget per service, enforced by each daemon without coordination."""

from collections import defaultdict

from kingcuphead.dispatch._sliding_window import SlidingWindowCounter

#: Least number of daemons among which the fixed part of the budget is divided, so that
#: a small fleet may grow before all of its daemons know of it.
MIN_ASSUMED_DAEMONS = 12


class RetryAllowance:
    """One daemon's share of the retry budget of each service.

    The budget has a part proportional to requests and a fixed part. Each daemon
    applies the ratio to its own requests, so the fleet as a whole stays within the
    ratio. The fixed part is divided by the number of daemons.

    Parameters
    ----------
    ratio
        Retries allowed per request in the window.
    burst
        Retries that all daemons together may spend in the window beyond the ratio.
    window
        Length in seconds of the window over which requests and retries are counted.
    """

    def __init__(self, ratio: float, burst: float, window: float) -> None:
        self._daemons = MIN_ASSUMED_DAEMONS
        self.apply(ratio, burst, window)
        self._requests: dict[str, SlidingWindowCounter] = defaultdict(
            lambda: SlidingWindowCounter(self._window)
        )
        self._retries: dict[str, SlidingWindowCounter] = defaultdict(
            lambda: SlidingWindowCounter(self._window)
        )

    def apply(self, ratio: float, burst: float, window: float) -> None:
        """Replace the bounds.

        A changed window applies only to services that have no counters yet.
        """
        self._ratio = ratio
        self._burst = burst
        self._window = window

    def apply_fleet_size(self, daemons: int) -> None:
        """Apply the number of daemons in the fleet; it includes this one."""
        self._daemons = max(MIN_ASSUMED_DAEMONS, daemons)

    def count_request(self, service: str, now: float) -> None:
        """Count a request received from a caller."""
        self._requests[service].add(now)

    def try_spend(self, service: str, now: float) -> bool:
        """Spend one retry if the budget allows it.

        Returns
        -------
        bool
            Whether the retry is allowed; only an allowed retry is counted.
        """
        share = self._burst / self._daemons
        allowed = self._ratio * self._requests[service].count(now) + share
        if self._retries[service].count(now) + 1 > allowed:
            return False
        self._retries[service].add(now)
        return True

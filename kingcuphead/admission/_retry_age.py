"""Tells how long ago a caller made its first try, by the time that it has left.

The first tries on a route state the same remaining time, a retry states less.
"""

import dataclasses
from collections import Counter, OrderedDict, deque

#: Number of requests of a route that are remembered.
WINDOW = 32
#: Number of requests of a route below which no age is given.
MIN_REQUESTS = 8
#: Share of the remembered requests that the value of first tries has to exceed.
FIRST_TRY_SHARE = 0.5
#: Largest share of the remembered requests with one value of retries. A lower value
#: that recurs more often is that of other callers' first tries.
MAX_RETRY_VALUE_SHARE = 0.125
#: Age in seconds below which a try counts as the first one: callers that compute the
#: remaining time are some milliseconds apart.
MIN_AGE = 0.02
#: Seconds after its last request for which a route is remembered.
ROUTE_LIFETIME = 300.0
#: Bound on the remembered routes.
MAX_ROUTES = 512


@dataclasses.dataclass(slots=True)
class _RouteTimes:
    """Remaining times that the last requests of a route stated."""

    recent: deque[float] = dataclasses.field(default_factory=deque)
    counts: Counter[float] = dataclasses.field(default_factory=Counter)
    used_at: float = 0.0

    def record(self, remaining: float) -> None:
        self.recent.append(remaining)
        self.counts[remaining] += 1
        if len(self.recent) <= WINDOW:
            return
        oldest = self.recent.popleft()
        self.counts[oldest] -= 1
        if not self.counts[oldest]:
            del self.counts[oldest]

    def compute_age(self, remaining: float) -> float:
        """Return the age of a request that was just recorded; 0 if unknown."""
        total = len(self.recent)
        first, count = max(self.counts.items(), key=lambda item: item[1])
        if total < MIN_REQUESTS or count <= FIRST_TRY_SHARE * total:
            return 0.0
        recurrences = self.counts[remaining] - 1
        if recurrences > MAX_RETRY_VALUE_SHARE * total:
            return 0.0
        age = first - remaining
        return age if age >= MIN_AGE else 0.0


class RetryAges:
    """Learns the remaining time that first tries of each route state; does no I/O."""

    def __init__(self) -> None:
        #: By name of the route, the least recently used one first.
        self._routes: OrderedDict[str, _RouteTimes] = OrderedDict()

    def __len__(self) -> int:
        return len(self._routes)

    def observe(self, route: str, remaining: float | None, now: float) -> float:
        """Record a request and return the seconds since its caller's first try.

        Parameters
        ----------
        route
            Name of the route.
        remaining
            Seconds that the caller stated to have left; None if it stated none.
        now
            Current time in seconds.

        Returns
        -------
        float
            Age of the request; 0 for a first try, and if it isn't known.
        """
        self._forget(now)
        if remaining is None:
            return 0.0
        times = self._routes.setdefault(route, _RouteTimes())
        self._routes.move_to_end(route)
        times.used_at = now
        times.record(remaining)
        if len(self._routes) > MAX_ROUTES:
            self._routes.popitem(last=False)
        return times.compute_age(remaining)

    def _forget(self, now: float) -> None:
        """Drop the routes that get no requests any more."""
        while self._routes:
            route, times = next(iter(self._routes.items()))
            if now < times.used_at + ROUTE_LIFETIME:
                return
            del self._routes[route]

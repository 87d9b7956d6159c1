"""Bound on the requests that one daemon has in progress while a service is busy.

Reports are up to 0.6 s old. Without a bound all daemons would use the places that they
see free at the same time.
"""

from kingcuphead.dispatch import ServiceLoad

#: Seconds between two changes of the bound, the interval of load reports.
INTERVAL = 0.1
#: Load in units of the places up to which a service isn't busy.
MAX_OPEN_LOAD = 1.1
#: Load in units of the places that the daemons aim at together. Above 1, a target gets
#: its next request before a report tells that the last one ended.
AIMED_LOAD = 1.25
#: Part of the bound for requests that are going to be late: timely ones of other
#: daemons go first.
LATE_SHARE = 0.75
#: Part of the difference from the aimed load that is made up in one interval.
GAIN = 0.5


class Pace:
    """Bound on the requests in progress of one service; does no I/O."""

    def __init__(self) -> None:
        self._limit: float | None = None
        self._changed_at = float("-inf")

    def is_due(self, now: float) -> bool:
        """Return whether the bound is to be changed by the newest reports."""
        return now - self._changed_at >= INTERVAL

    def update(self, load: ServiceLoad, now: float) -> None:
        """Change the bound so that the load of all daemons approaches the aim."""
        self._changed_at = now
        if load.total < MAX_OPEN_LOAD * load.places:
            self._limit = None
            return
        missing = AIMED_LOAD * load.places - load.total
        limit = load.own if self._limit is None else self._limit
        limit += GAIN * missing / load.daemons
        largest = load.own + max(1.0, load.places / load.daemons)
        self._limit = min(max(1.0, limit), largest)

    def allows(self, own: int, gives_way: bool) -> bool:
        """Return whether another request may be in progress beside those that are.

        Parameters
        ----------
        own
            Requests that this daemon has in progress.
        gives_way
            Whether timely requests of other daemons go first.
        """
        if self._limit is None:
            return True
        return own < (LATE_SHARE * self._limit if gives_way else self._limit)

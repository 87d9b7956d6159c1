"""Bound on the requests that one daemon has in progress while a service is busy.

Reports are up to 0.6 s old. Without a bound all daemons would use the places that they
see free at the same time.
"""

from kingcuphead.dispatch import ServiceLoad

#: Seconds between two changes of the bound, the interval of load reports.
INTERVAL = 0.1
#: Load in units of the places that the daemons together are held at. Above 1, a target
#: gets its next request before a report tells that the last one ended.
SETPOINT_LOAD = 1.1
#: Load in units of the places above which a daemon takes no more than an equal part of
#: the places that are left: the others take theirs before they report it.
MIN_BUSY_LOAD = 1.0
#: Part of the bound for requests that are going to be late: timely ones of other
#: daemons go first.
LATE_SHARE = 0.75


class ConcurrencyLimit:
    """Bound on the requests in progress at a group of targets; does no I/O.

    It is the max-min fair share of the setpoint: daemons with little demand keep what
    they have, and the others share the rest equally.
    """

    def __init__(self) -> None:
        self._limit = float("inf")
        self._equal_share = float("inf")
        self._changed_at = float("-inf")

    def is_due(self, now: float) -> bool:
        """Return whether the bound is to be changed by the newest reports."""
        return now - self._changed_at >= INTERVAL

    def update(self, load: ServiceLoad, now: float) -> None:
        """Change the bound so that the load of all daemons approaches the setpoint."""
        self._changed_at = now
        self._equal_share = max(1.0, load.places / load.daemons)
        setpoint = SETPOINT_LOAD * load.places
        self._limit = max(1.0, _compute_fair_share(load, setpoint))
        if load.total > MIN_BUSY_LOAD * load.places:
            part = max(0.0, setpoint - load.total) / load.daemons
            self._limit = min(self._limit, max(self._equal_share, load.own + part))

    def allows(self, own: int, yields_to_timely: bool) -> bool:
        """Return whether another request may be in progress beside those that are.

        Parameters
        ----------
        own
            Requests that this daemon has in progress.
        yields_to_timely
            Whether timely requests of other daemons go first.
        """
        return own < (LATE_SHARE * self._limit if yields_to_timely else self._limit)

    def has_equal_share(self, own: int) -> bool:
        """Return whether this daemon uses an equal share of the places or more.

        Parameters
        ----------
        own
            Requests that this daemon has in progress.
        """
        return own >= self._equal_share


def _compute_fair_share(load: ServiceLoad, total: float) -> float:
    """Return the max-min fair share of a total number of requests for one daemon.

    A report also stands for the daemons that weren't heard of.
    """
    weight = (load.daemons - 1) / max(1, len(load.reported))
    remaining, daemons = total, load.daemons
    for number in sorted(load.reported):
        if number >= remaining / daemons:
            break
        remaining -= weight * number
        daemons -= weight
    return remaining / daemons

"""Counts the requests that all daemons have open at one target."""

from kingcuphead.frozen import frozen
from kingcuphead.permits._memory import REORDERING_PERIOD

#: Seconds after its last report in which the requests of a daemon still count.
REPORT_LIFETIME = 3.0
#: Seconds between two steps in which a coordinator that has just begun to count grants
#: one place more, while the other daemons report what they have open.
RAMP_INTERVAL = 0.05
#: Seconds for which one place less is granted after the target had no room.
REJECTION_PENALTY = 2.0


@frozen
class OpenRequests:
    """The requests that one daemon has open at a target."""

    #: Daemon that reports.
    holder: str
    #: Number of the report; later reports of a daemon have higher ones.
    number: int
    #: Open requests, with the one for which a place is wanted.
    count: int


@frozen
class _Report:
    """The last report of one daemon."""

    open_requests: OpenRequests
    received_at: float


class TargetRoom:
    """The places of one target; does no I/O.

    Parameters
    ----------
    now
        Current time in seconds.
    """

    def __init__(self, now: float) -> None:
        self._created_at = now
        self._reports: dict[str, _Report] = {}
        self._rejected_at: list[float] = []

    def has_place(self, wanted: OpenRequests, places: int, now: float) -> bool:
        """Return whether a daemon may open one more request.

        Parameters
        ----------
        wanted
            Its open requests, with that one.
        places
            Requests that may be open at the target.
        now
            Current time in seconds.
        """
        others = sum(
            report.open_requests.count
            for holder, report in self._reports.items()
            if holder != wanted.holder and now - report.received_at <= REPORT_LIFETIME
        )
        return others + wanted.count <= self._limit(places, now)

    def record(self, open_requests: OpenRequests, now: float) -> None:
        """Replace the report of a daemon, unless a later one has arrived.

        A lower number after `REORDERING_PERIOD` is from a restarted daemon.
        """
        previous = self._reports.get(open_requests.holder)
        is_late = (
            previous is not None
            and open_requests.number < previous.open_requests.number
            and now - previous.received_at < REORDERING_PERIOD
        )
        if not is_late:
            self._reports[open_requests.holder] = _Report(open_requests, now)

    def record_rejection(self, now: float) -> None:
        """Record that the target had no room for a request."""
        self._rejected_at.append(now)

    def _limit(self, places: int, now: float) -> int:
        self._rejected_at = [
            each for each in self._rejected_at if now - each <= REJECTION_PENALTY
        ]
        ramp = 1 + int((now - self._created_at) / RAMP_INTERVAL)
        return max(1, min(places, ramp) - len(self._rejected_at))

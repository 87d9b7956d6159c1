"""Decides when a daemon reports its load, and to whom."""

import enum

from kingcuphead.capacity._messages import UNREADY_STATES, Readiness

#: Seconds between two reports to some of the other daemons.
REPORT_INTERVAL = 1.0
#: Seconds after which a daemon that is not ready repeats its report to all others. Less
#: than the lifetime of a report, so that candidates always know each other.
BROADCAST_INTERVAL = 1.5


class Receivers(enum.Enum):
    """Receivers of a report."""

    #: A random sample of the other daemons.
    SOME = enum.auto()
    #: All other daemons.
    ALL = enum.auto()


class ReportSchedule:
    """Lets all daemons know who is unready, and some of them the load; does no I/O."""

    def __init__(self) -> None:
        self._readiness = Readiness.READY
        self._reported_at: float | None = None
        self._broadcast_at: float | None = None

    def choose_receivers(self, readiness: Readiness, now: float) -> Receivers | None:
        """Return to whom to send a report now; None for nobody.

        Parameters
        ----------
        readiness
            Readiness of this daemon.
        now
            Time in seconds.
        """
        previous, self._readiness = self._readiness, readiness
        is_relevant_change = readiness is not previous and (
            readiness is not Readiness.READY or previous in UNREADY_STATES
        )
        is_repetition_due = readiness is not Readiness.READY and _has_passed(
            BROADCAST_INTERVAL, self._broadcast_at, now
        )
        if is_relevant_change or is_repetition_due:
            self._broadcast_at = now
            return Receivers.ALL
        if _has_passed(REPORT_INTERVAL, self._reported_at, now):
            self._reported_at = now
            return Receivers.SOME
        return None


def _has_passed(interval: float, since: float | None, now: float) -> bool:
    return since is None or now - since >= interval

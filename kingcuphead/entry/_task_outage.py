"""Decides what follows from the failures of one background task; does no I/O."""

from kingcuphead.frozen import frozen

#: Seconds from the end of the last stable run of a task until the daemon ends. In that
#: time other daemons and the store bridge what the task does, as when they lose
#: messages and calls.
MAX_OUTAGE = 5.0
#: Seconds without a failure after which a run of a task is stable.
STABLE_PERIOD = 1.0
#: Seconds until the first restart, which double with each one up to the bound.
FIRST_DELAY, MAX_DELAY = 0.05, 0.8


@frozen
class Restart:
    """The task is to be started again."""

    #: Seconds until then.
    delay: float


@frozen
class GiveUp:
    """The task is not to be started again: it fails too long."""


class TaskOutage:
    """The time for which a task has had no stable run."""

    def __init__(self) -> None:
        self._began_at: float | None = None
        self._delay = FIRST_DELAY

    def record_failure(self, started_at: float, failed_at: float) -> Restart | GiveUp:
        """Record the end of a run, and return what is to be done.

        Parameters
        ----------
        started_at
            Time in seconds at which the run began.
        failed_at
            Time in seconds at which it failed.
        """
        if self._began_at is None or failed_at - started_at >= STABLE_PERIOD:
            self._began_at = failed_at
            self._delay = FIRST_DELAY
        if failed_at - self._began_at >= MAX_OUTAGE:
            return GiveUp()
        delay = self._delay
        self._delay = min(2 * delay, MAX_DELAY)
        return Restart(delay)

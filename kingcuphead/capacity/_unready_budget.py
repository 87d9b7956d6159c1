"""Bound on the part of the time in which a daemon is unready."""

#: Part of the time in which a daemon may be unready to shed load.
UNREADY_SHARE = 0.1
#: Unready seconds in the bucket at start. Less than `MIN_SECONDS`: a daemon that has
#: just started doesn't know its load yet, and one that restarts often must stay within
#: the bound.
INITIAL_SECONDS = 2.0
#: Upper bound of the seconds in the bucket.
MAX_SECONDS = 8.0
#: Seconds in the bucket needed to become unready: for two readiness checks, for the
#: answers after which connections close, and until the next check.
MIN_SECONDS = 3.0
#: Most seconds that a daemon can owe, if it isn't checked any more while unready.
MAX_OWED_SECONDS = 4.0


class UnreadyBudget:
    """Token bucket of unready seconds, filled by the time that passes.

    Parameters
    ----------
    now
        Time of the start in seconds.
    """

    def __init__(self, now: float) -> None:
        self._seconds = INITIAL_SECONDS
        self._updated_at = now
        #: Total seconds in which this daemon was unready.
        self.total = 0.0

    @property
    def is_sufficient(self) -> bool:
        """Whether this daemon may become unready."""
        return self._seconds >= MIN_SECONDS

    @property
    def is_used_up(self) -> bool:
        """Whether this daemon must become ready again."""
        return self._seconds <= 0

    def advance(self, now: float, is_unready: bool) -> None:
        """Account for the time since the last call.

        Parameters
        ----------
        now
            Time in seconds.
        is_unready
            Whether the daemon was unready since the last call.
        """
        elapsed = now - self._updated_at
        self._updated_at = now
        seconds = self._seconds + elapsed * UNREADY_SHARE
        if is_unready:
            seconds -= elapsed
            self.total += elapsed
        self._seconds = max(-MAX_OWED_SECONDS, min(seconds, MAX_SECONDS))

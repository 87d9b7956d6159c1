"""Bound on the part of the time in which a daemon is unready."""

#: Part of the time in which a daemon may be unready to shed load.
UNREADY_SHARE = 0.1
#: Saved seconds at start. Less than `MIN_SAVED`: a daemon that has just started doesn't
#: know its load yet, and one that restarts often must stay within the bound.
INITIAL_SAVED = 2.0
#: Most unready seconds that a daemon saves up.
MAX_SAVED = 8.0
#: Saved seconds needed to become unready: for two readiness checks, for the answers
#: after which connections close, and until the next check.
MIN_SAVED = 3.0
#: Most seconds that a daemon can owe, if it isn't checked any more while unready.
MAX_OWED = 4.0


class UnreadyTime:
    """Token bucket of unready seconds, filled by the time that passes.

    Parameters
    ----------
    now
        Time of the start in seconds.
    """

    def __init__(self, now: float) -> None:
        self._saved = INITIAL_SAVED
        self._updated_at = now
        #: Total seconds in which this daemon was unready.
        self.total = 0.0

    @property
    def is_sufficient(self) -> bool:
        """Whether this daemon may become unready."""
        return self._saved >= MIN_SAVED

    @property
    def is_used_up(self) -> bool:
        """Whether this daemon must become ready again."""
        return self._saved <= 0

    def advance(self, now: float, is_unready: bool) -> None:
        """Account for the time since the last call.

        Parameters
        ----------
        now
            Time in seconds.
        is_unready
            Whether the daemon was unready since the last call.
        """
        seconds = now - self._updated_at
        self._updated_at = now
        saved = self._saved + seconds * UNREADY_SHARE
        if is_unready:
            saved -= seconds
            self.total += seconds
        self._saved = max(-MAX_OWED, min(saved, MAX_SAVED))

"""Limits the number and length of log lines about data that can't be decoded."""

import time
from collections.abc import Callable

#: Minimum seconds between two lines about the same subject.
REPETITION_INTERVAL = 60.0
#: Number of subjects that may have a line within that interval.
MAX_SUBJECTS = 256
#: Characters of the beginning and of the end of a quoted text in a line.
QUOTED_BEGINNING, QUOTED_END = 100, 50


class RepetitionLimit:
    """Decides whether another line about a subject is logged.

    While daemons of two versions run, one of them may repeatedly send or write what the
    other one can't decode.

    Parameters
    ----------
    get_time
        Monotonic clock in seconds.
    """

    def __init__(self, get_time: Callable[[], float] = time.monotonic) -> None:
        self._get_time = get_time
        self._logged_at: dict[str, float] = {}

    def allows(self, subject: str) -> bool:
        """Return whether a line is due, and count it as logged if it is."""
        now = self._get_time()
        logged_at = self._logged_at.get(subject)
        if logged_at is not None and now - logged_at < REPETITION_INTERVAL:
            return False
        if logged_at is None and len(self._logged_at) >= MAX_SUBJECTS:
            self._expire(now)
            if len(self._logged_at) >= MAX_SUBJECTS:
                return False
        # The dictionary stays ordered by time.
        self._logged_at.pop(subject, None)
        self._logged_at[subject] = now
        return True

    def _expire(self, now: float) -> None:
        for subject, logged_at in tuple(self._logged_at.items()):
            if now - logged_at < REPETITION_INTERVAL:
                return
            del self._logged_at[subject]


def quote(content: object) -> str:
    """Return the text of untrusted content, shortened in the middle if it is long."""
    text = str(content)
    if len(text) <= QUOTED_BEGINNING + QUOTED_END:
        return text
    return f"{text[:QUOTED_BEGINNING]}...{text[-QUOTED_END:]}"

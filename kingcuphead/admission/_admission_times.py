"""Times at which the requests in progress were admitted."""

import collections

#: Bound on the admissions that are remembered for a service.
MAX_ADMISSIONS = 1_024


class AdmissionTimes:
    """Tells how long requests have been in progress; does no I/O."""

    def __init__(self) -> None:
        self._times: collections.deque[float] = collections.deque(maxlen=MAX_ADMISSIONS)

    def record(self, now: float) -> None:
        """Record an admission."""
        self._times.append(now)

    def get_age(self, running: int, now: float) -> float:
        """Return the seconds since the admission of the oldest request in progress.

        It is taken for the first one of as many admissions as requests are in progress.

        Parameters
        ----------
        running
            Number of requests in progress.
        now
            Current time in seconds.
        """
        count = min(running, len(self._times))
        return now - self._times[-count] if count else 0.0

"""How old this daemon's view of the configuration is."""

import time
from collections.abc import Callable, Mapping

from loguru import logger

#: Age in seconds that the view reaches only if a poll is late or fails: a long poll and
#: the longest delay before it take 1.5 s.
OVERDUE_AGE = 2.0


class ViewAge:
    """Records when the store last confirmed that the version in force is the newest.

    Parameters
    ----------
    describe_load
        Returns log fields that tell why a poll may be late.
    """

    def __init__(
        self, describe_load: Callable[[], Mapping[str, float]] = lambda: {}
    ) -> None:
        self._describe_load = describe_load
        self._confirmed_at: float | None = None

    def confirm(self, confirmed_at: float) -> None:
        """Record a reply of the store.

        Parameters
        ----------
        confirmed_at
            Monotonic time in seconds at which the store had no later version, at the
            latest; the reply may have waited in this process for longer.
        """
        age = self.get_age()
        if self._confirmed_at is not None and confirmed_at <= self._confirmed_at:
            return
        if self._confirmed_at is not None and age >= OVERDUE_AGE:
            logger.bind(age_seconds=round(age, 3), **self._describe_load()).warning(
                "view of the configuration was overdue"
            )
        self._confirmed_at = confirmed_at

    @property
    def is_current(self) -> bool:
        """Whether the version in force is known to be the newest one."""
        return self.get_age() < OVERDUE_AGE

    def get_age(self) -> float:
        """Return the seconds since the last confirmation; infinite before it."""
        if self._confirmed_at is None:
            return float("inf")
        return time.monotonic() - self._confirmed_at

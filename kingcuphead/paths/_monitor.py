"""Tells whether this daemon can open connections to targets."""

from collections.abc import Callable

from loguru import logger

#: Number of targets that can't be connected to, with no other that can in between, from
#: which on the path to all of them is in doubt.
MIN_FAILED_TARGETS = 2
#: Seconds after which a failure no longer counts.
FAILURE_LIFETIME = 3.0
#: Seconds without an opened connection for which the load of this daemon explains
#: failures. Afterwards the path may be lost while callers still cause that load.
MAX_EXPLAINED_PERIOD = 2.0


class PathMonitor:
    """Judges the daemon's own path by the connections that it opens; does no I/O.

    Connections that are already open prove nothing: they may go on when new ones are
    refused, and hang without any sign when the path is lost.

    Parameters
    ----------
    is_overloaded
        Returns whether the link or the event loop of this daemon is used to capacity.
        Connections then open too late although the path is sound, and tunnels would
        only add to the load. It explains failures for at most `MAX_EXPLAINED_PERIOD`.
    """

    def __init__(self, is_overloaded: Callable[[], bool] = lambda: False) -> None:
        self._is_overloaded = is_overloaded
        self._failed_at: dict[str, float] = {}
        #: When the first of successive failures occurred.
        self._failing_since = 0.0
        self._last_failed_at = 0.0
        #: Whether the path is lost.
        self.is_lost = False

    @property
    def is_in_doubt(self) -> bool:
        """Whether other targets should be tried, to find out if the path is lost.

        Some targets may also have ended at the same time.
        """
        has_failures = len(self._failed_at) >= MIN_FAILED_TARGETS
        return has_failures and not self.is_lost and not self._is_explained()

    def record_success(self) -> None:
        """Record that a connection to a target was opened."""
        self._failed_at.clear()
        if self.is_lost:
            self.is_lost = False
            logger.info("path to targets is back")

    def record_failure(self, address: str, now: float) -> None:
        """Record that a target could not be connected to."""
        self._failed_at = {
            each: failed_at
            for each, failed_at in self._failed_at.items()
            if now - failed_at <= FAILURE_LIFETIME
        }
        if not self._failed_at:
            self._failing_since = now
        self._failed_at[address] = self._last_failed_at = now

    def record_loss(self) -> None:
        """Record that no target could be connected to when the path was in doubt."""
        if self.is_in_doubt:
            self.is_lost = True
            logger.warning("path to targets is lost: {}", ", ".join(self._failed_at))

    def _is_explained(self) -> bool:
        """Whether the load of this daemon explains that connections fail."""
        failing_for = self._last_failed_at - self._failing_since
        return failing_for < MAX_EXPLAINED_PERIOD and self._is_overloaded()

"""What the readiness checks of the platform have seen of this daemon."""

#: Failed readiness checks after which a daemon gets no new connections.
FAILED_CHECKS = 2
#: Shortest time in seconds between two checks that count separately.
MIN_CHECK_INTERVAL = 0.5
#: Seconds for the last failed check to take effect at the balancer.
CHECK_DELAY = 0.2


class ReadinessChecks:
    """Counts the checks that failed since this daemon became unready; does no I/O."""

    def __init__(self) -> None:
        self._failures = 0
        self._failed_at = 0.0
        #: Whether the platform takes this daemon for unready: from the first failed
        #: check until the next successful one.
        self.is_seen_unready = False

    @property
    def is_unlisted(self) -> bool:
        """Whether enough checks have failed for the balancer to use other daemons."""
        return self._failures >= FAILED_CHECKS

    def is_in_effect(self, now: float) -> bool:
        """Return whether the balancer sends no new connections any more."""
        return self.is_unlisted and now - self._failed_at >= CHECK_DELAY

    def begin(self) -> None:
        """Count from zero, as this daemon becomes unready."""
        self._failures = 0

    def record_success(self) -> None:
        """Record a check that this daemon passed."""
        self.is_seen_unready = False

    def record_failure(self, now: float) -> None:
        """Record a check that failed while this daemon was unready."""
        self.is_seen_unready = True
        if not self._failures or now - self._failed_at >= MIN_CHECK_INTERVAL:
            self._failures += 1
            self._failed_at = now

"""Whether an entry that is gone was removed, or may have expired in an outage."""

from loguru import logger

#: Seconds after the start of the last failed call to the store within which targets
#: write their expired entries again.
REREGISTRATION_PERIOD = 3.0
#: Seconds after the store's return within which they do so.
RETURN_PERIOD = 2.0
#: Heartbeats that an entry outlasts without being written.
LIFETIME_HEARTBEATS = 3.0
#: Longest pause between two writes of a target, in heartbeats; they are not exact.
WRITE_HEARTBEATS = 1.25


class EntryExpiry:
    """Tells entries that were removed from those that may have expired; does no I/O.

    An entry expires if its target could not write it for three heartbeats. A target
    writes within any period of `WRITE_HEARTBEATS` in which the store answers, so that
    an entry can't expire until the rest of its lifetime has passed since the last such
    period. The store's answers to this daemon show that it answers; a failed call shows
    an outage only if nothing was answered since the call began.

    Parameters
    ----------
    heartbeat
        Seconds between two writes of a target.
    """

    def __init__(self, heartbeat: float) -> None:
        self._write_period = WRITE_HEARTBEATS * heartbeat
        self._silent_period = LIFETIME_HEARTBEATS * heartbeat - self._write_period
        self._failed_at = float("-inf")
        self._answered_at = float("-inf")
        #: First of the answers without a failure between them; None after a failure.
        self._answering_since: float | None = None
        #: Time by which each target has written, as the store answered.
        self._written_at = float("-inf")

    @property
    def failed_at(self) -> float:
        """Start of the last call that failed, on the monotonic clock."""
        return self._failed_at

    def record_failure(self, started_at: float) -> None:
        """Record the start time of a call that the store didn't answer."""
        self._failed_at = max(self._failed_at, started_at)
        if started_at >= self._answered_at:
            self._answering_since = None

    def record_answer(self, now: float) -> None:
        """Record that the store has just answered a read of the entries."""
        since = self._answering_since
        if since is None or now - self._answered_at > self._write_period:
            since = now
        if now - since >= self._write_period:
            self._written_at = now
        self._answering_since = since
        self._answered_at = now

    def may_have_expired(self, name: str, now: float) -> bool:
        """Whether an entry that is gone may have expired while its target runs.

        Parameters
        ----------
        name
            Name of the target, for the log.
        now
            Time in seconds on the monotonic clock.
        """
        since_failure = now - self._failed_at
        since_written = now - self._written_at
        if since_failure > REREGISTRATION_PERIOD:
            return False
        is_possible = since_written > self._silent_period
        logger.bind(
            target=name,
            since_failure=round(since_failure, 3),
            since_written=round(since_written, 3),
        ).info("entry gone after a failed call: {}", _describe(is_possible))
        return is_possible

    def get_deadline(self) -> float:
        """Return the time by which targets have written expired entries again."""
        deadline = self._failed_at + REREGISTRATION_PERIOD
        if self._answering_since is None:
            return deadline
        return min(deadline, self._answering_since + RETURN_PERIOD)


def _describe(is_possible: bool) -> str:
    return "may have expired, kept for now" if is_possible else "removed"

"""Measures how long the event loop of this process is busy."""

import selectors
import time

#: Seconds after which the longest turns are counted anew.
TURN_PERIOD = 2.5


class TimedSelector(selectors.DefaultSelector):
    """A selector that counts the time in which the event loop waits for events.

    The processor clock of a process doesn't tell how much of its share is left: on a
    platform that limits processes to a share of a core, it may count the time in which
    the process waits for its turn.
    """

    def __init__(self) -> None:
        super().__init__()
        self._started_at = time.monotonic()
        self._idle_seconds = 0.0
        self._turn_began_at = self._rotated_at = self._started_at
        self._longest_turns = (0.0, 0.0)

    @property
    def longest_turn(self) -> float:
        """Longest seconds between two selections in the last `TURN_PERIOD` or two.

        Whatever becomes ready meanwhile waits for that long at least.
        """
        return max(self._longest_turns)

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        """Wait for events, as the base class does."""
        began_at = time.monotonic()
        self._record_turn(began_at)
        try:
            return super().select(timeout)
        finally:
            self._turn_began_at = time.monotonic()
            self._idle_seconds += self._turn_began_at - began_at

    def get_busy_seconds(self) -> float:
        """Return the seconds since the start in which callbacks have run."""
        return time.monotonic() - self._started_at - self._idle_seconds

    def _record_turn(self, ended_at: float) -> None:
        current, previous = self._longest_turns
        if ended_at - self._rotated_at >= TURN_PERIOD:
            self._rotated_at = ended_at
            current, previous = 0.0, current
        current = max(current, ended_at - self._turn_began_at)
        self._longest_turns = current, previous

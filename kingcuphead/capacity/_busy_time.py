"""Measures how long the event loop of this process is busy."""

import selectors
import time


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

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        """Wait for events, as the base class does."""
        began_at = time.monotonic()
        try:
            return super().select(timeout)
        finally:
            self._idle_seconds += time.monotonic() - began_at

    def get_busy_seconds(self) -> float:
        """Return the seconds since the start in which callbacks have run."""
        return time.monotonic() - self._started_at - self._idle_seconds

"""What the request path measures of each request."""

import enum
import time
from typing import Protocol


class Phase(enum.StrEnum):
    """Part of the way of a request."""

    HOLD = "hold"
    QUEUE = "queue"
    CLAIM = "claim"
    SETTLEMENT = "settlement"


class Observer(Protocol):
    """Takes the times of one request."""

    def end_phase(self, phase: Phase) -> None:
        """Count the time since the last phase ended as this phase."""
        ...


class Stopwatch:
    """Measures the phases of one request.

    Parameters
    ----------
    started_at
        Monotonic time of arrival in seconds.
    """

    def __init__(self, started_at: float) -> None:
        self._last = started_at
        #: Seconds of each phase, in order of their ends.
        self.phases: list[tuple[Phase, float]] = []

    def end_phase(self, phase: Phase) -> None:
        """Count the time since the last phase ended as this phase."""
        now = time.monotonic()
        self.phases.append((phase, now - self._last))
        self._last = now

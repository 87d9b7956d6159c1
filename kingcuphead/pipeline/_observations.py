"""What the request path measures of each request."""

import enum
import time
from typing import Protocol

from kingcuphead.api import Usage
from kingcuphead.metrics import StreamTimes, TokenClock


class Phase(enum.StrEnum):
    """Part of the way of a request."""

    HOLD = "hold"
    QUEUE = "queue"
    SETTLEMENT = "settlement"


class Observer(Protocol):
    """Takes the times of one request."""

    def end_phase(self, phase: Phase) -> None:
        """Count the time since the last phase ended as this phase."""
        ...

    def take_piece(self) -> None:
        """Count a piece of the answer."""
        ...

    def take_usage(self, usage: Usage) -> None:
        """Take the usage that is billed."""
        ...


class Stopwatch:
    """Measures one request.

    Parameters
    ----------
    started_at
        Monotonic time of arrival in seconds.
    """

    def __init__(self, started_at: float) -> None:
        self._last = started_at
        self._tokens = TokenClock(started_at)
        #: Seconds of each phase, in order of their ends.
        self.phases: list[tuple[Phase, float]] = []
        #: Usage that is billed.
        self.usage = Usage(0)

    @property
    def stream(self) -> StreamTimes | None:
        """Times of the pieces of the answer."""
        return self._tokens.get_times()

    def end_phase(self, phase: Phase) -> None:
        """Count the time since the last phase ended as this phase."""
        now = time.monotonic()
        self.phases.append((phase, now - self._last))
        self._last = now

    def take_piece(self) -> None:
        """Count a piece of the answer."""
        self._last = time.monotonic()
        self._tokens.record_chunk(self._last)

    def take_usage(self, usage: Usage) -> None:
        """Take the usage that is billed."""
        self.usage = usage

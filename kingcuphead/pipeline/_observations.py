"""Measurements of each request in the pipeline."""

import enum
import time
from typing import Protocol

from kingcuphead.api import Usage
from kingcuphead.metrics import StreamTimes, TokenClock


class Phase(enum.StrEnum):
    """Phase of a request whose duration is measured."""

    #: From the arrival to the end of the wait for credit.
    HOLD = "hold"
    #: Until a slot on a target is assigned; recorded for each attempt. For a retry it
    #: starts with the failed attempt, or with the last chunk of that attempt.
    QUEUE = "queue"
    #: From the last chunk of the response to the durable bill.
    SETTLEMENT = "settlement"


class Observer(Protocol):
    """Records the measurements of one request."""

    def end_phase(self, phase: Phase) -> None:
        """Record the time since the last phase or chunk as this phase."""
        ...

    def record_chunk(self) -> None:
        """Record the arrival of a chunk of the response."""
        ...

    def record_usage(self, usage: Usage) -> None:
        """Record the usage that is billed."""
        ...


class Stopwatch:
    """Measures the durations and the usage of one request.

    Parameters
    ----------
    started_at
        Arrival time in seconds on the monotonic clock.
    """

    def __init__(self, started_at: float) -> None:
        self._last_event_at = started_at
        self._tokens = TokenClock(started_at)
        #: Phases and their durations in seconds, in order of their ends.
        self.phases: list[tuple[Phase, float]] = []
        #: Usage that is billed; no tokens until it is recorded.
        self.usage = Usage(0)

    @property
    def stream(self) -> StreamTimes | None:
        """Times of the response chunks; None before the first chunk."""
        return self._tokens.get_times()

    def end_phase(self, phase: Phase) -> None:
        """Record the time since the last phase or chunk as this phase."""
        now = time.monotonic()
        self.phases.append((phase, now - self._last_event_at))
        self._last_event_at = now

    def record_chunk(self) -> None:
        """Record the arrival of a chunk of the response."""
        self._last_event_at = time.monotonic()
        self._tokens.record_chunk(self._last_event_at)

    def record_usage(self, usage: Usage) -> None:
        """Record the usage that is billed."""
        self.usage = usage

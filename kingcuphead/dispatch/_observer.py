"""What the dispatcher tells of engines, for metrics."""

import enum
from typing import Protocol


class MemoryDenial(enum.StrEnum):
    """Why a request got no memory of an engine."""

    #: All engines are full, by the reports that this daemon has.
    KNOWN_LOAD = "known_load"
    #: The coordinator of an engine denied a permit.
    COORDINATOR = "coordinator"
    #: The request is larger than the memory of any engine.
    TOO_LARGE = "too_large"


class EngineObserver(Protocol):
    """Records what placements on engines show."""

    def record_engine_wait(self, service: str, expected: float, seconds: float) -> None:
        """Record the expected and the observed seconds to the first event."""

    def record_engine_memory(self, service: str, share: float) -> None:
        """Record the known share of an engine's memory, with a request placed there."""

    def record_memory_denial(self, service: str, cause: MemoryDenial) -> None:
        """Record that a request got no memory."""

"""Chooses a target for each attempt of a request, and limits retries per service."""

from kingcuphead.dispatch._dispatcher import Dispatcher
from kingcuphead.dispatch._messages import (
    AttemptResult,
    DispatchSettings,
    PlacementRequest,
    SharedPrefix,
)
from kingcuphead.dispatch._observer import EngineObserver, MemoryDenial
from kingcuphead.dispatch._retries import RetryAllowance
from kingcuphead.dispatch._target_state import Placement

__all__ = [
    "AttemptResult",
    "DispatchSettings",
    "Dispatcher",
    "EngineObserver",
    "MemoryDenial",
    "Placement",
    "PlacementRequest",
    "RetryAllowance",
    "SharedPrefix",
]

"""Chooses a target for each attempt of a request, and limits retries per service."""

from kingcuphead.dispatch._dispatcher import Dispatcher
from kingcuphead.dispatch._hedging import (
    HedgeConditions,
    HedgeDenial,
    HedgingPolicy,
    RequestClass,
)
from kingcuphead.dispatch._messages import (
    AttemptResult,
    DispatchSettings,
    PlacementRequest,
    SharedPrefix,
)
from kingcuphead.dispatch._observer import EngineObserver, MemoryDenial
from kingcuphead.dispatch._retries import RetryAllowance
from kingcuphead.dispatch._room import RoomCheck, ServiceLoad
from kingcuphead.dispatch._target_state import Placement

__all__ = [
    "AttemptResult",
    "DispatchSettings",
    "Dispatcher",
    "EngineObserver",
    "MemoryDenial",
    "HedgeConditions",
    "HedgeDenial",
    "HedgingPolicy",
    "Placement",
    "PlacementRequest",
    "RequestClass",
    "RetryAllowance",
    "RoomCheck",
    "ServiceLoad",
    "SharedPrefix",
]

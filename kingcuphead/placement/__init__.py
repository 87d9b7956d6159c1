"""Placement: choice of a target for each request, and concurrency limits."""

from kingcuphead.placement._affinity import compute_score, encode_key
from kingcuphead.placement._messages import (
    PlacementEffect,
    PlacementQuery,
    ProbeRequested,
    TargetStateChanged,
)
from kingcuphead.placement._placement import Placement, Prospect
from kingcuphead.placement._settings import PlacementSettings
from kingcuphead.placement._states import AnswerResult, StateSource, TargetState
from kingcuphead.placement._views import Attempt, TargetView

__all__ = [
    "AnswerResult",
    "Attempt",
    "Placement",
    "PlacementEffect",
    "PlacementQuery",
    "PlacementSettings",
    "ProbeRequested",
    "Prospect",
    "StateSource",
    "TargetState",
    "TargetStateChanged",
    "TargetView",
    "compute_score",
    "encode_key",
]

"""Admission: requests wait for room at targets, or are refused at once."""

from kingcuphead.admission._answer_times import AnswerTimes
from kingcuphead.admission._bounds import QueueBounds, bound_memory
from kingcuphead.admission._gate import SHUTDOWN_RETRY_AFTER, AdmissionGate, RoomQuery
from kingcuphead.admission._messages import (
    AdmissionRequest,
    Admitted,
    Decision,
    QueueFigures,
    Refused,
)

__all__ = [
    "SHUTDOWN_RETRY_AFTER",
    "AdmissionGate",
    "AdmissionRequest",
    "Admitted",
    "AnswerTimes",
    "Decision",
    "QueueBounds",
    "QueueFigures",
    "Refused",
    "bound_memory",
    "RoomQuery",
]

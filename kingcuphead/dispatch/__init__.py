"""Which target gets a request, and how often a request may be repeated."""

from kingcuphead.dispatch._dispatcher import Dispatcher
from kingcuphead.dispatch._messages import (
    AttemptResult,
    DispatchSettings,
    SharedStart,
    Work,
)
from kingcuphead.dispatch._retries import RetryAllowance
from kingcuphead.dispatch._target_state import Placement

__all__ = [
    "AttemptResult",
    "DispatchSettings",
    "Dispatcher",
    "Placement",
    "RetryAllowance",
    "SharedStart",
    "Work",
]

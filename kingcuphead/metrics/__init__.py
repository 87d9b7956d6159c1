"""Prometheus metrics of a daemon with a bounded number of series."""

from kingcuphead.metrics._clock import TokenClock
from kingcuphead.metrics._labels import NONE, OTHER, BoundedLabel
from kingcuphead.metrics._messages import (
    DaemonState,
    MetricsSettings,
    RequestMeasured,
    StreamTimes,
)
from kingcuphead.metrics._metrics import CONTENT_TYPE, Metrics

__all__ = [
    "CONTENT_TYPE",
    "NONE",
    "OTHER",
    "BoundedLabel",
    "DaemonState",
    "Metrics",
    "MetricsSettings",
    "RequestMeasured",
    "StreamTimes",
    "TokenClock",
]

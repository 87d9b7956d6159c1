"""Load of this daemon, and moving callers to other daemons when it is too large."""

from kingcuphead.capacity._busy_time import TimedSelector
from kingcuphead.capacity._connections import CallerConnection, CallerConnections
from kingcuphead.capacity._exchange import CapacityExchange, CapacityFigures
from kingcuphead.capacity._messages import CapacityReported, Readiness
from kingcuphead.capacity._meter import OwnLoad
from kingcuphead.capacity._traffic import (
    LINK_TRAFFIC,
    MESSAGE_OVERHEAD_BYTES,
    LinkTraffic,
)

__all__ = [
    "LINK_TRAFFIC",
    "MESSAGE_OVERHEAD_BYTES",
    "CallerConnection",
    "CallerConnections",
    "CapacityExchange",
    "CapacityFigures",
    "CapacityReported",
    "LinkTraffic",
    "OwnLoad",
    "Readiness",
    "TimedSelector",
]

"""The request path: pipes and filters from a caller's request to its answer."""

from kingcuphead.pipeline._chat import ChatPath, ChatResources, ChatTimes
from kingcuphead.pipeline._claiming import ClaimedCalls
from kingcuphead.pipeline._gateway import Gateway, GatewaySettings, RequestEnd
from kingcuphead.pipeline._observations import Phase, Stopwatch
from kingcuphead.pipeline._ports import Caller, Holds, HoldTerms, Targets
from kingcuphead.pipeline._service import ServicePath
from kingcuphead.pipeline._settlement import Settlements
from kingcuphead.pipeline._stages import Placed, Received

__all__ = [
    "Caller",
    "ChatPath",
    "ChatResources",
    "ChatTimes",
    "ClaimedCalls",
    "Gateway",
    "GatewaySettings",
    "HoldTerms",
    "Holds",
    "Phase",
    "Placed",
    "Received",
    "RequestEnd",
    "ServicePath",
    "Settlements",
    "Stopwatch",
    "Targets",
]

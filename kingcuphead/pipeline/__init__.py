"""The request pipeline: stages that turn a caller's request into a response."""

from kingcuphead.pipeline._chat import ChatDependencies, ChatForwarder, ChatTimeouts
from kingcuphead.pipeline._claiming import ClaimedCalls
from kingcuphead.pipeline._gateway import Gateway, GatewaySettings, RequestEnd
from kingcuphead.pipeline._observations import Phase, Stopwatch
from kingcuphead.pipeline._ports import Caller, Holds, HoldTerms, Targets
from kingcuphead.pipeline._service import ServiceForwarder
from kingcuphead.pipeline._settlement import Settlements
from kingcuphead.pipeline._stages import Placed, Received

__all__ = [
    "Caller",
    "ChatForwarder",
    "ChatDependencies",
    "ChatTimeouts",
    "ClaimedCalls",
    "Gateway",
    "GatewaySettings",
    "HoldTerms",
    "Holds",
    "Phase",
    "Placed",
    "Received",
    "RequestEnd",
    "ServiceForwarder",
    "Settlements",
    "Stopwatch",
    "Targets",
]

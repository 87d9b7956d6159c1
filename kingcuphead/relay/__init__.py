"""HTTP client for targets: sends requests, streams responses, classifies failures."""

from kingcuphead.relay._ending import EndCause, TransferEnd, classify_end
from kingcuphead.relay._headers import filter_hop_by_hop, filter_request_headers
from kingcuphead.relay._messages import (
    RelayLimits,
    RelayRequest,
    ResponseHead,
    Timeouts,
)
from kingcuphead.relay._relay import Relay
from kingcuphead.relay._transfer import RelayStream

__all__ = [
    "EndCause",
    "Relay",
    "RelayLimits",
    "RelayRequest",
    "RelayStream",
    "ResponseHead",
    "Timeouts",
    "TransferEnd",
    "filter_hop_by_hop",
    "filter_request_headers",
    "classify_end",
]

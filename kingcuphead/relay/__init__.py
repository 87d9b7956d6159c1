"""The way to targets: requests sent, answers streamed, failures judged."""

from kingcuphead.relay._ending import EndCause, TransferEnd, judge_end
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
    "judge_end",
]

"""Forwards callers' requests to targets and the targets' answers to callers."""

from kingcuphead.forwarding._attempt import AttemptRunner
from kingcuphead.forwarding._connection import (
    TargetConnection,
    connect_to_target,
    is_refusal,
)
from kingcuphead.forwarding._context import (
    AnswerRecord,
    HedgeRecord,
    RequestContext,
)
from kingcuphead.forwarding._dependencies import Dependencies
from kingcuphead.forwarding._evidence import EvidenceRecorder
from kingcuphead.forwarding._forwarder import RequestForwarder
from kingcuphead.forwarding._memory import (
    STREAM_BUFFER_BYTES,
    MemoryReservation,
    OutOfMemoryError,
    RequestMemory,
    get_account_limit,
)
from kingcuphead.forwarding._messages import (
    MAX_EVENT_ID,
    MAX_TOKENS,
    AnswerHead,
    CallerRequest,
    PromptPart,
    PromptSize,
    SendOptions,
    TargetStated,
)
from kingcuphead.forwarding._pool import ConnectionPool
from kingcuphead.forwarding._ports import Caller, HeaderCodec
from kingcuphead.forwarding._refusals import Refusal, refuse
from kingcuphead.forwarding._target_stream import (
    TargetStream,
    open_stream,
    set_socket_options,
)
from kingcuphead.forwarding._target_watch import TargetWatch

__all__ = [
    "MAX_EVENT_ID",
    "MAX_TOKENS",
    "STREAM_BUFFER_BYTES",
    "AnswerHead",
    "AnswerRecord",
    "AttemptRunner",
    "Caller",
    "CallerRequest",
    "ConnectionPool",
    "Dependencies",
    "EvidenceRecorder",
    "HeaderCodec",
    "HedgeRecord",
    "MemoryReservation",
    "RequestMemory",
    "OutOfMemoryError",
    "PromptPart",
    "PromptSize",
    "Refusal",
    "RequestContext",
    "RequestForwarder",
    "SendOptions",
    "TargetConnection",
    "TargetStated",
    "TargetStream",
    "TargetWatch",
    "connect_to_target",
    "get_account_limit",
    "is_refusal",
    "open_stream",
    "refuse",
    "set_socket_options",
]

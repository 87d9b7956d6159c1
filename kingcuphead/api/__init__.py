"""Parsing of callers' requests and encoding of responses, without I/O."""

from kingcuphead.api._answer import AnswerEnd, AnswerStream, Usage
from kingcuphead.api._assembly import assemble_answer
from kingcuphead.api._caller_headers import (
    DEADLINE_HEADER,
    IDEMPOTENCY_KEY_HEADER,
    REQUEST_ID_ENTROPY_BYTES,
    REQUEST_ID_HEADER,
    WORK_CLASS_HEADER,
    CallerHeaders,
    make_request_id,
    parse_caller_headers,
    parse_deadline,
    parse_idempotency_key,
    parse_request_id,
    parse_work_class,
)
from kingcuphead.api._chat import (
    ChatRequest,
    bound_tokens,
    get_output_cap,
    parse_chat,
)
from kingcuphead.api._events import (
    DONE_EVENT,
    EventSplitter,
    OversizedEventError,
    encode_event,
    iterate_payloads,
)
from kingcuphead.api._identity import KeyIndex, digest_key, identify_caller
from kingcuphead.api._limits import ApiLimits
from kingcuphead.api._model_list import encode_models
from kingcuphead.api._refusal import (
    Refusal,
    choose_status,
    describe_refusal,
    encode_error_event,
)

__all__ = [
    "DEADLINE_HEADER",
    "DONE_EVENT",
    "IDEMPOTENCY_KEY_HEADER",
    "REQUEST_ID_ENTROPY_BYTES",
    "REQUEST_ID_HEADER",
    "WORK_CLASS_HEADER",
    "AnswerEnd",
    "AnswerStream",
    "ApiLimits",
    "CallerHeaders",
    "ChatRequest",
    "EventSplitter",
    "KeyIndex",
    "OversizedEventError",
    "Refusal",
    "Usage",
    "assemble_answer",
    "bound_tokens",
    "choose_status",
    "describe_refusal",
    "digest_key",
    "encode_error_event",
    "encode_event",
    "encode_models",
    "get_output_cap",
    "identify_caller",
    "iterate_payloads",
    "make_request_id",
    "parse_caller_headers",
    "parse_chat",
    "parse_deadline",
    "parse_idempotency_key",
    "parse_request_id",
    "parse_work_class",
]

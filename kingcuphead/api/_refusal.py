"""HTTP responses for verdicts: status, headers and error body."""

import dataclasses
import math
from collections.abc import Mapping
from types import MappingProxyType

import msgspec

from kingcuphead.api._caller_headers import REQUEST_ID_HEADER
from kingcuphead.verdict import Execution, Reason, Verdict

#: Longest `Retry-After`, in seconds, that model clients comply with; they retry
#: earlier than requested if it is longer.
MAX_HONOURED_RETRY_AFTER_SECONDS = 60.0

_STATUSES: Mapping[Reason, int] = {
    Reason.INVALID_REQUEST: 400,
    Reason.UNAUTHENTICATED: 401,
    Reason.MODEL_NOT_ALLOWED: 403,
    Reason.SERVICE_NOT_FOUND: 404,
    Reason.ALREADY_CLAIMED: 409,
    Reason.REQUEST_TOO_LARGE: 413,
    Reason.QUARANTINED: 422,
    Reason.BUDGET_EXHAUSTED: 429,
    Reason.CREDIT_UNAVAILABLE: 429,
    Reason.QUEUE_FULL: 429,
    Reason.CALLER_GONE: 499,
    Reason.TARGET_FAILED: 502,
    Reason.TARGET_REFUSED: 502,
    Reason.TARGET_TIMED_OUT: 504,
    Reason.TRUNCATED: 502,
    Reason.BILL_UNCERTAIN: 503,
    Reason.CONFIGURATION_STALE: 503,
    Reason.DEADLINE: 503,
    Reason.NO_TARGET: 503,
    Reason.TARGETS_CLOSED: 503,
    Reason.PLATFORM_UNAVAILABLE: 503,
    Reason.SHUTTING_DOWN: 503,
    Reason.MEMORY_FULL: 503,
    Reason.INTERNAL_ERROR: 502,
    Reason.STREAM_UNKNOWN: 503,
}


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """A complete HTTP response that reports a verdict."""

    #: HTTP status code.
    status: int
    #: Response headers.
    headers: Mapping[str, str]
    #: JSON error object in the format of the chat API.
    body: bytes


class _ErrorFields(msgspec.Struct, frozen=True):
    """Fields of the API's error object, extended by those of the verdict."""

    message: str
    type: str
    code: str
    execution: str
    reason: str
    request_id: str
    retry_after: float | None
    param: str | None = None


class _ErrorBody(msgspec.Struct, frozen=True):
    error: _ErrorFields


def describe_refusal(
    verdict: Verdict, request_id: str, *, idempotent: bool = False
) -> Refusal:
    """Build the HTTP response for a verdict.

    Parameters
    ----------
    verdict : Verdict
        Verdict that ends the request.
    request_id : str
        Request id that the headers and the body include.
    idempotent : bool
        Whether a second execution is harmless. Only then may a client retry a
        request that may have run.
    """
    headers = {
        "Content-Type": "application/json",
        REQUEST_ID_HEADER: request_id,
        "x-should-retry": "false",
    }
    if _allows_retry(verdict, idempotent):
        headers.update(_build_retry_headers(verdict.retry_after or 0.0))
    return Refusal(
        status=choose_status(verdict),
        headers=MappingProxyType(headers),
        body=_encode_error_body(verdict, request_id),
    )


def encode_error_event(verdict: Verdict, request_id: str) -> bytes:
    """Return the error event that ends a stream after its first bytes were sent.

    No `[DONE]` follows it, so that clients don't treat the answer as complete.
    """
    return b"data: " + _encode_error_body(verdict, request_id) + b"\n\n"


def choose_status(verdict: Verdict) -> int:
    """Return the HTTP status code for a verdict."""
    if verdict.reason is Reason.DEADLINE and verdict.execution is not Execution.NOT_RUN:
        return 504
    return _STATUSES[verdict.reason]


def _choose_type(verdict: Verdict) -> str:
    """Return the error type that the chat API defines for this kind of refusal."""
    match verdict.reason:
        case Reason.UNAUTHENTICATED:
            return "authentication_error"
        case Reason.MODEL_NOT_ALLOWED:
            return "permission_error"
        case Reason.BUDGET_EXHAUSTED:
            return "insufficient_quota"
        case Reason.CREDIT_UNAVAILABLE | Reason.QUEUE_FULL:
            return "rate_limit_error"
        case _ if choose_status(verdict) < 500:
            return "invalid_request_error"
        case _:
            return "server_error"


def _allows_retry(verdict: Verdict, idempotent: bool) -> bool:
    if verdict.retry_after is None:
        return False
    match verdict.execution:
        case Execution.NOT_RUN:
            return True
        case Execution.MAY_HAVE_RUN:
            return idempotent
        case Execution.RAN:
            return False


def _build_retry_headers(seconds: float) -> Mapping[str, str]:
    """Return the retry delay in seconds and in milliseconds, both rounded up."""
    seconds = max(seconds, 0.0)
    is_honoured = seconds <= MAX_HONOURED_RETRY_AFTER_SECONDS
    return {
        "Retry-After": str(math.ceil(seconds)),
        "retry-after-ms": str(math.ceil(seconds * 1000)),
        "x-should-retry": "true" if is_honoured else "false",
    }


def _encode_error_body(verdict: Verdict, request_id: str) -> bytes:
    fields = _ErrorFields(
        message=verdict.message,
        type=_choose_type(verdict),
        code=verdict.reason.value,
        execution=verdict.execution.value,
        reason=verdict.reason.value,
        request_id=request_id,
        retry_after=verdict.retry_after,
    )
    return msgspec.json.encode(_ErrorBody(fields))

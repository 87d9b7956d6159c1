"""Verdicts as callers see them: status, headers and error body."""

import dataclasses
import math
from collections.abc import Mapping
from types import MappingProxyType

import msgspec

from kingcuphead.api._caller_headers import REQUEST_ID_HEADER
from kingcuphead.verdict import Execution, Reason, Verdict

#: Longest `Retry-After`, in seconds, that model clients wait for; with a longer
#: one they retry sooner than asked.
LONGEST_HONOURED_WAIT = 60.0

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
    Reason.PLATFORM_UNAVAILABLE: 503,
    Reason.SHUTTING_DOWN: 503,
}


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """A complete HTTP answer that carries a verdict."""

    #: HTTP status.
    status: int
    #: Headers of the answer.
    headers: Mapping[str, str]
    #: JSON body in the error shape of the chat API.
    body: bytes


class _ErrorFields(msgspec.Struct, frozen=True):
    """The fields of the API's error object, and the verdict's own."""

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
    """Turn a verdict into an HTTP answer.

    Parameters
    ----------
    verdict : Verdict
        What happened to the request.
    request_id : str
        Echoed in the headers and the body.
    idempotent : bool
        Whether a second execution would do no harm. Only then is a retry invited
        after a request that may have run.
    """
    headers = {
        "Content-Type": "application/json",
        REQUEST_ID_HEADER: request_id,
        "x-should-retry": "false",
    }
    if _invites_retry(verdict, idempotent):
        headers.update(_describe_wait(verdict.retry_after or 0.0))
    return Refusal(
        status=choose_status(verdict),
        headers=MappingProxyType(headers),
        body=_encode_error(verdict, request_id),
    )


def encode_error_event(verdict: Verdict, request_id: str) -> bytes:
    """Return the event that ends a stream which has already begun.

    No `[DONE]` follows it, so that no client takes the answer as whole.
    """
    return b"data: " + _encode_error(verdict, request_id) + b"\n\n"


def choose_status(verdict: Verdict) -> int:
    """Return the HTTP status of a verdict."""
    if verdict.reason is Reason.DEADLINE and verdict.execution is not Execution.NOT_RUN:
        return 504
    return _STATUSES[verdict.reason]


def _choose_type(verdict: Verdict) -> str:
    """Return the error type that the API uses for this kind of refusal."""
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


def _invites_retry(verdict: Verdict, idempotent: bool) -> bool:
    if verdict.retry_after is None:
        return False
    match verdict.execution:
        case Execution.NOT_RUN:
            return True
        case Execution.MAY_HAVE_RUN:
            return idempotent
        case Execution.RAN:
            return False


def _describe_wait(seconds: float) -> Mapping[str, str]:
    """Give the wait in both units, never shorter than asked."""
    seconds = max(seconds, 0.0)
    honoured = seconds <= LONGEST_HONOURED_WAIT
    return {
        "Retry-After": str(math.ceil(seconds)),
        "retry-after-ms": str(math.ceil(seconds * 1000)),
        "x-should-retry": "true" if honoured else "false",
    }


def _encode_error(verdict: Verdict, request_id: str) -> bytes:
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

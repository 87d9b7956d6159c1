"""Request headers by which callers control a request."""

import dataclasses
import math
import re
from collections.abc import Mapping
from typing import Any

from expression import Ok

from kingcuphead.api._limits import ApiLimits
from kingcuphead.api._request_errors import refuse
from kingcuphead.records import Organisation
from kingcuphead.verdict import Outcome, Reason

#: Header with the request id that responses, log lines and bills contain.
REQUEST_ID_HEADER = "X-Request-Id"
#: Header with the idempotency key of a call that must run at most once.
IDEMPOTENCY_KEY_HEADER = "Idempotency-Key"
#: Header that selects one of the organisation's work classes.
WORK_CLASS_HEADER = "X-Work-Class"
#: Header with the deadline for the first token, in seconds.
DEADLINE_HEADER = "X-Deadline-Seconds"
#: Random bytes in a request id that the daemon generates.
REQUEST_ID_ENTROPY_BYTES = 16

_REQUEST_ID = re.compile(r"[A-Za-z0-9._:-]{1,128}")
_IDEMPOTENCY_KEY = re.compile(r"[!-~]{1,255}")


@dataclasses.dataclass(frozen=True, slots=True)
class CallerHeaders:
    """The validated headers of one request."""

    #: Request id set by the caller; None if it set none.
    request_id: str | None
    #: Idempotency key of a call that must run at most once; None for other calls.
    idempotency_key: str | None
    #: Requested work class, or the organisation's first one.
    work_class: str
    #: Deadline for the first token, in seconds; None if the caller set none.
    deadline: float | None


def make_request_id(entropy: bytes) -> str:
    """Return a request id made from `REQUEST_ID_ENTROPY_BYTES` random bytes or more."""
    return f"req-{entropy.hex()}"


def parse_request_id(headers: Mapping[str, str]) -> Outcome[str | None]:
    """Validate the caller's request id; None if the header is absent."""
    value = headers.get(REQUEST_ID_HEADER)
    if value is None or _REQUEST_ID.fullmatch(value):
        return Ok(value)
    return _refuse_header(REQUEST_ID_HEADER, "1 to 128 of A-Z a-z 0-9 . _ : -")


def parse_idempotency_key(headers: Mapping[str, str]) -> Outcome[str | None]:
    """Validate the idempotency key; None if the header is absent."""
    value = headers.get(IDEMPOTENCY_KEY_HEADER)
    if value is None or _IDEMPOTENCY_KEY.fullmatch(value):
        return Ok(value)
    return _refuse_header(
        IDEMPOTENCY_KEY_HEADER, "1 to 255 printable characters without spaces"
    )


def parse_work_class(
    headers: Mapping[str, str], organisation: Organisation
) -> Outcome[str]:
    """Return the requested work class, or the organisation's default."""
    value = headers.get(WORK_CLASS_HEADER)
    if value is None:
        return Ok(organisation.classes[0])
    if value in organisation.classes:
        return Ok(value)
    return _refuse_header(WORK_CLASS_HEADER, "one of the organisation's classes")


def parse_deadline(
    headers: Mapping[str, str], limits: ApiLimits
) -> Outcome[float | None]:
    """Return the caller's deadline in seconds; None if the header is absent."""
    value = headers.get(DEADLINE_HEADER)
    if value is None:
        return Ok(None)
    try:
        seconds = float(value)
    except ValueError:
        seconds = math.nan
    if 0 < seconds <= limits.max_deadline:
        return Ok(seconds)
    return _refuse_header(
        DEADLINE_HEADER, f"seconds above 0, at most {limits.max_deadline:g}"
    )


def parse_caller_headers(
    headers: Mapping[str, str], organisation: Organisation, limits: ApiLimits
) -> Outcome[CallerHeaders]:
    """Validate all headers by which callers control a request."""
    return parse_request_id(headers).bind(
        lambda request_id: parse_idempotency_key(headers).bind(
            lambda key: parse_work_class(headers, organisation).bind(
                lambda work_class: parse_deadline(headers, limits).map(
                    lambda deadline: CallerHeaders(
                        request_id, key, work_class, deadline
                    )
                )
            )
        )
    )


def _refuse_header(name: str, allowed: str) -> Outcome[Any]:
    return refuse(Reason.INVALID_REQUEST, f"header {name}: allowed is {allowed}")

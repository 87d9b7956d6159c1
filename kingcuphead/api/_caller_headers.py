"""Headers by which a caller steers a request."""

import dataclasses
import math
import re
from collections.abc import Mapping
from typing import Any

from expression import Ok

from kingcuphead.api._limits import ApiLimits
from kingcuphead.api._refuse import refuse
from kingcuphead.records import Organisation
from kingcuphead.verdict import Outcome, Reason

#: Names the request in answers, log lines and bills.
REQUEST_ID_HEADER = "X-Request-Id"
#: Marks a call that must run at most once.
IDEMPOTENCY_KEY_HEADER = "Idempotency-Key"
#: Asks for one of the organisation's work classes.
WORK_CLASS_HEADER = "X-Work-Class"
#: Seconds after which the caller has no use for a first token.
DEADLINE_HEADER = "X-Deadline-Seconds"
#: Random bytes in a request id that the daemon makes.
REQUEST_ID_ENTROPY_BYTES = 16

_REQUEST_ID = re.compile(r"[A-Za-z0-9._:-]{1,128}")
_IDEMPOTENCY_KEY = re.compile(r"[!-~]{1,255}")


@dataclasses.dataclass(frozen=True, slots=True)
class CallerHeaders:
    """The checked headers of one request."""

    #: Request id given by the caller.
    request_id: str | None
    #: Key of a call that must run at most once.
    idempotency_key: str | None
    #: Work class: the one asked for, or the organisation's first.
    work_class: str
    #: Seconds to the first token; None if the caller named none.
    deadline: float | None


def make_request_id(entropy: bytes) -> str:
    """Make a request id from random bytes, at least `REQUEST_ID_ENTROPY_BYTES`."""
    return f"req-{entropy.hex()}"


def parse_request_id(headers: Mapping[str, str]) -> Outcome[str | None]:
    """Check the caller's request id; None if it gave none."""
    given = headers.get(REQUEST_ID_HEADER)
    if given is None or _REQUEST_ID.fullmatch(given):
        return Ok(given)
    return _refuse_header(REQUEST_ID_HEADER, "1 to 128 of A-Z a-z 0-9 . _ : -")


def parse_idempotency_key(headers: Mapping[str, str]) -> Outcome[str | None]:
    """Check the key of a call that must run at most once; None if there is none."""
    given = headers.get(IDEMPOTENCY_KEY_HEADER)
    if given is None or _IDEMPOTENCY_KEY.fullmatch(given):
        return Ok(given)
    return _refuse_header(
        IDEMPOTENCY_KEY_HEADER, "1 to 255 printable characters without spaces"
    )


def parse_work_class(
    headers: Mapping[str, str], organisation: Organisation
) -> Outcome[str]:
    """Return the work class asked for, or the organisation's default."""
    given = headers.get(WORK_CLASS_HEADER)
    if given is None:
        return Ok(organisation.classes[0])
    if given in organisation.classes:
        return Ok(given)
    return _refuse_header(WORK_CLASS_HEADER, "one of the organisation's classes")


def parse_deadline(
    headers: Mapping[str, str], limits: ApiLimits
) -> Outcome[float | None]:
    """Return the caller's deadline in seconds; None if it gave none."""
    given = headers.get(DEADLINE_HEADER)
    if given is None:
        return Ok(None)
    try:
        seconds = float(given)
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
    """Check every header by which a caller steers a request."""
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

"""Headers of callers' requests and of targets' responses: names and codecs."""

import http
import math
from collections.abc import Iterator

from expression import Error, Ok, Result
from loguru import logger
from tornado.httputil import HTTPHeaders, RequestStartLine

from kingcuphead.decoding import allows_body, parse_count, parse_decimal
from kingcuphead.forwarding import (
    MAX_EVENT_ID,
    MAX_TOKENS,
    AnswerHead,
    CallerRequest,
    PromptPart,
    PromptSize,
    SendOptions,
)
from kingcuphead.permits import TargetTerms
from kingcuphead.platform._entries import MAX_COLD_LEFT
from kingcuphead.platform._numbers import read_stated_number

REQUEST_ID = "Attempt-Id"
RETRY_AFTER = "Retry-After"

_DEADLINE = "Deadline-Ms"
_API_KEY = "Api-Key"
_LAST_EVENT_ID = "Last-Event-Id"
_RESUMES = "Resumes"
_TOKEN_COUNTS = "Token-Counts"
_PROMPT_PREFIX = "Prompt-Prefix"
_ORGANISATION = "Tenant"
_EXPECTED_TARGET = "Expect-Instance"
_RANK = "Request-Priority"
_KV_FETCH = "Kv-Fetch"
_SIGNATURE = "Response-Seal"
_NOT_RUN = "Not-Executed"
_LEAVING = "Server-Leaving"
_RATE_LIMIT = "Server-Limit"
_REJECTION_LIMIT = "Server-Brittle"
_COLD = "Cold-Ms"
#: Statuses with which a target can state that it has not run a request. Not the same as
#: `NOT_RUN_STATUSES` (package `forwarding`), by which this fleet tells its callers so.
_STATUSES_NOT_RUN = frozenset(
    {
        http.HTTPStatus.BAD_REQUEST,
        http.HTTPStatus.MISDIRECTED_REQUEST,
        http.HTTPStatus.TOO_MANY_REQUESTS,
        http.HTTPStatus.SERVICE_UNAVAILABLE,
    }
)
#: Upper bound in seconds of the time for which a target may ask for no requests.
_MAX_RETRY_AFTER = 30.0
#: Upper bound of the requests per second that a target may state.
_MAX_PER_SECOND = 1_000_000.0
#: Largest length of a body that is passed on without the body; larger ones are left
#: out, as clients may not be able to parse them.
_MAX_STATED_LENGTH = 2**53
#: Value with which a target states that it sets no limit.
_NO_LIMIT = "inf"
#: Least urgent rank; targets accept 0 (most urgent) to 9.
_LOWEST_RANK = 9

#: Hop-by-hop headers, which apply to a single connection and are not forwarded.
_HOP_BY_HOP = frozenset(
    {
        "connection",
        "content-length",
        "expect",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
#: Headers that describe the request; they are forwarded even if the caller's
#: Connection header lists them.
_END_TO_END = frozenset(
    {
        REQUEST_ID.lower(),
        _TOKEN_COUNTS.lower(),
        _PROMPT_PREFIX.lower(),
        "host",
        "length-hint",
        "model",
    }
)
#: Headers that only this fleet sets on requests to targets; those of callers are
#: dropped.
_FLEET_ONLY = frozenset(
    {
        _API_KEY.lower(),
        _DEADLINE.lower(),
        _LAST_EVENT_ID.lower(),
        _ORGANISATION.lower(),
        _EXPECTED_TARGET.lower(),
        _RANK.lower(),
        _KV_FETCH.lower(),
        "expect-version",
        "hold",
        "kv-backup",
        "kv-from",
        "pin-ms",
        "wait-ms",
    }
)
_NOT_FROM_CALLERS = _HOP_BY_HOP | _FLEET_ONLY


def decode_request(
    start_line: RequestStartLine, headers: HTTPHeaders, body: bytes, now: float
) -> Result[CallerRequest, str]:
    """Decode a caller's request.

    Parameters
    ----------
    start_line
        Request line.
    headers
        Headers of the request.
    body
        Complete body.
    now
        Time of arrival in seconds of the event loop's clock.

    Returns
    -------
    Result[CallerRequest, str]
        The request, or a message that names the invalid header or value.
    """
    request_id = headers.get(REQUEST_ID, "")
    if not request_id or "," in request_id:
        return Error(f"{REQUEST_ID} header is missing or has several values")
    try:
        caller_timeout = _parse_caller_timeout(headers)
        size = _parse_prompt_size(headers)
        resume_after = _parse_event_id(headers.get(_LAST_EVENT_ID) or "0")
    except ValueError as error:
        return Error(f"invalid number in a header: {error}")
    return Ok(
        CallerRequest(
            request_id=request_id,
            method=start_line.method,
            uri=start_line.path,
            host=headers.get("Host", ""),
            headers=_copy_headers(headers, _NOT_FROM_CALLERS),
            body=body,
            key=headers.get(_API_KEY, ""),
            timeout=caller_timeout,
            size=size,
            resume_after=resume_after,
            resumed_id=headers.get(_RESUMES, ""),
            arrived_at=now,
        )
    )


class PlatformHeaders:
    """Encodes request headers for targets and decodes their response headers."""

    def encode_request(
        self, request: CallerRequest, options: SendOptions
    ) -> HTTPHeaders:
        """Return the headers of one attempt to send a request to a target.

        Parameters
        ----------
        request
            Request of the caller.
        options
            Values that the fleet sets for this attempt.
        """
        headers = HTTPHeaders()
        for name in request.headers:
            _copy_values(request.headers, name, headers)
        headers[_EXPECTED_TARGET] = options.target
        headers[_DEADLINE] = str(max(1, math.floor(options.remaining * 1000)))
        if options.organisation:
            headers[_ORGANISATION] = options.organisation
        if options.resume_after:
            headers[_LAST_EVENT_ID] = str(options.resume_after)
        if request.size is not None:
            headers[_RANK] = str(min(max(options.rank, 0), _LOWEST_RANK))
        if options.copy_from:
            headers[_KV_FETCH] = options.copy_from
        if request.body or request.method in ("POST", "PUT", "PATCH"):
            headers["Content-Length"] = str(len(request.body))
        return headers

    def decode_answer(
        self, status: int, headers: HTTPHeaders, method: str
    ) -> AnswerHead:
        """Decode the status and headers of a target's response.

        Parameters
        ----------
        status
            HTTP status.
        headers
            Headers of the response.
        method
            HTTP method of the request; a response to HEAD has no body.
        """
        options = headers.get("Connection", "").lower()
        has_body = allows_body(method, status)
        is_unframed = (
            "Content-Length" not in headers
            and "Transfer-Encoding" not in headers
            and has_body
        )
        states_not_run = _NOT_RUN in headers or status == 421
        return AnswerHead(
            status=status,
            headers=_copy_headers(headers, _HOP_BY_HOP),
            request_id=headers.get(REQUEST_ID, ""),
            is_not_run=states_not_run and status in _STATUSES_NOT_RUN,
            is_contradictory=states_not_run and status not in _STATUSES_NOT_RUN,
            is_signed=_SIGNATURE in headers,
            is_encoded=headers.get("Content-Encoding", "identity") != "identity",
            closes_connection="close" in options or is_unframed,
            is_unframed=is_unframed,
            idle_timeout=_parse_idle_timeout(headers.get("Keep-Alive", "")),
            is_leaving=headers.get(_LEAVING, "") == "1",
            retry_after=_parse_retry_after(status, headers.get(RETRY_AFTER, "")),
            terms=_parse_terms(headers),
            cold_left=_parse_cold_left(headers.get(_COLD)),
            has_body=has_body,
            stated_length=_parse_stated_length(status, headers),
        )


def make_refusal_headers(request_id: str, retry_after: float | None) -> HTTPHeaders:
    """Return the headers of a response that the fleet generates itself.

    Parameters
    ----------
    request_id
        Id of the request; empty if it is unknown.
    retry_after
        Seconds after which the caller may retry; None to leave the header out.
    """
    headers = HTTPHeaders()
    if request_id:
        headers[REQUEST_ID] = request_id
    if retry_after is not None:
        headers[RETRY_AFTER] = f"{retry_after:.3f}"
    return headers


def _parse_caller_timeout(headers: HTTPHeaders) -> float | None:
    text = headers.get(_DEADLINE)
    if text is None:
        return None
    milliseconds = parse_decimal(text)
    if milliseconds is None:
        raise ValueError(f"{_DEADLINE} {text[:40]!r} is not a non-negative number")
    return milliseconds / 1000


def _parse_prompt_size(headers: HTTPHeaders) -> PromptSize | None:
    text = headers.get(_TOKEN_COUNTS)
    if text is None:
        return None
    prompt, _, output = text.partition(",")
    prompt_tokens = parse_count(prompt, MAX_TOKENS)
    parts = tuple(_parse_parts(headers.get(_PROMPT_PREFIX, ""), prompt_tokens))
    return PromptSize(prompt_tokens, parse_count(output, MAX_TOKENS), parts)


def _parse_parts(text: str, prompt_tokens: int) -> Iterator[PromptPart]:
    """Yield the parts of a prompt, as far as they lie within its length.

    Longer parts would count as a negative number of tokens that are still to be read.
    """
    remaining = prompt_tokens
    for entry in filter(None, text.split(",")):
        name, _, tokens = entry.strip().partition(":")
        length = parse_count(tokens, remaining)
        remaining -= length
        yield PromptPart(name, length)


def _parse_event_id(text: str) -> int:
    event_id = parse_count(text, MAX_EVENT_ID + 1)
    if event_id > MAX_EVENT_ID:
        raise ValueError(f"{_LAST_EVENT_ID} is larger than that of any event")
    return event_id


def _parse_stated_length(status: int, headers: HTTPHeaders) -> int | None:
    """Return the length that an answer without a body may state; None without one."""
    text = headers.get("Content-Length")
    if text is None or status == http.HTTPStatus.NO_CONTENT:
        return None
    try:
        length = parse_count(text, _MAX_STATED_LENGTH + 1)
    except ValueError:
        return None
    return length if length <= _MAX_STATED_LENGTH else None


def _parse_idle_timeout(text: str) -> float | None:
    for parameter in text.split(","):
        name, _, value = parameter.strip().partition("=")
        if name.lower() == "timeout":
            return parse_decimal(value)
    return None


def _parse_retry_after(status: int, text: str) -> float | None:
    """Return the seconds for which a busy target wants no requests, or None.

    A value that is no positive number counts as absent.
    """
    if status != http.HTTPStatus.SERVICE_UNAVAILABLE:
        return None
    seconds = _parse_number(RETRY_AFTER, text)
    if seconds is None or seconds == 0:
        return None
    return min(seconds, _MAX_RETRY_AFTER)


def _parse_cold_left(text: str | None) -> float | None:
    milliseconds = None if text is None else read_stated_number(_COLD, text)
    if milliseconds is None:
        return None
    return min(milliseconds / 1000, MAX_COLD_LEFT)


def _parse_terms(headers: HTTPHeaders) -> TargetTerms:
    rate = _parse_number(_RATE_LIMIT, headers.get(_RATE_LIMIT, ""))
    rejections = _parse_number(_REJECTION_LIMIT, headers.get(_REJECTION_LIMIT, ""))
    return TargetTerms(
        None if rate is None else min(rate, _MAX_PER_SECOND),
        None if rejections is None else math.floor(min(rejections, _MAX_PER_SECOND)),
    )


def _parse_number(name: str, text: str) -> float | None:
    """Return a number that a target states in a header; None without a valid one."""
    if not text:
        return None
    number = math.inf if text == _NO_LIMIT else parse_decimal(text)
    if number is None:
        logger.warning("invalid {} of a target: {!r}", name, text[:40])
    return number


def _copy_headers(headers: HTTPHeaders, excluded: frozenset[str]) -> HTTPHeaders:
    """Copy the end-to-end headers, without the excluded names."""
    dropped = excluded | _list_connection_headers(headers)
    copy = HTTPHeaders()
    for name in headers:
        if name.lower() not in dropped:
            _copy_values(headers, name, copy)
    return copy


def _list_connection_headers(headers: HTTPHeaders) -> frozenset[str]:
    """Return the headers that the Connection header names as hop-by-hop."""
    if "Connection" not in headers:
        return frozenset()
    options = headers["Connection"].lower().split(",")
    return frozenset(name.strip() for name in options) - _END_TO_END


def _copy_values(source: HTTPHeaders, name: str, copy: HTTPHeaders) -> None:
    """Copy the values of a header, which were validated when they were received."""
    values = source.get_list(name)
    copy[name] = values[0]
    for value in values[1:]:
        copy.add(name, value)

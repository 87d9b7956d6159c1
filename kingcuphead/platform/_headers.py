"""Names and formats of the headers of callers' requests and targets' answers."""

import math
from collections.abc import Iterator

from expression import Error, Ok, Result
from tornado.httputil import HTTPHeaders, RequestStartLine

from kingcuphead.forwarding import (
    AnswerHead,
    CallerRequest,
    PromptPart,
    PromptSize,
    SendOptions,
)

REQUEST_ID = "Attempt-Id"
RETRY_AFTER = "Retry-After"

_DEADLINE = "Deadline-Ms"
_KEY = "Api-Key"
_RESUME = "Last-Event-Id"
_SIZES = "Token-Counts"
_PARTS = "Prompt-Prefix"
_ORGANISATION = "Tenant"
_EXPECTED_TARGET = "Expect-Instance"
_RANK = "Request-Priority"
_COPY_FROM = "Kv-Fetch"
_SIGNATURE = "Response-Seal"
_NOT_RUN = "Not-Executed"
#: Targets take ranks from 0 to 9.
_LOWEST_RANK = 9

#: Headers that concern one connection only.
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
#: Headers that describe the request and are passed on whatever the caller lists in
#: its connection header.
_END_TO_END = frozenset(
    {REQUEST_ID.lower(), _SIZES.lower(), _PARTS.lower(), "host", "length-hint", "model"}
)
#: Headers that only this fleet may set on a request to a target.
_OWN = frozenset(
    {
        _KEY.lower(),
        _DEADLINE.lower(),
        _RESUME.lower(),
        _ORGANISATION.lower(),
        _EXPECTED_TARGET.lower(),
        _RANK.lower(),
        _COPY_FROM.lower(),
        "expect-version",
        "hold",
        "kv-backup",
        "kv-from",
        "pin-ms",
        "wait-ms",
    }
)


def decode_request(
    start_line: RequestStartLine, headers: HTTPHeaders, body: bytes, now: float
) -> Result[CallerRequest, str]:
    """Decode a caller's request, or say what is wrong with its headers."""
    request_id = headers.get(REQUEST_ID, "")
    if not request_id or "," in request_id:
        return Error(f"{REQUEST_ID} is missing or ambiguous")
    try:
        patience = _read_patience(headers)
        size = _read_size(headers)
        resume_after = int(headers.get(_RESUME) or 0)
    except ValueError as error:
        return Error(f"a header holds no number: {error}")
    return Ok(
        CallerRequest(
            request_id=request_id,
            method=start_line.method,
            uri=start_line.path,
            host=headers.get("Host", ""),
            headers=_copy_headers(headers, _OWN),
            body=body,
            key=headers.get(_KEY, ""),
            patience=patience,
            size=size,
            resume_after=resume_after,
            arrived_at=now,
        )
    )


class PlatformHeaders:
    """Encodes requests to targets and decodes the heads of their answers."""

    def encode_request(
        self, request: CallerRequest, options: SendOptions
    ) -> HTTPHeaders:
        """Return the headers of one attempt."""
        headers = request.headers.copy()
        headers[_EXPECTED_TARGET] = options.target
        headers[_DEADLINE] = str(max(1, math.floor(options.remaining * 1000)))
        if options.organisation:
            headers[_ORGANISATION] = options.organisation
        if options.resume_after:
            headers[_RESUME] = str(options.resume_after)
        if request.size is not None:
            headers[_RANK] = str(min(max(options.rank, 0), _LOWEST_RANK))
        if options.copy_from:
            headers[_COPY_FROM] = options.copy_from
        if request.body or request.method in ("POST", "PUT", "PATCH"):
            headers["Content-Length"] = str(len(request.body))
        return headers

    def decode_answer(
        self, status: int, headers: HTTPHeaders, method: str
    ) -> AnswerHead:
        """Return what the head of a target's answer says."""
        options = headers.get("Connection", "").lower()
        is_unframed = (
            "Content-Length" not in headers
            and "Transfer-Encoding" not in headers
            and method != "HEAD"
            and status not in (204, 304)
        )
        return AnswerHead(
            status=status,
            headers=_copy_headers(headers, frozenset()),
            request_id=headers.get(REQUEST_ID, ""),
            is_not_run=_NOT_RUN in headers or status == 421,
            is_signed=_SIGNATURE in headers,
            is_encoded=headers.get("Content-Encoding", "identity") != "identity",
            closes_connection="close" in options or is_unframed,
            is_unframed=is_unframed,
            idle_timeout=_read_idle_timeout(headers.get("Keep-Alive", "")),
        )


def make_refusal_headers(request_id: str, retry_after: float | None) -> HTTPHeaders:
    """Return the headers of an answer of this fleet's own."""
    headers = HTTPHeaders()
    if request_id:
        headers[REQUEST_ID] = request_id
    if retry_after is not None:
        headers[RETRY_AFTER] = f"{retry_after:.3f}"
    return headers


def _read_patience(headers: HTTPHeaders) -> float | None:
    text = headers.get(_DEADLINE)
    if text is None:
        return None
    milliseconds = float(text)
    if not math.isfinite(milliseconds) or milliseconds < 0:
        raise ValueError(f"{text!r} is no time")
    return milliseconds / 1000


def _read_size(headers: HTTPHeaders) -> PromptSize | None:
    text = headers.get(_SIZES)
    if text is None:
        return None
    prompt, _, output = text.partition(",")
    parts = tuple(_read_parts(headers.get(_PARTS, "")))
    return PromptSize(int(prompt), int(output), parts)


def _read_parts(text: str) -> Iterator[PromptPart]:
    for entry in filter(None, text.split(",")):
        name, _, tokens = entry.strip().partition(":")
        yield PromptPart(name, int(tokens))


def _read_idle_timeout(text: str) -> float | None:
    for parameter in text.split(","):
        name, _, value = parameter.strip().partition("=")
        if name.lower() == "timeout" and value.isdecimal():
            return float(value)
    return None


def _copy_headers(headers: HTTPHeaders, left_out: frozenset[str]) -> HTTPHeaders:
    """Copy the headers that concern both ends, not one connection."""
    listed = headers.get("Connection", "").lower().split(",")
    listed_names = {name.strip() for name in listed} - _END_TO_END
    hidden = _HOP_BY_HOP | left_out | listed_names
    copy = HTTPHeaders()
    for name, value in headers.get_all():
        if name.lower() not in hidden:
            copy.add(name, value)
    return copy

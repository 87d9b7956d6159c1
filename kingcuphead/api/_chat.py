"""Validation of chat requests, their maximum cost, and the body for the engine."""

import dataclasses
from collections.abc import Mapping
from typing import Any

import msgspec
from expression import Ok, Result

from kingcuphead.api._chat_fields import CHAT_FIELDS, FIELD_DECODERS, FieldUse
from kingcuphead.api._limits import ApiLimits
from kingcuphead.api._request_errors import refuse, refuse_field
from kingcuphead.records import Model
from kingcuphead.verdict import Outcome, Reason

_BODY_DECODER = msgspec.json.Decoder(dict[str, msgspec.Raw])
_DECODE_ERRORS = (msgspec.DecodeError, UnicodeDecodeError, RecursionError)
_TEXT_PART_TYPES = ("text", "refusal")


@dataclasses.dataclass(frozen=True, slots=True)
class ChatRequest:
    """A validated body of `POST /v1/chat/completions`."""

    #: Name of the requested model.
    model: str
    #: Number of messages; the chat template adds tokens to each.
    message_count: int
    #: Number of tools and functions; the chat template adds tokens to each.
    tool_count: int
    #: Size of the fields that the engine renders into its prompt, in UTF-8 bytes.
    prompt_bytes: int
    #: Whether the caller requested server-sent events instead of a single body.
    stream: bool
    #: Whether the caller requested the usage event at the end of the stream.
    include_usage: bool
    #: Caller's limit on output tokens; None if it set none.
    max_tokens: int | None
    #: Encoded fields for the engine: unchanged, except for re-encoded messages.
    passed: Mapping[str, msgspec.Raw]

    def encode_engine_body(self, *, max_tokens: int, priority: int) -> bytes:
        """Encode the request body for the engine.

        Parameters
        ----------
        max_tokens : int
            Limit on output tokens that the request's hold covers.
        priority : int
            Scheduling priority in the engine; lower values run first.
        """
        body: dict[str, object] = {
            **self.passed,
            "model": self.model,
            "max_tokens": max_tokens,
            "stream": True,
            "stream_options": {
                "include_usage": True,
                "continuous_usage_stats": True,
            },
            "priority": priority,
        }
        return msgspec.json.encode(body)


def parse_chat(
    body: bytes, headers: Mapping[str, str], limits: ApiLimits
) -> Outcome[ChatRequest]:
    """Parse and validate a chat request.

    Parameters
    ----------
    body : bytes
        Request body as received.
    headers : Mapping[str, str]
        Request headers; the mapping compares names case-insensitively.
    limits : ApiLimits
        Limits beyond which the request is refused.

    Returns
    -------
    Outcome[ChatRequest]
        The request, or a verdict that names the invalid field.
    """
    if len(body) > limits.max_body_bytes:
        return refuse(
            Reason.REQUEST_TOO_LARGE,
            f"the body has {len(body)} bytes, more than {limits.max_body_bytes}",
        )
    if headers.get("Content-Encoding", "identity") != "identity":
        return refuse(Reason.INVALID_REQUEST, "Content-Encoding is not supported")
    return (
        _split_fields(body)
        .bind(_decode_fields)
        .bind(lambda fields: _check_sizes(fields, limits))
        .bind(_check_messages)
        .bind(_check_options)
        .map(_build_request)
    )


def get_output_cap(request: ChatRequest, model: Model) -> int:
    """Return the limit on output tokens, from the request and the model."""
    if request.max_tokens is None:
        return model.max_output_tokens
    return min(request.max_tokens, model.max_output_tokens)


def bound_tokens(request: ChatRequest, model: Model) -> int:
    """Return an upper bound on a request's cost in tokens.

    A byte-level vocabulary never yields more tokens than bytes. The chat template
    adds `template_tokens` for each message and tool, and once before the answer.
    """
    wrapped_parts = request.message_count + request.tool_count + 1
    overhead = wrapped_parts * model.template_tokens
    return request.prompt_bytes + overhead + get_output_cap(request, model)


@dataclasses.dataclass(frozen=True, slots=True)
class _Fields:
    """The fields of a request body, encoded and decoded."""

    raw: Mapping[str, msgspec.Raw]
    values: Mapping[str, Any]


def _split_fields(body: bytes) -> Outcome[dict[str, msgspec.Raw]]:
    try:
        fields = _BODY_DECODER.decode(body)
    except _DECODE_ERRORS:
        return refuse_field("body", "not a JSON object")
    for name in fields:
        definition = CHAT_FIELDS.get(name)
        if definition is None:
            return refuse_field(_quote_field_name(name), "unknown field")
        if definition[0] is FieldUse.UNSUPPORTED:
            return refuse_field(name, "not supported")
    for name in ("model", "messages"):
        if name not in fields:
            return refuse_field(name, "required")
    return Ok(fields)


def _decode_fields(raw: dict[str, msgspec.Raw]) -> Outcome[_Fields]:
    values = {}
    for name, encoded in raw.items():
        try:
            values[name] = FIELD_DECODERS[name].decode(encoded)
        except msgspec.ValidationError as error:
            return refuse_field(name, str(error))
        except _DECODE_ERRORS:
            return refuse_field(name, "malformed JSON")
    return Ok(_Fields(raw, values))


def _check_sizes(fields: _Fields, limits: ApiLimits) -> Outcome[_Fields]:
    values = fields.values
    if not values["model"]:
        return refuse_field("model", "empty")
    if not values["messages"]:
        return refuse_field("messages", "empty")
    if len(values["messages"]) > limits.max_messages:
        return refuse_field("messages", f"more than {limits.max_messages}")
    if _count_tools(values) > limits.max_tools:
        return refuse_field("tools", f"more than {limits.max_tools}")
    return Ok(fields)


def _check_messages(fields: _Fields) -> Outcome[_Fields]:
    for number, message in enumerate(fields.values["messages"]):
        checked = _check_message(f"messages[{number}]", message)
        if checked.is_error():
            return Result.Error(checked.error)
    return Ok(fields)


def _check_message(path: str, message: Any) -> Outcome[None]:
    if not isinstance(message, dict):
        return refuse_field(path, "not an object")
    if not isinstance(message.get("role"), str):
        return refuse_field(f"{path}.role", "not a string")
    match message.get("content"):
        case None | str():
            return Ok(None)
        case list(parts):
            return _check_parts(f"{path}.content", parts)
        case _:
            return refuse_field(f"{path}.content", "neither a string nor a list")


def _check_parts(path: str, parts: list[Any]) -> Outcome[None]:
    """Refuse non-text content, such as images: its bytes don't bound its tokens."""
    for number, part in enumerate(parts):
        match part:
            case {"type": kind} if kind in _TEXT_PART_TYPES:
                continue
            case _:
                return refuse_field(f"{path}[{number}]", "only text is supported")
    return Ok(None)


def _check_options(fields: _Fields) -> Outcome[_Fields]:
    values = fields.values
    for name in ("max_tokens", "max_completion_tokens"):
        if values.get(name) is not None and values[name] < 1:
            return refuse_field(name, "less than 1")
    if values.get("n") not in (None, 1):
        return refuse_field("n", "only 1 is supported")
    options = values.get("stream_options") or {}
    if options and not values.get("stream"):
        return refuse_field("stream_options", "allowed only with stream")
    if not isinstance(options.get("include_usage", False), bool):
        return refuse_field("stream_options.include_usage", "not a boolean")
    unknown = sorted(options.keys() - {"include_usage", "include_obfuscation"})
    if unknown:
        return refuse_field(
            f"stream_options.{_quote_field_name(unknown[0])}", "unknown field"
        )
    return Ok(fields)


def _build_request(fields: _Fields) -> ChatRequest:
    values = fields.values
    caps = (values.get("max_tokens"), values.get("max_completion_tokens"))
    options = values.get("stream_options") or {}
    messages = msgspec.json.encode(values["messages"])
    passed = {
        name: encoded
        for name, encoded in fields.raw.items()
        if CHAT_FIELDS[name][0] is not FieldUse.REPLACED
    }
    return ChatRequest(
        model=values["model"],
        message_count=len(values["messages"]),
        tool_count=_count_tools(values),
        prompt_bytes=len(messages) + _count_prompt_bytes(values),
        stream=bool(values.get("stream")),
        include_usage=bool(options.get("include_usage")),
        max_tokens=min((cap for cap in caps if cap is not None), default=None),
        passed={**passed, "messages": msgspec.Raw(messages)},
    )


def _count_prompt_bytes(values: Mapping[str, Any]) -> int:
    return sum(
        len(msgspec.json.encode(value))
        for name, value in values.items()
        if CHAT_FIELDS[name][0] is FieldUse.PROMPT
    )


def _count_tools(values: Mapping[str, Any]) -> int:
    return len(values.get("tools") or ()) + len(values.get("functions") or ())


def _quote_field_name(name: str) -> str:
    """Return a caller's field name, quoted and truncated for log lines."""
    return repr(name[:64])

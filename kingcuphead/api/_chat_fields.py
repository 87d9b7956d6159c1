"""Top-level fields of the chat API: how each is handled, and its JSON type."""

import enum
from collections.abc import Mapping
from typing import Any, Literal

import msgspec


class FieldUse(enum.Enum):
    """How a field of a chat request is handled."""

    #: Decoded; the engine's body gets the daemon's own value instead, if any.
    REPLACED = enum.auto()
    #: Forwarded to the engine unchanged.
    PASSED = enum.auto()
    #: Forwarded unchanged, and counted as part of the prompt.
    PROMPT = enum.auto()
    #: Refused: part of the API, but its cost in tokens has no upper bound.
    UNSUPPORTED = enum.auto()


_NUMBER = float | None
_OBJECT = dict[str, Any] | None

#: Fields of `POST /v1/chat/completions`: handling and JSON type by name.
CHAT_FIELDS: Mapping[str, tuple[FieldUse, Any]] = {
    "model": (FieldUse.REPLACED, str),
    "messages": (FieldUse.REPLACED, list[Any]),
    "max_tokens": (FieldUse.REPLACED, int | None),
    "max_completion_tokens": (FieldUse.REPLACED, int | None),
    "n": (FieldUse.REPLACED, int | None),
    "stream": (FieldUse.REPLACED, bool | None),
    "stream_options": (FieldUse.REPLACED, _OBJECT),
    "tools": (FieldUse.PROMPT, list[dict[str, Any]] | None),
    "functions": (FieldUse.PROMPT, list[dict[str, Any]] | None),
    "response_format": (FieldUse.PROMPT, _OBJECT),
    "frequency_penalty": (FieldUse.PASSED, _NUMBER),
    "function_call": (FieldUse.PASSED, str | dict[str, Any] | None),
    "logit_bias": (FieldUse.PASSED, dict[str, float] | None),
    "logprobs": (FieldUse.PASSED, bool | None),
    "metadata": (FieldUse.PASSED, dict[str, str] | None),
    "modalities": (FieldUse.PASSED, list[Literal["text"]] | None),
    "parallel_tool_calls": (FieldUse.PASSED, bool | None),
    "presence_penalty": (FieldUse.PASSED, _NUMBER),
    "prompt_cache_key": (FieldUse.PASSED, str | None),
    "prompt_cache_retention": (FieldUse.PASSED, str | None),
    "reasoning_effort": (FieldUse.PASSED, str | None),
    "safety_identifier": (FieldUse.PASSED, str | None),
    "seed": (FieldUse.PASSED, int | None),
    "service_tier": (FieldUse.PASSED, str | None),
    "stop": (FieldUse.PASSED, str | list[str] | None),
    "store": (FieldUse.PASSED, bool | None),
    "temperature": (FieldUse.PASSED, _NUMBER),
    "tool_choice": (FieldUse.PASSED, str | dict[str, Any] | None),
    "top_logprobs": (FieldUse.PASSED, int | None),
    "top_p": (FieldUse.PASSED, _NUMBER),
    "user": (FieldUse.PASSED, str | None),
    "verbosity": (FieldUse.PASSED, str | None),
    "audio": (FieldUse.UNSUPPORTED, Any),
    "moderation": (FieldUse.UNSUPPORTED, Any),
    "prediction": (FieldUse.UNSUPPORTED, Any),
    "prompt_cache_options": (FieldUse.UNSUPPORTED, Any),
    "web_search_options": (FieldUse.UNSUPPORTED, Any),
}

#: Decoders of the field values by field name, built once.
FIELD_DECODERS: Mapping[str, msgspec.json.Decoder[Any]] = {
    name: msgspec.json.Decoder(kind) for name, (_, kind) in CHAT_FIELDS.items()
}

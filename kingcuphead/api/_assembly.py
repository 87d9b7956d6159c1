"""Assembly of a single response body from a streamed answer."""

from collections.abc import Iterable
from typing import Any

import msgspec
from expression import Error, Ok

from kingcuphead.verdict import Execution, Outcome, Reason, Verdict

#: Fields of a delta whose strings are concatenated.
_CONCATENATED_FIELDS = frozenset(
    {"content", "refusal", "reasoning_content", "arguments"}
)


def assemble_answer(payloads: Iterable[bytes]) -> Outcome[bytes]:
    """Build the `chat.completion` body for a caller that didn't request a stream.

    Parameters
    ----------
    payloads : Iterable[bytes]
        Data of every event of a complete answer, without `[DONE]`.

    Returns
    -------
    Outcome[bytes]
        The body, or a `TRUNCATED` verdict if an event doesn't conform to the API.
    """
    body: dict[str, Any] = {}
    try:
        for payload in payloads:
            _merge_event(body, msgspec.json.decode(payload, type=dict[str, Any]))
        choices = body.pop("choices")
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
        return _make_truncated_error("an event of the answer is malformed")
    except (KeyError, TypeError, AttributeError):
        return _make_truncated_error(
            "an event of the answer does not conform to the API"
        )
    body["object"] = "chat.completion"
    body["choices"] = [choices[index] for index in sorted(choices)]
    return Ok(msgspec.json.encode(body))


def _merge_event(body: dict[str, Any], event: dict[str, Any]) -> None:
    choices = body.setdefault("choices", {})
    for choice in event.pop("choices", ()):
        _merge_choice(choices, choice)
    body.update({key: value for key, value in event.items() if value is not None})


def _merge_choice(choices: dict[int, Any], choice: dict[str, Any]) -> None:
    accumulated = choices.setdefault(
        choice["index"],
        {
            "index": choice["index"],
            "message": {"role": "assistant", "content": None},
            "logprobs": None,
            "finish_reason": None,
        },
    )
    _merge_delta(accumulated["message"], choice.get("delta") or {})
    if choice.get("logprobs"):
        accumulated["logprobs"] = accumulated["logprobs"] or {}
        _merge_delta(accumulated["logprobs"], choice["logprobs"])
    accumulated["finish_reason"] = (
        choice.get("finish_reason") or accumulated["finish_reason"]
    )


def _merge_delta(accumulated: dict[str, Any], delta: dict[str, Any]) -> None:
    """Merge a delta into the accumulated object.

    Texts in `_CONCATENATED_FIELDS` are concatenated, lists extended, objects merged,
    and other values replaced.
    """
    for key, value in delta.items():
        match accumulated.get(key), value:
            case _, None:
                continue
            case str(text), str(part) if key in _CONCATENATED_FIELDS:
                accumulated[key] = text + part
            case list(items), list(parts) if key == "tool_calls":
                _merge_tool_calls(items, parts)
            case _, list(parts) if key == "tool_calls":
                accumulated[key] = []
                _merge_tool_calls(accumulated[key], parts)
            case list(items), list(parts):
                items.extend(parts)
            case dict(inner), dict(part):
                _merge_delta(inner, part)
            case _:
                accumulated[key] = value


def _merge_tool_calls(calls: list[Any], parts: list[Any]) -> None:
    by_index = dict(enumerate(calls))
    for part in parts:
        index = part.pop("index")
        if index not in by_index:
            by_index[index] = {}
            calls.append(by_index[index])
        _merge_delta(by_index[index], part)


def _make_truncated_error(detail: str) -> Outcome[bytes]:
    return Error(Verdict(Execution.MAY_HAVE_RUN, Reason.TRUNCATED, detail))

"""One unstreamed body assembled from a streamed answer."""

from collections.abc import Iterable
from typing import Any

import msgspec
from expression import Error, Ok

from kingcuphead.verdict import Execution, Outcome, Reason, Verdict

#: Fields of a delta whose strings are parts of a longer text.
_JOINED = frozenset({"content", "refusal", "reasoning_content", "arguments"})


def assemble_answer(payloads: Iterable[bytes]) -> Outcome[bytes]:
    """Build the `chat.completion` body of a caller that asked for no stream.

    Parameters
    ----------
    payloads : Iterable[bytes]
        Data of every event of a whole answer, `[DONE]` left out.

    Returns
    -------
    Outcome[bytes]
        The body, or `TRUNCATED` if an event isn't what the API allows.
    """
    body: dict[str, Any] = {}
    try:
        for payload in payloads:
            _add_event(body, msgspec.json.decode(payload, type=dict[str, Any]))
        choices = body.pop("choices")
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
        return _refuse("an event of the answer is malformed")
    except (KeyError, TypeError, AttributeError):
        return _refuse("an event of the answer lacks what the API prescribes")
    body["object"] = "chat.completion"
    body["choices"] = [choices[index] for index in sorted(choices)]
    return Ok(msgspec.json.encode(body))


def _add_event(body: dict[str, Any], event: dict[str, Any]) -> None:
    choices = body.setdefault("choices", {})
    for choice in event.pop("choices", ()):
        _add_choice(choices, choice)
    body.update({key: value for key, value in event.items() if value is not None})


def _add_choice(choices: dict[int, Any], choice: dict[str, Any]) -> None:
    known = choices.setdefault(
        choice["index"],
        {
            "index": choice["index"],
            "message": {"role": "assistant", "content": None},
            "logprobs": None,
            "finish_reason": None,
        },
    )
    _merge(known["message"], choice.get("delta") or {})
    if choice.get("logprobs"):
        known["logprobs"] = known["logprobs"] or {}
        _merge(known["logprobs"], choice["logprobs"])
    known["finish_reason"] = choice.get("finish_reason") or known["finish_reason"]


def _merge(known: dict[str, Any], delta: dict[str, Any]) -> None:
    """Add a delta to what is known: text is joined, lists grow, the rest is set."""
    for key, value in delta.items():
        match known.get(key), value:
            case _, None:
                continue
            case str(text), str(part) if key in _JOINED:
                known[key] = text + part
            case list(items), list(parts) if key == "tool_calls":
                _merge_tool_calls(items, parts)
            case _, list(parts) if key == "tool_calls":
                known[key] = []
                _merge_tool_calls(known[key], parts)
            case list(items), list(parts):
                items.extend(parts)
            case dict(inner), dict(part):
                _merge(inner, part)
            case _:
                known[key] = value


def _merge_tool_calls(calls: list[Any], parts: list[Any]) -> None:
    by_index = dict(enumerate(calls))
    for part in parts:
        index = part.pop("index")
        if index not in by_index:
            by_index[index] = {}
            calls.append(by_index[index])
        _merge(by_index[index], part)


def _refuse(detail: str) -> Outcome[bytes]:
    return Error(Verdict(Execution.MAY_HAVE_RUN, Reason.TRUNCATED, detail))

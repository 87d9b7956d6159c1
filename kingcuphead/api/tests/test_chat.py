import json

import pytest

from kingcuphead.api import ApiLimits, bound_tokens, get_output_cap, parse_chat
from kingcuphead.records import Model
from kingcuphead.verdict import Execution, Reason

LIMITS = ApiLimits(max_body_bytes=100_000, max_messages=3, max_tools=1)
MESSAGES = [{"role": "user", "content": "Preveri načrt"}]
MODEL = Model("frame", ("1",), max_output_tokens=100, template_tokens=10)


def encode(**changes):
    fields = {"model": "frame", "messages": MESSAGES, **changes}
    return json.dumps({k: v for k, v in fields.items() if v is not ...}).encode()


def parse(body, headers=None):
    return parse_chat(body, headers or {}, LIMITS)


class TestRefusedChat:
    @pytest.mark.parametrize(
        ("body", "fragment"),
        [
            (b"", "body"),
            (b"{", "body"),
            (b"[]", "body"),
            (b'{"model": "\xff"}', "messages"),
            (b"[" * 90_000, "body"),
            (b'{"model": NaN}', "body"),
            (b'{"model":"a","messages":' + b"[" * 90_000, "body"),
            (b'{"model":"\\ud800","messages":[]}', "body"),
            (encode(model=...), "model: required"),
            (encode(messages=...), "messages: required"),
            (encode(model=""), "model: empty"),
            (encode(model=3), "model: Expected `str`"),
            (encode(messages=[]), "messages: empty"),
            (encode(messages={}), "messages: Expected `array`"),
            (encode(messages=MESSAGES * 4), "messages: more than 3"),
            (encode(messages=["hello"]), "messages[0]: not an object"),
            (encode(messages=[{"content": "x"}]), "messages[0].role"),
            (encode(messages=[{"role": "user", "content": 3}]), "messages[0].content"),
            (
                encode(messages=[{"role": "user", "content": [{"type": "image_url"}]}]),
                "messages[0].content[0]: only text",
            ),
            (encode(tools=[{}, {}]), "tools: more than 1"),
            (encode(max_tokens=0), "max_tokens: less than 1"),
            (encode(max_tokens=True), "max_tokens: Expected `int"),
            (encode(max_tokens=1.5), "max_tokens: Expected `int"),
            (encode(max_completion_tokens=-1), "max_completion_tokens: less than 1"),
            (encode(n=2), "n: only 1"),
            (encode(stream="yes"), "stream: Expected `bool"),
            (encode(stream_options={"include_usage": True}), "stream_options: allowed"),
            (
                encode(stream=True, stream_options={"include_usage": 1}),
                "stream_options.include_usage",
            ),
            (
                encode(stream=True, stream_options={"x": 1}),
                "stream_options.'x': unknown",
            ),
            (encode(temperature="hot"), "temperature: Expected `float"),
            (encode(prediction={}), "prediction: not supported"),
            (encode(priority=0), "'priority': unknown field"),
        ],
    )
    def test_refusal_names_the_invalid_field(self, body, fragment):
        verdict = parse(body).error
        assert (verdict.execution, verdict.reason) == (
            Execution.NOT_RUN,
            Reason.INVALID_REQUEST,
        )
        assert fragment in verdict.detail

    def test_oversized_body(self):
        assert parse(b" " * 100_001).error.reason is Reason.REQUEST_TOO_LARGE

    def test_compressed_body(self):
        verdict = parse(encode(), {"Content-Encoding": "gzip"}).error
        assert verdict.reason is Reason.INVALID_REQUEST

    def test_verdict_contains_no_prompt_text(self):
        body = encode(messages=[{"role": "user", "content": {"secret": "words"}}])
        assert "secret" not in parse(body).error.detail


class TestChatRequest:
    @pytest.mark.parametrize(
        ("fields", "requested", "cap"),
        [
            ({}, None, 100),
            ({"max_tokens": None}, None, 100),
            ({"max_tokens": 7}, 7, 7),
            ({"max_completion_tokens": 7}, 7, 7),
            ({"max_tokens": 9, "max_completion_tokens": 7}, 7, 7),
            ({"max_tokens": 1000}, 1000, 100),
        ],
    )
    def test_output_cap(self, fields, requested, cap):
        request = parse(encode(**fields)).ok
        assert (request.max_tokens, get_output_cap(request, MODEL)) == (requested, cap)

    @pytest.mark.parametrize(
        "fields",
        [
            {},
            {"tools": [{"type": "function", "function": {"name": "f"}}]},
            {"response_format": {"type": "json_object"}},
            {"messages": [{"role": "user", "content": "\u010d" * 50}]},
        ],
    )
    def test_bound_covers_every_byte_of_the_prompt(self, fields):
        request = parse(encode(**fields)).ok
        texts = {"messages": MESSAGES, **fields}
        sizes = sum(
            len(json.dumps(value, ensure_ascii=False, separators=(",", ":")).encode())
            for value in texts.values()
        )
        wrapped_parts = 2 + len(fields.get("tools", ()))
        assert bound_tokens(request, MODEL) == sizes + wrapped_parts * 10 + 100

    def test_escapes_do_not_raise_the_bound(self):
        escaped = encode(messages=[{"role": "user", "content": "\u010d" * 50}])
        plain = escaped.decode("unicode_escape").encode()
        assert parse(escaped).ok.prompt_bytes == parse(plain).ok.prompt_bytes

    def test_engine_body(self):
        request = parse(
            encode(temperature=0.5, max_completion_tokens=9, stream=False)
        ).ok
        body = json.loads(request.encode_engine_body(max_tokens=9, priority=2))
        assert body == {
            "model": "frame",
            "messages": MESSAGES,
            "temperature": 0.5,
            "max_tokens": 9,
            "stream": True,
            "stream_options": {"include_usage": True, "continuous_usage_stats": True},
            "priority": 2,
        }

    def test_last_of_repeated_fields_is_used_and_forwarded_once(self):
        body = b'{"model":"a","model":"b","max_tokens":9,"max_tokens":2,"messages":' + (
            json.dumps(MESSAGES).encode() + b"}"
        )
        request = parse(body).ok
        assert (request.model, request.max_tokens) == ("b", 2)
        assert request.encode_engine_body(max_tokens=2, priority=0).count(b"model") == 1

    @pytest.mark.parametrize(
        ("fields", "stream", "include_usage"),
        [
            ({}, False, False),
            ({"stream": True}, True, False),
            ({"stream": True, "stream_options": {"include_usage": True}}, True, True),
            ({"stream": True, "stream_options": None}, True, False),
        ],
    )
    def test_stream_options(self, fields, stream, include_usage):
        request = parse(encode(**fields)).ok
        assert (request.stream, request.include_usage) == (stream, include_usage)

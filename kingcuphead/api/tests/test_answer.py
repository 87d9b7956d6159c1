import json

import pytest
from hypothesis import given, strategies as st

from kingcuphead.api import AnswerStream, Usage, assemble_answer, iterate_payloads
from kingcuphead.api._answer import MAX_EVENT_BYTES, MAX_TAIL_BYTES
from kingcuphead.verdict import Execution, Reason


def event(text=None, finish=None, used=None, **more):
    body = {
        "id": "a",
        "object": "chat.completion.chunk",
        "choices": [{"index": 0, "delta": {"content": text}, "finish_reason": finish}],
        **more,
    }
    if used is not None:
        body["usage"] = {"prompt_tokens": 5, "completion_tokens": used}
    return b"data: " + json.dumps(body).encode() + b"\n\n"


TEXT = [event("Da", used=1), event(' "finish_reason": "stop" [DONE]\n', used=2)]
FINISH = event("", "stop", used=2)
USAGE = event(used=2, choices=[])
DONE = b"data: [DONE]\n\n"
WHOLE = b"".join([*TEXT, FINISH, USAGE, DONE])


def run(chunks, include_usage=True):
    stream = AnswerStream(include_usage=include_usage)
    return stream, b"".join(stream.feed(chunk) for chunk in chunks)


class TestAnswerStream:
    @given(st.lists(st.integers(0, len(WHOLE)), max_size=8))
    def test_splits_anywhere(self, cuts):
        edges = [0, *sorted(cuts), len(WHOLE)]
        chunks = [WHOLE[a:b] for a, b in zip(edges, edges[1:], strict=False)]
        stream, passed = run(chunks)
        assert passed == b"".join(TEXT)
        end = stream.finish().ok
        assert end.tail == FINISH + USAGE + DONE
        assert (end.usage, end.finish_reason) == (Usage(5, 2), "stop")

    def test_caller_without_usage_gets_no_event_without_choices(self):
        stream, _ = run([WHOLE], include_usage=False)
        assert stream.finish().ok.tail == FINISH + DONE

    def test_line_ends_of_two_bytes(self):
        stream, passed = run([bytes([b]) for b in WHOLE.replace(b"\n", b"\r\n")])
        assert passed == b"".join(TEXT)
        assert stream.finish().is_ok()

    @pytest.mark.parametrize(
        ("chunks", "words"),
        [
            ([], "finish reason"),
            (TEXT, "finish reason"),
            ([*TEXT, DONE], "finish reason"),
            ([*TEXT, FINISH], "[DONE]"),
            ([*TEXT, FINISH, USAGE, DONE[:-1]], "[DONE]"),
            ([event("a", "stop"), DONE], "usage"),
            ([*TEXT, b'data: {"error": {"message": "no"}}\n\n', DONE], "error"),
            ([*TEXT, b"data: {nonsense\n\n", FINISH, USAGE, DONE], "malformed"),
            ([b"x" * (MAX_EVENT_BYTES + 1)], "larger"),
            ([FINISH, *[event("x" * 1000)] * (MAX_TAIL_BYTES // 1000)], "allowed"),
        ],
    )
    def test_incomplete_answer_may_have_run(self, chunks, words):
        stream, _ = run(chunks)
        verdict = stream.finish().error
        assert (verdict.execution, verdict.reason) == (
            Execution.MAY_HAVE_RUN,
            Reason.TRUNCATED,
        )
        assert words in verdict.detail

    def test_an_engines_error_event_is_not_passed_on(self):
        _, passed = run([*TEXT, b'data: {"error": {"message": "no"}}\n\n', FINISH])
        assert passed == b"".join(TEXT)

    def test_usage_on_demand(self):
        stream, _ = run([])
        assert stream.read_usage() is None
        stream.feed(b"".join(TEXT))
        assert stream.read_usage() == Usage(5, 2)

    def test_comments_pass(self):
        _, passed = run([b": alive\n\n" + TEXT[0]])
        assert passed == b": alive\n\n" + TEXT[0]


class TestAssembledAnswer:
    def test_text(self):
        payloads = [p for p in iterate_payloads(WHOLE) if p != b"[DONE]"]
        body = json.loads(assemble_answer(payloads).ok)
        assert body["object"] == "chat.completion"
        assert body["usage"] == {"prompt_tokens": 5, "completion_tokens": 2}
        (choice,) = body["choices"]
        assert choice["message"]["content"] == 'Da "finish_reason": "stop" [DONE]\n'
        assert choice["finish_reason"] == "stop"

    def test_tool_calls(self):
        def delta(**call):
            choice = {"index": 0, "delta": {"tool_calls": [{"index": 0, **call}]}}
            return json.dumps({"choices": [choice]}).encode()

        parts = [
            delta(id="c1", type="function", function={"name": "f", "arguments": '{"a'}),
            delta(function={"arguments": '": 1}'}),
        ]
        body = json.loads(assemble_answer(parts).ok)
        assert body["choices"][0]["message"]["tool_calls"] == [
            {
                "id": "c1",
                "type": "function",
                "function": {"name": "f", "arguments": '{"a": 1}'},
            }
        ]

    @pytest.mark.parametrize("payload", [b"{", b"{}", b'{"choices": [3]}', b"\xff"])
    def test_refuses_what_the_api_does_not_allow(self, payload):
        assembled = assemble_answer([payload])
        if assembled.is_ok():
            assert json.loads(assembled.ok)["choices"] == []
        else:
            assert assembled.error.reason is Reason.TRUNCATED

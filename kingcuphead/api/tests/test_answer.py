import json

import pytest
from hypothesis import given, strategies as st

from kingcuphead.api import AnswerStream, Usage, assemble_answer, iterate_payloads
from kingcuphead.api._answer import MAX_EVENT_BYTES, MAX_TAIL_BYTES
from kingcuphead.verdict import Execution, Reason


def make_event(text=None, finish_reason=None, completion_tokens=None, **fields):
    body = {
        "id": "a",
        "object": "chat.completion.chunk",
        "choices": [
            {"index": 0, "delta": {"content": text}, "finish_reason": finish_reason}
        ],
        **fields,
    }
    if completion_tokens is not None:
        body["usage"] = {"prompt_tokens": 5, "completion_tokens": completion_tokens}
    return b"data: " + json.dumps(body).encode() + b"\n\n"


TEXT = [
    make_event("Da", completion_tokens=1),
    make_event(' "finish_reason": "stop" [DONE]\n', completion_tokens=2),
]
FINISH = make_event("", "stop", completion_tokens=2)
USAGE = make_event(completion_tokens=2, choices=[])
DONE = b"data: [DONE]\n\n"
COMPLETE_ANSWER = b"".join([*TEXT, FINISH, USAGE, DONE])


def feed_chunks(chunks, include_usage=True):
    stream = AnswerStream(include_usage=include_usage)
    return stream, b"".join(stream.feed(chunk) for chunk in chunks)


class TestAnswerStream:
    @given(st.lists(st.integers(0, len(COMPLETE_ANSWER)), max_size=8))
    def test_result_is_independent_of_chunk_boundaries(self, cuts):
        edges = [0, *sorted(cuts), len(COMPLETE_ANSWER)]
        chunks = [COMPLETE_ANSWER[a:b] for a, b in zip(edges, edges[1:], strict=False)]
        stream, forwarded = feed_chunks(chunks)
        assert forwarded == b"".join(TEXT)
        end = stream.finish().ok
        assert end.tail == FINISH + USAGE + DONE
        assert (end.usage, end.finish_reason) == (Usage(5, 2), "stop")

    def test_usage_event_is_dropped_unless_requested(self):
        stream, _ = feed_chunks([COMPLETE_ANSWER], include_usage=False)
        assert stream.finish().ok.tail == FINISH + DONE

    def test_crlf_line_ends(self):
        stream, forwarded = feed_chunks(
            [bytes([b]) for b in COMPLETE_ANSWER.replace(b"\n", b"\r\n")]
        )
        assert forwarded == b"".join(TEXT)
        assert stream.finish().is_ok()

    @pytest.mark.parametrize(
        ("chunks", "fragment"),
        [
            ([], "finish reason"),
            (TEXT, "finish reason"),
            ([*TEXT, DONE], "finish reason"),
            ([*TEXT, FINISH], "[DONE]"),
            ([*TEXT, FINISH, USAGE, DONE[:-1]], "[DONE]"),
            ([make_event("a", "stop"), DONE], "usage"),
            ([*TEXT, b'data: {"error": {"message": "no"}}\n\n', DONE], "error"),
            ([*TEXT, b"data: {nonsense\n\n", FINISH, USAGE, DONE], "malformed"),
            ([b"x" * (MAX_EVENT_BYTES + 1)], "larger"),
            ([FINISH, *[make_event("x" * 1000)] * (MAX_TAIL_BYTES // 1000)], "allowed"),
        ],
    )
    def test_incomplete_answer_may_have_run(self, chunks, fragment):
        stream, _ = feed_chunks(chunks)
        verdict = stream.finish().error
        assert (verdict.execution, verdict.reason) == (
            Execution.MAY_HAVE_RUN,
            Reason.TRUNCATED,
        )
        assert fragment in verdict.detail

    def test_error_event_of_the_engine_is_not_forwarded(self):
        _, forwarded = feed_chunks(
            [*TEXT, b'data: {"error": {"message": "no"}}\n\n', FINISH]
        )
        assert forwarded == b"".join(TEXT)

    def test_usage_before_the_end_of_the_stream(self):
        stream, _ = feed_chunks([])
        assert stream.read_usage() is None
        stream.feed(b"".join(TEXT))
        assert stream.read_usage() == Usage(5, 2)

    def test_comments_are_forwarded(self):
        _, forwarded = feed_chunks([b": alive\n\n" + TEXT[0]])
        assert forwarded == b": alive\n\n" + TEXT[0]

    @pytest.mark.parametrize(
        "block",
        [
            b"no engine\n\n",
            b"HTTP/1.1 500 Error\r\nContent-Length: 2\r\n\r\nno",
            TEXT[0][:-2] + b"HTTP/1.1 500 Error\r\nContent-Length: 2\r\n\r\nno",
            TEXT[0][:-2] + b"HTTP/1.1 500 Error\r\n\r\n",
            TEXT[0][:-1] + b"HTTP/1.1 500 Error\n\n",
        ],
    )
    def test_an_error_within_the_text_is_not_forwarded(self, block):
        """Guards against text of an error, or its head, in a caller's stream."""
        stream, forwarded = feed_chunks([*TEXT, block, FINISH, USAGE, DONE])
        assert forwarded == b"".join(TEXT)
        assert stream.finish().is_error()


class TestAssembledAnswer:
    def test_text(self):
        payloads = [p for p in iterate_payloads(COMPLETE_ANSWER) if p != b"[DONE]"]
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
    def test_nonconforming_event_is_refused(self, payload):
        assembled = assemble_answer([payload])
        if assembled.is_ok():
            assert json.loads(assembled.ok)["choices"] == []
        else:
            assert assembled.error.reason is Reason.TRUNCATED

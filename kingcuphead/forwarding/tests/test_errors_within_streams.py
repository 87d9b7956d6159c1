import asyncio

import pytest

from kingcuphead.forwarding import PromptSize
from kingcuphead.forwarding.tests._harness import (
    STREAM,
    RecordingCaller,
    make_request,
    make_route,
    run,
)
from kingcuphead.forwarding.tests._target import ScriptedTarget
from kingcuphead.resumption import BegunStream

EVENT_STREAM = "Content-Type: text/event-stream"
NOT_EXECUTED = "Not-Executed: 1"
TEXT = b"no engine\n\nsorry\r\n\r\n"
ERROR_EVENT = b"data: error\n\n"
#: Head of an answer, as a target may write it in the middle of another one.
HEAD = b"HTTP/1.1 500 Error\r\nAttempt-Id: @id\r\nContent-Length: 5\r\n\r\n"
FRAMINGS = ("length", "chunks", "close")


def make_events(*event_ids):
    return b"".join(f"id: {n}\ndata: x{n}\n\n".encode() for n in event_ids)


def make_answer(status, body, framing, *headers):
    """Return the steps of an answer whose end is marked by its framing."""
    lines = [f"HTTP/1.1 {status}", "Attempt-Id: @id", "Response-Seal: s", *headers]
    end = []
    match framing:
        case "length":
            lines.append(f"Content-Length: {len(body)}")
        case "chunks":
            lines.append("Transfer-Encoding: chunked")
            body = (b"%x\r\n%b\r\n" % (len(body), body) if body else b"") + b"0\r\n\r\n"
        case "close":
            end = [ScriptedTarget.CLOSE]
    return ["\r\n".join(lines).encode() + b"\r\n\r\n" + body, *end]


def with_framings(*answers):
    """Return each answer in each framing, as parameters with readable names."""
    return [
        pytest.param(status, body, framing, headers, id=f"{name}, {framing}")
        for name, status, body, headers in answers
        for framing in FRAMINGS
    ]


ERRORS = with_framings(
    ("500", "500 Error", TEXT, ()),
    ("404", "404 Not Found", TEXT, ()),
    ("503 not run", "503 Busy", TEXT, (NOT_EXECUTED,)),
    ("503", "503 Busy", TEXT, ()),
    ("429 not run", "429 Busy", TEXT, (NOT_EXECUTED,)),
    ("429", "429 Busy", TEXT, ()),
    ("500 as a stream", "500 Error", make_events(3), (EVENT_STREAM,)),
    ("500 without a body", "500 Error", b"", ()),
)
#: Successes that bring no event of the stream.
NO_EVENTS = with_framings(
    ("text", "200 OK", TEXT, ("Content-Type: text/plain",)),
    ("text without a type", "200 OK", TEXT, ()),
    ("text as a stream", "200 OK", TEXT, (EVENT_STREAM,)),
    ("no id", "200 OK", ERROR_EVENT, (EVENT_STREAM,)),
    ("no id, ahead", "200 OK", ERROR_EVENT + make_events(3), (EVENT_STREAM,)),
    ("error type", "200 OK", b"event: error\nid: 3\n\n", (EVENT_STREAM,)),
)
NO_STREAMS = with_framings(
    ("other type", "200 OK", make_events(3), ("Content-Type: text/plain",)),
    ("other type, empty", "200 OK", b"", ("Content-Type: text/plain",)),
    ("other status", "202 Accepted", make_events(3), (EVENT_STREAM,)),
)
NO_CONTENT = pytest.param("204 No Content", b"", "none", (), id="204")
#: Ends of a stream without a further event.
EMPTY_STREAMS = with_framings(
    ("empty", "200 OK", b"", (EVENT_STREAM,)),
    ("comment", "200 OK", b": sorry\n\n", (EVENT_STREAM,)),
)


class TestAnswersThatFollowABrokenStream:
    """Guards against an error that is joined to a stream, or ends it as complete."""

    @pytest.mark.parametrize(
        ("status", "body", "framing", "headers"),
        [*ERRORS, *NO_EVENTS, *NO_STREAMS, NO_CONTENT, *EMPTY_STREAMS],
    )
    def test_the_stream_is_aborted(self, status, body, framing, headers):
        async def scenario(harness):
            steps = harness.first.stream([1, 2], is_complete=False)
            harness.first.script = [[*steps, 0.02, ScriptedTarget.RESET]]
            harness.second.script = [make_answer(status, body, framing, *headers)]
            caller, refusal = await harness.serve(make_request(STREAM))
            assert caller.body == make_events(1, 2)
            assert (caller.end, refusal) == ("aborted", None)
            assert harness.second.received

        run([make_route(STREAM, resumable=True)], scenario)

    @pytest.mark.parametrize("body", [ERROR_EVENT, HEAD + TEXT])
    def test_an_error_in_place_of_the_first_event_is_retried(self, body):
        async def scenario(harness):
            harness.first.script = [make_answer("200 OK", body, "chunks", EVENT_STREAM)]
            harness.second.script = [harness.second.stream([1, 2])]
            caller, _ = await harness.serve(make_request(STREAM))
            assert (caller.body, caller.end) == (make_events(1, 2), "finished")

        run([make_route(STREAM, resumable=True)], scenario)


class TestBytesWithinAStream:
    """Guards against bytes within one answer that are no event of its stream."""

    @pytest.mark.parametrize(
        "block",
        [
            HEAD + TEXT,
            b"id: 3\nda" + HEAD,
            b"id: 3\ndata: x" + HEAD,
            b"id: 3\ndata: x" + HEAD.lower(),
            b"id: 3\nHTTP/1.1 500 Error\n\n",
            b"id: 3\nno engine\n\n",
            b"id: 3\nevent: error\n\n",
            ERROR_EVENT,
            b"event: error\n\n",
            b"id: x\ndata: x\n\n",
            TEXT,
        ],
    )
    @pytest.mark.parametrize("framing", FRAMINGS)
    def test_the_stream_is_aborted(self, block, framing):
        async def scenario(harness):
            body = make_events(1, 2) + block
            answer = make_answer("200 OK", body, framing, EVENT_STREAM)
            harness.first.script = [answer]
            caller, refusal = await harness.serve(make_request(STREAM))
            assert caller.body == make_events(1, 2)
            assert (caller.end, refusal) == ("aborted", None)

        run([make_route(STREAM)], scenario)

    @pytest.mark.parametrize(
        "event",
        [
            b"weight-versions: 3\nid: 3\ndata: x\n\n",
            b'id: 3\ndata: {"text": "HTTP/1.1 500 Error"}\n\n',
            b"id: 3\r\ndata: HTTP/1.1 500 Error\r\ndata: Attempt-Id: r2\r\n\r\n",
            b"event: token\nid: 3\ndata\n\n",
            b": beat\n\nid: 3\n: beat\ndata: x\n\n\n: beat\n\n",
        ],
    )
    def test_unusual_events_are_sent_unchanged(self, event):
        async def scenario(harness):
            body = make_events(1, 2) + event
            answer = make_answer("200 OK", body, "chunks", EVENT_STREAM)
            harness.first.script = [answer]
            caller, _ = await harness.serve(make_request(STREAM))
            assert (caller.body, caller.end) == (body, "finished")

        run([make_route(STREAM)], scenario)


class TestComments:
    SIZE = PromptSize(100, 50, ())
    COMMENT = b": beat\n\n"

    def test_they_do_not_begin_a_stream(self):
        """Guards against a head of a target that sends no event after it."""

        async def scenario(harness):
            answer = make_answer("200 OK", self.COMMENT, "chunks", EVENT_STREAM)
            harness.first.script = [[answer[0][:-5], 0.02, ScriptedTarget.RESET]]
            harness.second.script = [make_answer("404 No", TEXT, "length")]
            caller, _ = await harness.serve(make_request(STREAM))
            assert (caller.status, caller.body) == (404, TEXT)

        run([make_route(STREAM, resumable=True)], scenario)

    def test_they_are_not_charged(self):
        async def scenario(harness):
            await asyncio.sleep(0.1)
            body = self.COMMENT + make_events(1) + self.COMMENT
            answer = make_answer("200 OK", body, "chunks", EVENT_STREAM)
            harness.first.script = [answer]
            caller, _ = await harness.serve(make_request(STREAM, self.SIZE))
            assert (caller.body, caller.end) == (body, "finished")
            assert harness.ledger.get_organisation("atelier").account.spent == 101

        run([make_route(STREAM)], scenario, prepaid=100_000)

    def test_endless_ones_are_not_kept(self):
        async def scenario(harness):
            body = self.COMMENT * 200_000
            answer = make_answer("200 OK", body, "chunks", EVENT_STREAM)
            harness.first.script = [answer]
            caller, refusal = await harness.serve(make_request(STREAM))
            assert (caller.status, refusal.status) == (0, 502)

        run([make_route(STREAM)], scenario)


class TestStreamThatACallerTakesUp:
    """Guards against first bytes that the caller would join to what it has."""

    @pytest.mark.parametrize(
        ("status", "body", "framing", "headers"),
        [*ERRORS, *NO_EVENTS, *NO_STREAMS, NO_CONTENT],
    )
    def test_it_gets_no_success_without_the_next_event(
        self, status, body, framing, headers
    ):
        async def scenario(harness):
            harness.resumption.record_start(BegunStream("r0", "pool", "v1"))
            for target in (harness.first, harness.second):
                target.script = [make_answer(status, body, framing, *headers)]
            request = make_request(STREAM, resumed_id="r0", resume_after=2)
            caller, refusal = await harness.serve(request)
            assert harness.first.received
            if refusal is None:
                assert (caller.status, caller.end) == (int(status[:3]), "finished")
                assert caller.status >= 400
            else:
                assert (caller.status, caller.body) == (0, b"")
                assert refusal.status in (502, 503)

        run([make_route(STREAM, resumable=True)], scenario)

    def test_it_gets_the_end_of_a_stream_that_has_no_more_events(self):
        """The connection may break between the last event and the end."""

        async def scenario(harness):
            harness.resumption.record_start(BegunStream("r0", "pool", "v1"))
            harness.first.script = [make_answer("200 OK", b"", "chunks", EVENT_STREAM)]
            request = make_request(STREAM, resumed_id="r0", resume_after=2)
            caller, _ = await harness.serve(request)
            assert (caller.status, caller.body, caller.end) == (200, b"", "finished")

        run([make_route(STREAM, resumable=True)], scenario)


class TestEndsOfAStreamThatHasBegun:
    """Guards against a refusal after the first event, whatever ends the stream."""

    def quarantine(self, harness, caller):
        harness.quarantine.get_remaining = lambda identity: 5.0

    def end_for_memory(self, harness, caller):
        caller.reservation.end()

    def reach_deadline(self, harness, caller):
        pass

    @pytest.mark.parametrize(
        ("end", "steps"),
        [
            ("quarantine", [0.1, ScriptedTarget.RESET]),
            ("end_for_memory", [2.0]),
            ("reach_deadline", [2.0]),
        ],
    )
    def test_it_is_aborted(self, end, steps):
        async def scenario(harness):
            harness.first.script = [
                [*harness.first.stream([1, 2], is_complete=False), *steps]
            ]
            caller = RecordingCaller(harness.memory)
            request = make_request(STREAM)
            serving = asyncio.create_task(harness.forwarder.serve(request, caller))
            while caller.body != make_events(1, 2):
                await asyncio.sleep(0.005)
            getattr(self, end)(harness, caller)
            assert await serving is None
            assert (caller.body, caller.end) == (make_events(1, 2), "aborted")
            assert not harness.second.received

        run([make_route(STREAM, resumable=True, timeout=0.6)], scenario)

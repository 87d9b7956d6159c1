import asyncio

import pytest

from kingcuphead.forwarding import (
    PromptSize,
)
from kingcuphead.forwarding._events import (
    MAX_EVENT_BYTES,
    EventKind,
    EventSplitter,
)
from kingcuphead.forwarding.tests._harness import (
    STREAM,
    RecordingCaller,
    make_request,
    make_route,
    run,
)
from kingcuphead.forwarding.tests._target import ScriptedTarget
from kingcuphead.verdict import Reason


class TestStreams:
    def events(self, event_ids):
        return b"".join(f"id: {n}\ndata: x{n}\n\n".encode() for n in event_ids)

    def test_a_stream_is_sent_to_the_caller_completely(self):
        async def scenario(harness):
            harness.first.script = [harness.first.stream([1, 2, 3])]
            caller, _ = await harness.serve(make_request(STREAM))
            assert (caller.body, caller.end) == (self.events([1, 2, 3]), "finished")

        run([make_route(STREAM)], scenario)

    def test_a_broken_stream_resumes_after_its_last_complete_event(self):
        async def scenario(harness):
            half = b"5\r\nid: 3\r\n"
            steps = [*harness.first.stream([1, 2], is_complete=False), half]
            harness.first.script = [[*steps, 0.05, ScriptedTarget.RESET]]
            harness.second.script = [harness.second.stream([3, 4])]
            caller, _ = await harness.serve(make_request(STREAM))
            assert (caller.body, caller.end) == (self.events([1, 2, 3, 4]), "finished")
            assert harness.second.received[0].get_header("Last-Event-Id") == "2"

        run([make_route(STREAM, resumable=True)], scenario)

    @pytest.mark.parametrize("event_ids", [[1, 3], [1, 1], [2]])
    def test_events_out_of_sequence_are_not_sent(self, event_ids):
        async def scenario(harness):
            harness.first.script = [harness.first.stream(event_ids)]
            caller, refusal = await harness.serve(make_request(STREAM))
            assert caller.end == "aborted" or refusal.status == 502
            assert caller.body in (b"", self.events([1]))

        run([make_route(STREAM)], scenario)

    def test_a_broken_stream_is_aborted_if_its_route_is_not_resumable(self):
        async def scenario(harness):
            steps = harness.first.stream([1], is_complete=False)
            harness.first.script = [[*steps, 0.05, ScriptedTarget.RESET]]
            caller, refusal = await harness.serve(make_request(STREAM))
            assert (caller.end, refusal) == ("aborted", None)
            assert not harness.second.received

        run([make_route(STREAM)], scenario)

    @pytest.mark.parametrize("status", ["500 Error", "200 OK"])
    def test_an_answer_without_events_is_not_appended_to_a_stream(self, status):
        """The second target answers a resumed stream with an ordinary answer."""

        async def scenario(harness):
            steps = harness.first.stream([1, 2], is_complete=False)
            harness.first.script = [[*steps, 0.05, ScriptedTarget.RESET]]
            harness.second.script = [harness.second.answer(status, b"sorry")]
            caller, refusal = await harness.serve(make_request(STREAM))
            assert (caller.body, caller.end) == (self.events([1, 2]), "aborted")
            assert refusal is None
            assert harness.second.received

        run([make_route(STREAM, resumable=True)], scenario)


class TestStreamsThatEndWithTheirConnection:
    """Streams with neither a length nor chunks."""

    HEAD = (
        b"HTTP/1.1 200 OK\r\nAttempt-Id: @id\r\nResponse-Seal: s\r\n"
        b"Content-Type: text/event-stream\r\n\r\n"
    )
    EVENTS = (b"id: 1\ndata: x1\n\n", b"id: 2\ndata: x2\n\n")

    def test_events_are_sent_as_they_arrive(self):
        async def scenario(harness):
            steps = [self.HEAD, self.EVENTS[0], 0.3, self.EVENTS[1]]
            harness.first.script = [[*steps, ScriptedTarget.CLOSE]]
            caller = RecordingCaller()
            request = make_request(STREAM)
            serving = asyncio.create_task(harness.forwarder.serve(request, caller))
            await asyncio.sleep(0.15)
            assert caller.body == self.EVENTS[0]
            assert await serving is None
            assert (caller.body, caller.end) == (b"".join(self.EVENTS), "finished")

        run([make_route(STREAM)], scenario)

    @pytest.mark.parametrize(
        "steps",
        [
            [EVENTS[0], ScriptedTarget.RESET],
            [EVENTS[0], b"id: 2\nda", ScriptedTarget.CLOSE],
            [EVENTS[0], b"id: 2\nda", ScriptedTarget.RESET],
        ],
        ids=["reset", "closed within an event", "reset within an event"],
    )
    @pytest.mark.parametrize("is_resumable", [False, True])
    def test_a_stream_that_breaks_off_is_not_whole(self, steps, is_resumable):
        async def scenario(harness):
            harness.first.script = [[self.HEAD, steps[0], 0.05, *steps[1:]]]
            harness.second.script = [harness.second.stream([2])]
            caller, _ = await harness.serve(make_request(STREAM))
            if is_resumable:
                assert (caller.body, caller.end) == (b"".join(self.EVENTS), "finished")
            else:
                assert (caller.body, caller.end) == (self.EVENTS[0], "aborted")

        run([make_route(STREAM, resumable=is_resumable)], scenario)

    def test_a_stream_without_events_is_not_whole(self):
        async def scenario(harness):
            harness.first.script = [[self.HEAD, ScriptedTarget.CLOSE]]
            caller, refusal = await harness.serve(make_request(STREAM))
            assert (caller.end, refusal.status) == ("", 502)

        run([make_route(STREAM)], scenario)


class TestEventSplitter:
    @pytest.mark.parametrize(
        ("size", "is_oversized"),
        [(MAX_EVENT_BYTES, False), (MAX_EVENT_BYTES + 1, True)],
    )
    def test_an_event_that_never_ends_is_detected(self, size, is_oversized):
        splitter = EventSplitter()
        assert list(splitter.feed(b"x" * size)) == []
        assert splitter.is_oversized is is_oversized

    @pytest.mark.parametrize("digits", [17, 5_000, MAX_EVENT_BYTES // 2])
    def test_an_event_with_an_id_out_of_range_is_invalid(self, digits):
        """Guards against ids that Python can't parse, which ended the request."""
        (event,) = EventSplitter().feed(b"id: %b\ndata: x\n\n" % (b"9" * digits))
        assert event.kind is EventKind.INVALID


class TestSettlement:
    SIZE = PromptSize(100, 50, ())

    def test_a_stream_is_charged_for_its_prompt_and_the_delivered_events(self):
        async def scenario(harness):
            await asyncio.sleep(0.1)
            harness.first.script = [harness.first.stream([1, 2, 3])]
            await harness.serve(make_request(STREAM, self.SIZE))
            state = harness.ledger.describe("atelier", 0.0)
            assert state.held == 0
            assert harness.ledger.get_organisation("atelier").account.spent == 103

        run([make_route(STREAM)], scenario, prepaid=100_000)

    def test_a_request_that_did_not_run_is_not_charged(self):
        async def scenario(harness):
            await asyncio.sleep(0.1)
            harness.first.stop()
            harness.second.stop()
            _, refusal = await harness.serve(make_request(STREAM, self.SIZE))
            assert refusal.status == 503
            assert harness.ledger.get_organisation("atelier").account.spent == 0

        run([make_route(STREAM)], scenario, prepaid=100_000)

    def test_a_request_that_exceeds_the_budget_is_not_sent(self):
        async def scenario(harness):
            await asyncio.sleep(0.1)
            _, refusal = await harness.serve(make_request(STREAM, self.SIZE))
            assert refusal.reason in (
                Reason.BUDGET_EXHAUSTED,
                Reason.CREDIT_UNAVAILABLE,
            )
            assert not harness.first.received

        run([make_route(STREAM)], scenario, prepaid=149)

import asyncio

import pytest

from kingcuphead.forwarding import PromptSize
from kingcuphead.forwarding.tests._harness import (
    IDEMPOTENT,
    ONCE,
    STREAM,
    RecordingCaller,
    make_request,
    make_route,
    run,
)
from kingcuphead.timing import get_time
from kingcuphead.verdict import Reason

#: Seconds after the signal at which nothing is passed on, and at which requests end.
LAST_START, END = 0.2, 0.4


def finish(harness):
    harness.forwarder.finish_by(get_time() + LAST_START, get_time() + END)


async def serve_and_finish(harness, kind, delay=0.05, size=None):
    """Serve a request that a shutdown overtakes; return its end and the seconds."""
    caller = RecordingCaller(harness.memory)
    serving = asyncio.create_task(
        harness.forwarder.serve(make_request(kind, size), caller)
    )
    await asyncio.sleep(delay)
    finish(harness)
    began_at = get_time()
    refusal = await serving
    return caller, refusal, get_time() - began_at


class TestRequestsThatOutlastTheGracePeriod:
    """Guards against requests that are cut without an answer when a process ends."""

    @pytest.mark.parametrize("kind", [ONCE, IDEMPOTENT, STREAM])
    def test_one_that_a_target_runs_is_told_that_it_may_have_run(self, kind):
        async def scenario(harness):
            harness.first.script = [[5.0]]
            caller, refusal, seconds = await serve_and_finish(harness, kind)
            assert (refusal.status, refusal.reason) == (502, Reason.SHUTTING_DOWN)
            assert not caller.is_started
            assert END - 0.05 <= seconds <= END + 0.1
            await asyncio.wait_for(harness.first.is_cancelled.wait(), 1.0)
            assert not harness.second.received

        run([make_route(kind)], scenario)

    def test_a_stream_that_has_begun_is_aborted(self):
        async def scenario(harness):
            events = harness.first.stream([1, 2], is_complete=False)
            harness.first.script = [[*events, 5.0]]
            caller, refusal, _ = await serve_and_finish(harness, STREAM)
            assert refusal is None
            assert (caller.status, caller.end) == (200, "aborted")

        run([make_route(STREAM)], scenario)

    def test_an_answer_in_time_is_passed_on(self):
        async def scenario(harness):
            harness.first.script = [[0.3, *harness.first.answer()]]
            caller, refusal, _ = await serve_and_finish(harness, ONCE)
            assert refusal is None
            assert caller.body == b"whole"

        run([make_route(ONCE)], scenario)

    def test_one_that_waits_for_credit_is_refused_as_not_run(self):
        async def scenario(harness):
            harness.renewal.cancel()
            size = PromptSize(100, 100, ())
            _, refusal, seconds = await serve_and_finish(harness, STREAM, size=size)
            assert (refusal.status, refusal.reason) == (503, Reason.SHUTTING_DOWN)
            assert refusal.retry_after is not None
            assert seconds <= LAST_START + 0.1
            assert not harness.first.received

        run([make_route(STREAM)], scenario, prepaid=1_000_000)

    def test_none_is_passed_on_again_shortly_before_the_end(self):
        """A target's refusal came when a second run could not be answered."""

        async def scenario(harness):
            busy = harness.first.answer("503 Busy", b"", "Not-Executed: 1")
            harness.first.script = [[0.3, *busy]]
            _, refusal, _ = await serve_and_finish(harness, ONCE)
            assert (refusal.status, refusal.reason) == (503, Reason.SHUTTING_DOWN)
            assert not harness.second.received

        run([make_route(ONCE)], scenario)

    @pytest.mark.parametrize("late", [0.0, LAST_START, END])
    def test_one_that_arrives_after_the_signal_ends_in_time(self, late):
        async def scenario(harness):
            harness.first.script = [[5.0]]
            finish(harness)
            await asyncio.sleep(late)
            began_at = get_time()
            _, refusal = await harness.serve(make_request(ONCE))
            is_passed_on = bool(harness.first.received)
            assert is_passed_on is (late < LAST_START)
            assert refusal.status == (502 if is_passed_on else 503)
            assert get_time() - began_at <= END - late + 0.1

        run([make_route(ONCE)], scenario)

import asyncio
import contextlib

import pytest

from kingcuphead.dispatch import AttemptResult, HedgeDenial
from kingcuphead.forwarding import PromptSize
from kingcuphead.forwarding.tests._harness import (
    STREAM,
    RecordingCaller,
    make_request,
    make_route,
    run,
)
from kingcuphead.forwarding.tests._target import ScriptedTarget, Unaware
from kingcuphead.forwarding.tests.test_hedging import (
    SLOW,
    USUAL,
    get_context,
    get_results,
    make_busy,
    make_policy,
    play,
)

#: Tokens of the streams' prompts and answers.
SIZE = PromptSize(10, 10, ())
#: Seconds that a cancelled target may take to notice it.
NOTICE_TIMEOUT = 0.2


def play_streams(scenario, covers_streams=True, resumable=True, **changes):
    """Run a scenario with second attempts of streams and an objective of 1 s."""
    play(
        scenario, STREAM, covers_streams=covers_streams, resumable=resumable, **changes
    )


def make_events(target, event_ids):
    """Return the bytes of events that name their target."""
    return b"".join(
        f"id: {event_id}\ndata: {target.name}\n\n".encode() for event_id in event_ids
    )


def stream(target, event_ids, is_complete=True):
    """Return the steps of a stream whose events name their target."""
    steps = target.stream([], is_complete=False)
    for event_id in event_ids:
        event = make_events(target, [event_id])
        steps.append(f"{len(event):x}\r\n".encode() + event + b"\r\n")
    if is_complete:
        steps.append(b"0\r\n\r\n")
    return steps


def go_on(target, event_ids):
    """Return the steps of the rest of a stream, without its head."""
    return stream(target, event_ids)[1:]


async def wait_for_cancel(target):
    async with asyncio.timeout(NOTICE_TIMEOUT):
        await target.is_cancelled.wait()


@contextlib.asynccontextmanager
async def start_third(harness):
    """Add a target that is tried after the others."""
    third = ScriptedTarget("t3")
    list(harness.directory.put(await third.start()))
    try:
        yield third
    finally:
        third.stop()


class TestFirstEvents:
    def test_the_first_one_wins_and_the_other_attempt_is_cancelled_at_once(self):
        async def scenario(harness):
            first, second = harness.first, harness.second
            first.script = [[SLOW, *stream(first, [1, 2])]]
            second.script = [[*stream(second, [1], False), 0.3, *go_on(second, [2])]]
            caller = RecordingCaller(harness.memory)
            request = make_request(STREAM, SIZE)
            serving = asyncio.create_task(harness.forwarder.serve(request, caller))
            # The winner's stream still runs then.
            async with asyncio.timeout(SLOW / 2):
                await first.is_cancelled.wait()
            assert caller.body == make_events(second, [1])
            assert await serving is None
            assert (caller.body, caller.end) == (
                make_events(second, [1, 2]),
                "finished",
            )
            assert get_results(harness) == [
                ("t1", AttemptResult.CANCELLED),
                ("t2", AttemptResult.ANSWERED),
            ]
            hedge = get_context(harness).hedge
            assert (hedge.is_won, hedge.is_cancelled) == (True, True)
            assert not list(harness.dispatcher.list_loads())

        play_streams(scenario)

    def test_the_first_attempt_may_win_too(self):
        async def scenario(harness):
            first, second = harness.first, harness.second
            first.script = [[4 * USUAL, *stream(first, [1, 2])]]
            second.script = [[SLOW, *stream(second, [1, 2])]]
            caller, _ = await harness.serve(make_request(STREAM, SIZE))
            assert caller.body == make_events(first, [1, 2])
            await wait_for_cancel(second)
            assert str(get_context(harness).hedge) == "started"

        play_streams(scenario)

    def test_a_head_alone_does_not_win(self):
        async def scenario(harness):
            first, second = harness.first, harness.second
            head, *events = stream(first, [1])
            first.script = [[head, SLOW, *events]]
            second.script = [stream(second, [1])]
            caller, _ = await harness.serve(make_request(STREAM, SIZE))
            assert caller.body == make_events(second, [1])

        play_streams(scenario)

    def test_a_fast_one_prevents_a_second_attempt(self):
        """The rest of the stream may take longer than the delay."""

        async def scenario(harness):
            first = harness.first
            first.script = [[*stream(first, [1], False), SLOW, *go_on(first, [2])]]
            caller, _ = await harness.serve(make_request(STREAM, SIZE))
            assert caller.body == make_events(first, [1, 2])
            assert not harness.second.received
            assert get_context(harness).hedge is None

        play_streams(scenario)

    def test_the_delay_is_measured_to_them(self):
        async def main(harness):
            policy = make_policy(covers_streams=True)
            harness.enable_hedging(policy)
            recorded = []
            policy.record_end = lambda *values: recorded.append(values[1:4])
            first = harness.first
            first.script = [[*stream(first, [1], False), 0.3, *go_on(first, [2])]]
            await harness.serve(make_request(STREAM, SIZE))
            ((name, result, seconds),) = recorded
            assert (name, result) == ("t1", AttemptResult.ANSWERED)
            assert seconds < 0.3

        run([make_route(STREAM, resumable=True)], main)

    def test_tokens_are_billed_once(self):
        """The prompt may have been read twice."""

        async def scenario(harness):
            first, second = harness.first, harness.second
            first.script = [[SLOW, *stream(first, [1, 2, 3])]]
            second.script = [stream(second, [1, 2])]
            await harness.serve(make_request(STREAM, SIZE))
            assert get_context(harness).charge.tokens == SIZE.prompt_tokens + 2
            account = harness.ledger.get_organisation("atelier").account
            assert (account.spent, account.held) == (SIZE.prompt_tokens + 2, 0)

        play_streams(scenario)


class TestStreamsWithoutSecondAttempt:
    @pytest.mark.parametrize(
        "changes",
        [
            {"covers_streams": False},
            {"resumable": False},
            {"share": 0.0},
        ],
    )
    def test_settings_and_routes(self, changes):
        async def scenario(harness):
            first = harness.first
            first.script = [[4 * USUAL, *stream(first, [1])]]
            caller, _ = await harness.serve(make_request(STREAM, SIZE))
            assert caller.body == make_events(first, [1])
            assert not harness.second.received
            assert get_context(harness).hedge is None

        play_streams(scenario, **changes)

    def test_a_stream_that_a_caller_takes_up(self):
        """It would go on at two targets at the same time."""

        async def scenario(harness):
            await harness.resumption.synchronise()
            first = harness.first
            first.script = [[4 * USUAL, *stream(first, [3])]]
            request = make_request(STREAM, SIZE, resume_after=2, resumed_id="r0")
            caller, _ = await harness.serve(request)
            assert caller.body == make_events(first, [3])
            assert not harness.second.received

        play_streams(scenario)

    def test_a_stream_that_goes_on_after_its_target_failed(self):
        async def scenario(harness):
            first, second = harness.first, harness.second
            steps = stream(first, [1], False)
            first.script = [[*steps, USUAL / 5, ScriptedTarget.RESET]]
            second.script = [[4 * USUAL, *stream(second, [2])]]
            async with start_third(harness) as third:
                caller, _ = await harness.serve(make_request(STREAM, SIZE))
                assert not third.received
            assert caller.body == make_events(first, [1]) + make_events(second, [2])
            assert get_context(harness).hedge is None

        play_streams(scenario, attempts=3)


class TestSlowTargets:
    def test_a_slow_one_among_others_is_made_up_for(self):
        async def scenario(harness):
            first, second = harness.first, harness.second
            loop = asyncio.get_running_loop()
            for _ in range(3):
                first.script = [[SLOW, *stream(first, [1])]]
                second.script = [stream(second, [1])]
                started_at = loop.time()
                caller, _ = await harness.serve(make_request(STREAM, SIZE))
                assert caller.body == make_events(second, [1])
                assert loop.time() - started_at < SLOW / 2

        play_streams(scenario)

    def test_if_all_are_slow_the_next_streams_get_none(self):
        """Second attempts would add to the load that may have made them slow."""

        async def scenario(harness):
            first, second = harness.first, harness.second
            for target in (first, second):
                target.script = [[8 * USUAL, *stream(target, [1])] for _ in range(2)]
            await harness.serve(make_request(STREAM, SIZE))
            await harness.serve(make_request(STREAM, SIZE))
            assert len(first.received) + len(second.received) == 3
            contexts = [context for context, _ in harness.ended]
            assert [each.hedge.denial for each in contexts] == [
                None,
                HedgeDenial.NO_TARGET,
            ]

        play_streams(scenario)

    def test_a_busy_service_gets_none(self):
        async def scenario(harness):
            first = harness.first
            first.script = [[4 * USUAL, *stream(first, [1])]]
            make_busy(harness, None, harness.directory.list_usable("pool")[1])
            caller, _ = await harness.serve(make_request(STREAM, SIZE))
            assert caller.body == make_events(first, [1])
            assert not harness.second.received
            assert get_context(harness).hedge.denial is HedgeDenial.BUSY

        play_streams(scenario)


class TestFailures:
    def test_a_target_that_loses_its_answer_is_made_up_for(self):
        async def scenario(harness):
            harness.first.script = [[10.0]]
            harness.second.script = [stream(harness.second, [1])]
            started_at = asyncio.get_running_loop().time()
            caller, _ = await harness.serve(make_request(STREAM, SIZE))
            assert caller.body == make_events(harness.second, [1])
            # Without a second attempt it waits for the first-byte timeout.
            assert asyncio.get_running_loop().time() - started_at < 1.0

        play_streams(scenario)

    def test_a_cancel_that_a_target_does_not_notice_changes_nothing(self):
        async def scenario(harness):
            first, second = harness.first, harness.second
            steps = stream(first, [1, 2, 3])
            first.script = [[Unaware(3 * USUAL), *steps]]
            opening = stream(second, [1], False)
            second.script = [[*opening, 0.3, *go_on(second, [2])]]
            caller, _ = await harness.serve(make_request(STREAM, SIZE))
            # It went on to its events while the winner sent its own.
            assert first.unaware_ends == 1
            assert caller.body == make_events(second, [1, 2])
            assert get_context(harness).charge.tokens == SIZE.prompt_tokens + 2
            assert not list(harness.dispatcher.list_loads())

        play_streams(scenario)

    def test_a_winner_that_breaks_is_followed_once_the_loser_has_stopped(self):
        async def scenario(harness):
            first, second = harness.first, harness.second
            first.script = [[10.0]]
            opening = stream(second, [1], False)
            second.script = [[*opening, 0.02, ScriptedTarget.RESET]]
            async with start_third(harness) as third:
                third.script = [[0.1, *stream(third, [2])]]
                serving = asyncio.create_task(harness.serve(make_request(STREAM, SIZE)))
                while not third.received:
                    await asyncio.sleep(0.001)
                assert first.is_cancelled.is_set()
                caller, _ = await serving
                assert third.received[0].get_header("Last-Event-Id") == "1"
                assert caller.body == make_events(second, [1]) + make_events(third, [2])
            assert get_results(harness) == [
                ("t1", AttemptResult.CANCELLED),
                ("t2", AttemptResult.BROKEN),
                ("t3", AttemptResult.ANSWERED),
            ]

        play_streams(scenario, attempts=3)

    @pytest.mark.parametrize("failing", ["first", "second"])
    def test_the_failure_of_one_waits_for_the_other(self, failing):
        async def scenario(harness):
            for name in ("first", "second"):
                target = getattr(harness, name)
                target.script = [[4 * USUAL, ScriptedTarget.RESET]]
                if name != failing:
                    target.script = [[6 * USUAL, *stream(target, [1])]]
            caller, _ = await harness.serve(make_request(STREAM, SIZE))
            assert caller.body.startswith(b"id: 1\n")
            assert caller.end == "finished"
            assert len(harness.first.received) == len(harness.second.received) == 1

        play_streams(scenario)

    def test_an_error_answer_of_one_is_not_mixed_with_events(self):
        async def scenario(harness):
            first, second = harness.first, harness.second
            first.script = [[4 * USUAL, *first.answer("400 Bad", b"no")]]
            second.script = [[SLOW, *stream(second, [1])]]
            caller, _ = await harness.serve(make_request(STREAM, SIZE))
            assert (caller.status, caller.body) == (400, b"no")
            await wait_for_cancel(second)

        play_streams(scenario)

    def test_the_deadline_cancels_both(self):
        async def scenario(harness):
            for target in (harness.first, harness.second):
                target.script = [[10.0]]
            _, refusal = await harness.serve(make_request(STREAM, SIZE))
            assert refusal.status == 504
            await wait_for_cancel(harness.first)
            await wait_for_cancel(harness.second)
            assert not list(harness.dispatcher.list_loads())
            assert harness.ledger.get_organisation("atelier").account.held == 0

        play_streams(scenario, timeout=0.5)

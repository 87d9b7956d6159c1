import asyncio
import dataclasses

import pytest

from kingcuphead.dispatch import (
    AttemptResult,
    HedgeDenial,
    HedgingPolicy,
    PlacementRequest,
    RequestClass,
    RetryAllowance,
)
from kingcuphead.forwarding import PromptSize
from kingcuphead.forwarding.tests._harness import (
    IDEMPOTENT,
    ONCE,
    STREAM,
    make_request,
    make_route,
    run,
)
from kingcuphead.forwarding.tests._target import ScriptedTarget
from kingcuphead.forwarding.tests.test_quarantine import report_crashes
from kingcuphead.permits import TargetTerms
from kingcuphead.verdict import Execution, Reason

#: Seconds that measured answers took, and that a slow target takes.
USUAL, SLOW = 0.05, 1.0
#: Tokens of the requests' prompts and answers.
SIZE = PromptSize(10, 10, ())


class LagIgnoringPolicy(HedgingPolicy):
    """Doesn't take a busy machine for a cause of delays."""

    def record_lag(self, lag, now):
        pass


def make_policy(share=1.0, policy_class=LagIgnoringPolicy, covers_streams=False):
    """Return a policy that has measured requests of all kinds."""
    policy = policy_class(share, RetryAllowance(1.0, 120.0, 10.0), covers_streams)
    now = asyncio.get_running_loop().time()
    for kind, tokens in ((IDEMPOTENT, 20), (ONCE, 20), (STREAM, 10)):
        measured = RequestClass("pool", kind.value, tokens.bit_length())
        for _ in range(60):
            policy.count_request("pool", now)
            policy.record_end(measured, "t9", AttemptResult.ANSWERED, USUAL, now)
    return policy


def play(
    scenario,
    kind=IDEMPOTENT,
    prepaid=1_000,
    share=1.0,
    policy_class=LagIgnoringPolicy,
    covers_streams=False,
    **changes,
):
    """Run a scenario with second attempts and an objective of 1 s."""

    async def main(harness):
        harness.enable_hedging(make_policy(share, policy_class, covers_streams))
        await scenario(harness)

    values = {"timeout": 4.0, "objective": 1.0, **changes}
    run([make_route(kind, **values)], main, prepaid=prepaid)


def get_context(harness):
    return harness.ended[0][0]


def get_results(harness):
    return [(each.target, each.result) for each in get_context(harness).records]


class TestSecondAttempts:
    def test_the_first_answer_wins_and_the_other_connection_is_closed(self):
        async def scenario(harness):
            harness.first.script = [[SLOW, *harness.first.answer(body=b"1")]]
            harness.second.script = [harness.second.answer(body=b"2")]
            caller, refusal = await harness.serve(make_request(IDEMPOTENT, SIZE))
            assert (caller.body, refusal) == (b"2", None)
            async with asyncio.timeout(0.2):
                await harness.first.is_cancelled.wait()
            assert get_results(harness) == [
                ("t2", AttemptResult.ANSWERED),
                ("t1", AttemptResult.CANCELLED),
            ]
            context = get_context(harness)
            assert context.hedge.is_won
            assert context.hedge.is_cancelled
            assert context.execution is Execution.MAY_HAVE_RUN
            # The request is billed once, although it may have run twice.
            assert context.charge.tokens == SIZE.prompt_tokens
            assert not list(harness.dispatcher.list_loads())

        play(scenario)

    def test_the_first_attempt_may_win_too(self):
        async def scenario(harness):
            harness.first.script = [[4 * USUAL, *harness.first.answer(body=b"1")]]
            harness.second.script = [[SLOW, *harness.second.answer(body=b"2")]]
            caller, _ = await harness.serve(make_request(IDEMPOTENT, SIZE))
            assert caller.body == b"1"
            async with asyncio.timeout(0.2):
                await harness.second.is_cancelled.wait()
            assert str(get_context(harness).hedge) == "started"

        play(scenario)

    def test_a_fast_answer_gets_none(self):
        async def scenario(harness):
            harness.first.script = [harness.first.answer(body=b"1")]
            await harness.serve(make_request(IDEMPOTENT, SIZE))
            assert not harness.second.received
            assert get_context(harness).hedge is None

        play(scenario)

    @pytest.mark.parametrize(("kind", "resumable"), [(ONCE, False), (STREAM, False)])
    def test_a_request_that_is_not_idempotent_gets_none(self, kind, resumable):
        async def scenario(harness):
            first = harness.first
            answer = first.answer() if kind is ONCE else first.stream([1])
            first.script = [[4 * USUAL, *answer]]
            caller, _ = await harness.serve(make_request(kind, SIZE))
            assert caller.end == "finished"
            assert not harness.second.received

        play(scenario, kind, resumable=resumable)

    @pytest.mark.parametrize(
        ("changes", "denial"),
        [
            ({"attempts": 1}, HedgeDenial.ATTEMPTS),
            ({"share": 0.001}, HedgeDenial.SHARE),
        ],
    )
    def test_bounds(self, changes, denial):
        async def scenario(harness):
            harness.first.script = [[4 * USUAL, *harness.first.answer(body=b"1")]]
            caller, _ = await harness.serve(make_request(IDEMPOTENT, SIZE))
            assert caller.body == b"1"
            assert not harness.second.received
            assert get_context(harness).hedge.denial is denial

        play(scenario, **changes)

    def test_a_request_that_is_quarantined_meanwhile_gets_none(self):
        async def scenario(harness):
            harness.first.script = [[4 * USUAL, *harness.first.answer(body=b"1")]]
            request = make_request(IDEMPOTENT, SIZE)
            task = asyncio.create_task(harness.serve(request))
            await asyncio.sleep(USUAL / 2)
            report_crashes(harness, request, 3)
            await task
            assert not harness.second.received
            assert get_context(harness).hedge.denial is HedgeDenial.QUARANTINED

        play(scenario)

    def test_a_late_event_loop_causes_none(self):
        async def scenario(harness):
            harness.first.script = [[8 * USUAL, *harness.first.answer(body=b"1")]]
            task = asyncio.create_task(harness.serve(make_request(IDEMPOTENT, SIZE)))
            await asyncio.sleep(USUAL / 2)
            _block_event_loop(2 * USUAL)
            await task
            assert not harness.second.received
            assert get_context(harness).hedge.denial is HedgeDenial.OWN_DELAY

        play(scenario, policy_class=HedgingPolicy)


def state_limit(harness, policy, target):
    harness.permits.record_terms(target, TargetTerms(1_000.0))


def make_cold(harness, policy, target):
    list(harness.directory.put(dataclasses.replace(target, cold_left=9.0, sequence=9)))


def make_slow(harness, policy, target):
    policy.record_late(target.name, asyncio.get_running_loop().time())


def make_busy(harness, policy, target):
    """Send more requests to a target than half of the slots of both."""
    for _ in range(target.slots + 1):
        harness.dispatcher.place(PlacementRequest("pool"), [target], (), 0.0)


def lower_estimate(harness, policy, target):
    """Let the expected wait exceed the time that is left."""
    harness.dispatcher.place(PlacementRequest("pool"), [target], (), 0.0)
    harness.dispatcher._get_state(target).latency_ratio = 1_000.0


class TestOtherTargets:
    """A second attempt must not add to the load of a target that can't bear it."""

    @pytest.mark.parametrize(
        ("prepare", "denial"),
        [
            (state_limit, HedgeDenial.NO_TARGET),
            (make_cold, HedgeDenial.NO_TARGET),
            (make_slow, HedgeDenial.NO_TARGET),
            (make_busy, HedgeDenial.BUSY),
            (lower_estimate, HedgeDenial.NO_TIME),
        ],
    )
    def test_it_gets_no_second_attempt(self, prepare, denial):
        async def main(harness):
            policy = make_policy()
            harness.enable_hedging(policy)
            harness.first.script = [[4 * USUAL, *harness.first.answer(body=b"1")]]
            prepare(harness, policy, harness.directory.list_usable("pool")[1])
            load_before = list(harness.dispatcher.list_loads())
            caller, _ = await harness.serve(make_request(IDEMPOTENT, SIZE))
            assert caller.body == b"1"
            assert not harness.second.received
            assert get_context(harness).hedge.denial is denial
            assert list(harness.dispatcher.list_loads()) == load_before

        run([make_route(IDEMPOTENT, timeout=4.0, objective=1.0)], main)


class TestFailures:
    def test_a_target_that_loses_its_answer_is_made_up_for(self):
        async def scenario(harness):
            harness.first.script = [[10.0]]
            harness.second.script = [harness.second.answer(body=b"2")]
            started_at = asyncio.get_running_loop().time()
            caller, _ = await harness.serve(make_request(IDEMPOTENT, SIZE))
            assert caller.body == b"2"
            # Without a second attempt it waits for the first-byte timeout.
            assert asyncio.get_running_loop().time() - started_at < 1.0

        play(scenario)

    @pytest.mark.parametrize("failing", ["first", "second"])
    def test_the_failure_of_one_waits_for_the_other(self, failing):
        async def scenario(harness):
            for name in ("first", "second"):
                target = getattr(harness, name)
                step = ScriptedTarget.RESET
                steps = [step] if name == failing else target.answer(body=b"good")
                target.script = [[4 * USUAL, *steps]]
            caller, _ = await harness.serve(make_request(IDEMPOTENT, SIZE))
            assert caller.body == b"good"
            assert len(harness.first.received) == len(harness.second.received) == 1

        play(scenario)

    def test_a_daemon_cut_off_from_the_other_target_waits_for_the_first(self):
        async def scenario(harness):
            harness.second.stop()
            harness.first.script = [[4 * USUAL, *harness.first.answer(body=b"1")]]
            caller, _ = await harness.serve(make_request(IDEMPOTENT, SIZE))
            assert caller.body == b"1"
            context = get_context(harness)
            assert not context.hedge.is_won
            assert context.execution is Execution.MAY_HAVE_RUN

        play(scenario)

    def test_a_refusal_of_the_first_does_not_undo_that_the_second_may_have_run(self):
        async def scenario(harness):
            refusal = harness.first.answer("503 Busy", b"", "Not-Executed: 1")
            harness.first.script = [[3 * USUAL, *refusal]]
            harness.second.script = [[4 * USUAL, ScriptedTarget.RESET]]
            _, refusal = await harness.serve(make_request(IDEMPOTENT, SIZE))
            assert (refusal.status, refusal.reason) == (502, Reason.TARGET_FAILED)
            assert get_context(harness).execution is Execution.MAY_HAVE_RUN

        play(scenario)

    def test_the_deadline_cancels_both(self):
        async def scenario(harness):
            for target in (harness.first, harness.second):
                target.script = [[10.0]]
            _, refusal = await harness.serve(make_request(IDEMPOTENT, SIZE))
            assert refusal.status == 504
            async with asyncio.timeout(0.2):
                await harness.first.is_cancelled.wait()
                await harness.second.is_cancelled.wait()
            assert not list(harness.dispatcher.list_loads())
            assert harness.memory.used == 0

        play(scenario, timeout=0.5)


def _block_event_loop(seconds):
    loop = asyncio.get_running_loop()
    end = loop.time() + seconds
    while loop.time() < end:
        pass

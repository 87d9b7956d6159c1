import asyncio

import pytest

from kingcuphead.forwarding import PromptPart, PromptSize
from kingcuphead.forwarding._fingerprint import identify_request
from kingcuphead.forwarding._target_watch import WATCH_PERIOD
from kingcuphead.forwarding.tests._harness import (
    IDEMPOTENT,
    ONCE,
    STREAM,
    make_request,
    make_route,
    run,
)
from kingcuphead.forwarding.tests._target import ScriptedTarget
from kingcuphead.quarantine import (
    AnswersReported,
    CrashReported,
    FingerprintQuarantined,
    QuarantineReported,
)
from kingcuphead.verdict import Reason

OTHER_ID = b"HTTP/1.1 200 OK\r\nAttempt-Id: other\r\nContent-Length: 0\r\n\r\n"
UNFRAMED = b"HTTP/1.1 200 OK\r\nAttempt-Id: @id\r\nResponse-Seal: s\r\n\r\ntext"


def report_crashes(harness, request, count):
    """Let other daemons report crashes of targets under a request."""
    identity = identify_request(request, "atelier")
    for number in range(count):
        crash = CrashReported(f"other-{number}@1", identity)
        harness.quarantine.handle_message(crash, harness.broadcasts.append)


class TestQuarantine:
    @pytest.mark.parametrize("kind", [IDEMPOTENT, ONCE, STREAM])
    def test_a_quarantined_request_is_refused_at_once_as_not_run(self, kind):
        async def scenario(harness):
            request = make_request(kind, PromptSize(10, 10, ()))
            report_crashes(harness, request, 3)
            _, refusal = await harness.serve(request)
            assert (refusal.status, refusal.reason) == (503, Reason.QUARANTINED)
            assert 3_590 < refusal.retry_after <= 3_600
            assert not harness.first.received
            assert not harness.ended[0][0].credit_seconds

        run([make_route(kind)], scenario, prepaid=1_000)

    @pytest.mark.parametrize("kind", [IDEMPOTENT, STREAM])
    def test_no_other_target_gets_a_request_after_its_third_crash(self, kind):
        async def scenario(harness):
            request = make_request(kind)
            report_crashes(harness, request, 2)
            harness.first.script = [[ScriptedTarget.CRASH]]
            _, refusal = await harness.serve(request)
            assert (refusal.status, refusal.reason) == (502, Reason.TARGET_FAILED)
            assert not harness.second.received

        run([make_route(kind, resumable=True)], scenario)

    def test_a_crash_and_the_answer_after_it_are_told_to_other_daemons(self):
        async def scenario(harness):
            request = make_request(IDEMPOTENT)
            identity = identify_request(request, "atelier")
            harness.first.script = [[ScriptedTarget.CRASH]]
            harness.second.script = [harness.second.answer()]
            await harness.serve(request)
            crash = CrashReported("t1@1", identity)
            answers = AnswersReported(identity.fingerprint, "d1/1", 1)
            assert harness.broadcasts == [crash, answers]

        run([make_route(IDEMPOTENT)], scenario)

    @pytest.mark.parametrize("step", [ScriptedTarget.RESET, ScriptedTarget.CLOSE])
    def test_a_broken_connection_of_a_living_target_is_no_crash(self, step):
        async def scenario(harness):
            harness.first.script = [[step]]
            harness.second.script = [harness.second.answer()]
            await harness.serve(make_request(IDEMPOTENT))
            assert harness.broadcasts == []

        run([make_route(IDEMPOTENT)], scenario)

    def test_the_end_of_a_leaving_target_is_no_crash(self):
        async def scenario(harness):
            leaving = harness.directory.list_usable("pool")[0]
            harness.first.script = [[0.05, ScriptedTarget.CRASH]]
            harness.second.script = [harness.second.answer()]
            serving = asyncio.create_task(harness.serve(make_request(IDEMPOTENT)))
            await asyncio.sleep(0.02)
            list(harness.directory.mark_leaving(leaving))
            await serving
            assert harness.broadcasts == []

        run([make_route(IDEMPOTENT)], scenario)

    @pytest.mark.parametrize(
        ("end", "is_crash"),
        [(ScriptedTarget.CRASH_CLOSED, True), (ScriptedTarget.CLOSE, False)],
    )
    def test_an_answer_that_ends_with_its_connection(self, end, is_crash):
        """It proves that the request is harmless only if its target lives on."""

        async def scenario(harness):
            request = make_request(IDEMPOTENT)
            identity = identify_request(request, "atelier")
            harness.first.script = [[UNFRAMED, end]]
            caller, _ = await harness.serve(request)
            assert (caller.status, caller.body) == (200, b"text")
            await asyncio.sleep(WATCH_PERIOD + 0.1)
            assert bool(harness.broadcasts) is is_crash
            answers = harness.quarantine._quarantine.count_answers(
                identity.fingerprint, 0.0
            )
            assert bool(answers) is not is_crash

        run([make_route(IDEMPOTENT)], scenario)

    @pytest.mark.parametrize(("event_ids", "answers"), [([], 0), ([1], 1)])
    def test_a_stream_without_events_proves_nothing(self, event_ids, answers):
        async def scenario(harness):
            request = make_request(STREAM)
            harness.first.script = [harness.first.stream(event_ids)]
            await harness.serve(request)
            fingerprint = identify_request(request, "atelier").fingerprint
            counted = harness.quarantine._quarantine.count_answers(fingerprint, 0.0)
            assert counted == answers

        run([make_route(STREAM)], scenario)

    def test_a_crash_after_the_caller_left_is_told_to_other_daemons(self):
        async def scenario(harness):
            request = make_request(ONCE)
            harness.first.script = [[]]
            serving = asyncio.create_task(harness.serve(request))
            await asyncio.sleep(0.05)
            serving.cancel()
            await asyncio.sleep(0.05)
            assert harness.broadcasts == []
            harness.first.end()
            await asyncio.sleep(0.05)
            identity = identify_request(request, "atelier")
            assert harness.broadcasts == [CrashReported("t1@1", identity)]

        run([make_route(ONCE)], scenario)

    @pytest.mark.parametrize(
        "answer", [[OTHER_ID], [b"HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n"]]
    )
    def test_a_wrong_answer_is_no_crash(self, answer):
        async def scenario(harness):
            harness.first.script = [answer]
            harness.second.script = [harness.second.answer()]
            await harness.serve(make_request(IDEMPOTENT))
            assert harness.broadcasts == []

        run([make_route(IDEMPOTENT)], scenario)

    @pytest.mark.parametrize(("seconds", "is_suspect"), [(0.05, True), (2.2, False)])
    def test_a_stream_that_ran_for_a_while_is_no_suspect_at_once(
        self, seconds, is_suspect
    ):
        """Other requests of the target may have ended it; they are suspected first."""

        async def scenario(harness):
            steps = harness.first.stream([1], is_complete=False)
            harness.first.script = [[*steps, seconds, ScriptedTarget.CRASH]]
            await harness.serve(make_request(STREAM))
            assert bool(harness.broadcasts) is is_suspect

        run([make_route(STREAM, timeout=5.0)], scenario)


class TestTrials:
    """Guards against trials of quarantined parts that reach more than one target."""

    SIZE = PromptSize(10, 10, (PromptPart("a0", 5), PromptPart("b0", 5)))

    def make_request(self, name):
        return make_request(STREAM, self.SIZE, name, body=name.encode())

    async def grant_trial(self, harness):
        """Quarantine the shared part some time ago, and get a trial of it."""
        key = FingerprintQuarantined("part:a0", 3_000.0)
        harness.quarantine.handle_message(
            QuarantineReported((key,)), lambda reply: None
        )
        _, refusal = await harness.serve(self.make_request("asks"))
        assert refusal.reason is Reason.QUARANTINED
        await harness.quarantine.synchronise()

    def set_scripts(self, harness, script):
        """Give both targets the same script; the prompt decides which is chosen."""
        harness.first.script, harness.second.script = list(script), list(script)

    def count_received(self, harness):
        return len(harness.first.received) + len(harness.second.received)

    def test_an_answer_clears_the_part(self):
        async def scenario(harness):
            await self.grant_trial(harness)
            self.set_scripts(harness, [harness.first.stream([1, 2])] * 2)
            for name in ("trial", "next"):
                caller, refusal = await harness.serve(self.make_request(name))
                assert (refusal, caller.end) == (None, "finished")

        run([make_route(STREAM, resumable=True)], scenario)

    @pytest.mark.parametrize("events", [[], [1]])
    def test_a_crash_is_not_followed_by_another_attempt(self, events):
        async def scenario(harness):
            await self.grant_trial(harness)
            begun = harness.first.stream(events, is_complete=False) if events else []
            self.set_scripts(harness, [[*begun, ScriptedTarget.CRASH]])
            await harness.serve(self.make_request("trial"))
            _, refusal = await harness.serve(self.make_request("next"))
            assert refusal.reason is Reason.QUARANTINED
            assert self.count_received(harness) == 1

        run([make_route(STREAM, resumable=True)], scenario)

    def test_a_target_that_cannot_be_reached_does_not_use_it_up(self):
        async def scenario(harness):
            await self.grant_trial(harness)
            harness.first.end()
            harness.second.end()
            _, refusal = await harness.serve(self.make_request("early"))
            assert refusal.status == 503
            self.set_scripts(harness, [harness.first.stream([1])])
            for each in (harness.first, harness.second):
                list(harness.directory.put(await each.start()))
            caller, refusal = await harness.serve(self.make_request("trial"))
            assert (refusal, caller.end) == (None, "finished")

        run([make_route(STREAM)], scenario)

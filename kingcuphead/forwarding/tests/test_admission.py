import asyncio
import time

from loguru import logger

from kingcuphead.admission import AdmissionGate, QueueBounds
from kingcuphead.dispatch import ServiceLoad
from kingcuphead.forwarding import PromptPart, PromptSize
from kingcuphead.forwarding.tests._harness import (
    IDEMPOTENT,
    STREAM,
    Harness,
    make_request,
    make_route,
)
from kingcuphead.forwarding.tests._target import ScriptedTarget
from kingcuphead.timing import get_time
from kingcuphead.verdict import Execution, Reason

SIZE = PromptSize(100, 20, (PromptPart("own", 100),))


class NoRoom:
    """A dispatcher's view in which no target has room until it is told so."""

    def __init__(self):
        self.is_free = False

    def has_room(self, request, candidates, now):
        return self.is_free

    def accepts_on_old_reports(self, request, candidates, now):
        return self.is_free

    def describe_load(self, request, candidates):
        return ServiceLoad(places=2, own=0, others=0, daemons=1)

    def count_own(self, candidates):
        return 0


def run(scenario, routes=(), prepaid=None):
    async def main():
        room = NoRoom()
        gate = AdmissionGate(room, QueueBounds())
        routes_ = list(routes) or [make_route(IDEMPOTENT, timeout=0.5)]
        async with (
            asyncio.timeout(20),
            Harness(routes_, prepaid, admission=gate) as harness,
        ):
            await scenario(harness, room, gate)

    asyncio.run(main())


class TestWaiting:
    def test_a_request_that_waited_is_answered_and_logged(self):
        lines = []

        async def scenario(harness, room, gate):
            harness.first.script = [harness.first.answer("200 OK", b"1")]
            serving = asyncio.create_task(harness.serve(make_request(IDEMPOTENT)))
            await asyncio.sleep(0.1)
            assert not harness.first.received
            room.is_free = True
            caller, _ = await serving
            assert caller.body == b"1"

        sink = logger.add(lambda message: lines.append(message.record["extra"]))
        try:
            run(scenario)
        finally:
            logger.remove(sink)
        (seconds,) = (each["queue_seconds"] for each in lines if "status" in each)
        assert 0.1 <= seconds <= 0.2

    def test_room_that_never_comes_is_refused_as_not_run_before_the_deadline(self):
        """504 would say that it may have run."""

        async def scenario(harness, room, gate):
            began_at = get_time()
            _, refusal = await harness.serve(make_request(IDEMPOTENT))
            assert (refusal.status, refusal.reason) == (503, Reason.DEADLINE)
            assert refusal.retry_after >= 0.05
            assert get_time() - began_at < 0.5
            context, _ = harness.ended[0]
            assert context.execution is Execution.NOT_RUN
            assert "waiting=1" in str(context.queue_figures)

        run(scenario)

    def test_targets_that_are_gone_end_the_wait(self):
        async def scenario(harness, room, gate):
            serving = asyncio.create_task(harness.serve(make_request(IDEMPOTENT)))
            await asyncio.sleep(0.05)
            for name in ("t1", "t2"):
                list(harness.directory.remove(name, time.monotonic()))
            _, refusal = await serving
            assert (refusal.status, refusal.reason) == (503, Reason.NO_TARGET)

        run(scenario)

    def test_shutdown_refuses_it(self):
        async def scenario(harness, room, gate):
            serving = asyncio.create_task(harness.serve(make_request(IDEMPOTENT)))
            await asyncio.sleep(0.05)
            gate.close()
            _, refusal = await serving
            assert (refusal.status, refusal.reason) == (503, Reason.SHUTTING_DOWN)

        run(scenario)

    def test_a_retry_after_a_failed_attempt_does_not_wait(self):
        async def scenario(harness, room, gate):
            room.is_free = True
            harness.first.script = [[ScriptedTarget.RESET]]
            harness.second.script = [harness.second.answer("200 OK", b"2")]
            serving = asyncio.create_task(harness.serve(make_request(IDEMPOTENT)))
            await asyncio.sleep(0)
            room.is_free = False
            caller, _ = await serving
            assert caller.body == b"2"

        run(scenario)


class TestCredit:
    def test_a_request_that_waits_holds_no_credit(self):
        """The credit of an organisation near its end is for requests that run."""

        async def scenario(harness, room, gate):
            await asyncio.sleep(0.05)
            request = make_request(STREAM, SIZE)
            waiting = asyncio.create_task(harness.serve(request))
            await asyncio.sleep(0.05)
            assert not harness.ledger.get_organisation("atelier").account.held
            _, refusal = await waiting
            assert refusal.reason is Reason.DEADLINE
            assert harness.ended[0][0].charge.tokens == 0

        run(scenario, [make_route(STREAM, timeout=0.3)], prepaid=1_000)

import asyncio

import pytest

from kingcuphead.admission import AdmissionGate, QueueBounds
from kingcuphead.dispatch import DispatchSettings, PlacementRequest, ServiceLoad
from kingcuphead.forwarding import PromptSize
from kingcuphead.forwarding.tests._harness import STREAM, make_request, make_route, run
from kingcuphead.forwarding.tests._target import ScriptedTarget
from kingcuphead.routing import EngineProfile, Service
from kingcuphead.timing import get_time
from kingcuphead.verdict import Reason

CAPACITY = 1_000
SERVICES = {"pool": Service("pool", 100, EngineProfile(16, CAPACITY, 1))}
SETTINGS = DispatchSettings("z", has_contended_engines=True)


class RoomForAll:
    """A dispatcher's view that doesn't know the memory of targets."""

    def has_room(self, request, candidates, now):
        return True

    def accepts_on_old_reports(self, request, candidates, now):
        return True

    def describe_load(self, request, candidates):
        return ServiceLoad(places=32, own=0, others=0, daemons=1)

    def count_own(self, candidates):
        return 0


class TestMemoryOfEngines:
    """An engine that holds more than its memory crashes with all its requests."""

    @pytest.mark.parametrize(
        "prompt_tokens, held_tokens, reason",
        [
            (990, 0, Reason.REQUEST_TOO_LARGE),
            (500, 700, Reason.TARGETS_CLOSED),
        ],
    )
    def test_a_request_without_memory_is_refused_as_not_run(
        self, prompt_tokens, held_tokens, reason
    ):
        async def scenario(harness):
            harness.dispatcher.apply_services(SERVICES)
            targets = harness.directory.list_usable("pool")
            for target in targets if held_tokens else ():
                request = make_size_request(held_tokens)
                assert harness.dispatcher.place(request, [target], (), 0.0)
            size = PromptSize(prompt_tokens, 20, ())
            caller, refusal = await harness.serve(make_request(STREAM, size))
            assert (refusal.status, refusal.reason) == (503, reason)
            assert refusal.retry_after > 0
            assert not caller.status
            [(context, _)] = harness.ended
            assert not context.records

        run([make_route(STREAM)], scenario, dispatch_settings=SETTINGS)

    def test_a_request_that_no_engine_has_memory_for_waits_until_one_has(self):
        """It was admitted by older reports; a refusal would cost the caller a retry."""

        async def scenario(harness):
            harness.dispatcher.apply_services(SERVICES)
            placements = [
                harness.dispatcher.place(make_size_request(700), [target], (), 0.0)
                for target in harness.directory.list_usable("pool")
            ]
            steps = harness.first.stream([1, 2])
            for target in (harness.first, harness.second):
                target.script = [steps]
            size = PromptSize(500, 20, ())
            serving = asyncio.create_task(harness.serve(make_request(STREAM, size)))
            await asyncio.sleep(0.2)
            assert not serving.done()
            for placement in placements:
                harness.dispatcher.withdraw(placement)
            caller, refusal = await serving
            assert refusal is None
            assert caller.end == "finished"

        run(
            [make_route(STREAM)],
            scenario,
            dispatch_settings=SETTINGS,
            admission=AdmissionGate(RoomForAll(), QueueBounds()),
        )

    def test_a_request_that_waits_for_memory_is_refused_before_its_deadline(self):
        async def scenario(harness):
            harness.dispatcher.apply_services(SERVICES)
            for target in harness.directory.list_usable("pool"):
                request = make_size_request(700)
                assert harness.dispatcher.place(request, [target], (), 0.0)
            size = PromptSize(500, 20, ())
            caller, refusal = await harness.serve(make_request(STREAM, size))
            assert (refusal.status, refusal.reason) == (503, Reason.TARGETS_CLOSED)
            [(context, _)] = harness.ended
            assert get_time() < context.deadline
            assert not caller.status

        run(
            [make_route(STREAM, timeout=0.3)],
            scenario,
            dispatch_settings=SETTINGS,
            admission=AdmissionGate(RoomForAll(), QueueBounds()),
        )

    def test_the_first_event_ends_the_pending_prefill(self):
        """Pending tokens of whole streams would keep requests away from engines."""

        async def scenario(harness):
            harness.dispatcher.apply_services(SERVICES)
            steps = harness.first.stream([1, 2], is_complete=False)
            for target in (harness.first, harness.second):
                target.script = [[*steps, 0.3, ScriptedTarget.RESET]]
            size = PromptSize(100, 20, ())
            serving = asyncio.create_task(harness.serve(make_request(STREAM, size)))
            await asyncio.sleep(0.15)
            [load] = harness.dispatcher.list_loads()
            assert (load.running, load.unread_tokens) == (1, 0)
            assert load.memory_tokens == 120
            await serving
            assert not list(harness.dispatcher.list_loads())

        run([make_route(STREAM)], scenario, dispatch_settings=SETTINGS)


def make_size_request(tokens):
    return PlacementRequest("pool", (), tokens)

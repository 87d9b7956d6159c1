import asyncio

import pytest

from kingcuphead.dispatch import DispatchSettings, PlacementRequest
from kingcuphead.forwarding import PromptSize
from kingcuphead.forwarding.tests._harness import STREAM, make_request, make_route, run
from kingcuphead.forwarding.tests._target import ScriptedTarget
from kingcuphead.routing import EngineProfile, Service
from kingcuphead.verdict import Reason

CAPACITY = 1_000
SERVICES = {"pool": Service("pool", 100, EngineProfile(16, CAPACITY, 1))}
SETTINGS = DispatchSettings("z", has_contended_engines=True)


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

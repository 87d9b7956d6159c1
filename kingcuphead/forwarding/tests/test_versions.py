import dataclasses

import pytest

from kingcuphead.forwarding.tests._harness import (
    IDEMPOTENT,
    STREAM,
    make_request,
    make_route,
    run,
)
from kingcuphead.forwarding.tests._target import ScriptedTarget
from kingcuphead.resumption import BegunStream, StreamOrigin
from kingcuphead.verdict import Reason


def upgrade(harness, target):
    """Change the entry of a target to a newer version of its software."""
    for entry in harness.directory.list_usable("pool"):
        if entry.name == target.name:
            newer = dataclasses.replace(entry, software_version="v2")
            list(harness.directory.put(newer))


class TestStreamThatACallerTakesUp:
    @pytest.mark.parametrize("begun_at", ["t1", "t2"])
    def test_it_goes_on_at_the_version_that_began_it(self, begun_at):
        async def scenario(harness):
            upgrade(harness, harness.second)
            await harness.resumption.synchronise()
            versions = {"t1": "v1", "t2": "v2"}
            stream = BegunStream("r0", "pool", versions[begun_at])
            harness.resumption.record_start(stream)
            targets = {"t1": harness.first, "t2": harness.second}
            target = targets[begun_at]
            target.script = [target.stream([3, 4])]
            request = make_request(STREAM, resumed_id="r0", resume_after=2)
            caller, _ = await harness.serve(request)
            assert (caller.body.count(b"id:"), caller.end) == (2, "finished")
            assert target.received[0].get_header("Last-Event-Id") == "2"

        run([make_route(STREAM, resumable=True)], scenario)

    @pytest.mark.parametrize("resumed_id", ["r0", ""])
    def test_it_is_refused_as_not_run_if_nobody_knows_its_origin(self, resumed_id):
        async def scenario(harness):
            upgrade(harness, harness.second)
            await harness.resumption.synchronise()
            request = make_request(STREAM, resumed_id=resumed_id, resume_after=2)
            _, refusal = await harness.serve(request)
            assert (refusal.status, refusal.reason) == (503, Reason.STREAM_UNKNOWN)
            assert refusal.retry_after
            assert not harness.first.received
            assert not harness.second.received

        run([make_route(STREAM, resumable=True)], scenario)

    def test_it_is_refused_with_a_time_if_no_target_of_its_version_is_left(self):
        async def scenario(harness):
            harness.resumption.record_start(BegunStream("r0", "pool", "v0"))
            request = make_request(STREAM, resumed_id="r0", resume_after=2)
            _, refusal = await harness.serve(request)
            assert (refusal.status, refusal.reason) == (503, Reason.NO_TARGET)
            assert refusal.retry_after

        run([make_route(STREAM, resumable=True)], scenario)

    def test_streams_of_callers_that_name_no_try_are_kept_apart(self):
        async def scenario(harness):
            await harness.resumption.synchronise()
            harness.first.script = [harness.first.stream([3, 4])]
            await harness.serve(make_request(STREAM, resume_after=2))
            upgrade(harness, harness.second)
            assert await harness.resumption.find_origin("", ["pool"]) is None

        run([make_route(STREAM, resumable=True)], scenario)

    def test_a_stream_that_goes_on_keeps_the_id_of_its_first_try(self):
        async def scenario(harness):
            await harness.resumption.synchronise()
            harness.first.script = [harness.first.stream([3, 4])]
            request = make_request(STREAM, resumed_id="r0", resume_after=2)
            await harness.serve(request)
            upgrade(harness, harness.second)
            origin = await harness.resumption.find_origin("r0", ["pool"])
            assert origin == StreamOrigin("v1", "pool")

        run([make_route(STREAM, resumable=True)], scenario)


class TestStreamWithinOneAnswer:
    def test_a_stream_is_not_resumed_at_another_version(self):
        async def scenario(harness):
            upgrade(harness, harness.second)
            steps = harness.first.stream([1, 2], is_complete=False)
            harness.first.script = [[*steps, 0.05, ScriptedTarget.RESET]]
            caller, refusal = await harness.serve(make_request(STREAM))
            assert (caller.end, refusal) == ("aborted", None)
            assert not harness.second.received

        run([make_route(STREAM, resumable=True)], scenario)

    def test_a_stream_without_an_event_begins_at_any_version(self):
        async def scenario(harness):
            upgrade(harness, harness.second)
            head = harness.first.stream([], is_complete=False)
            harness.first.script = [[*head, 0.05, ScriptedTarget.RESET]]
            harness.second.script = [harness.second.stream([1, 2])]
            caller, _ = await harness.serve(make_request(STREAM))
            assert (caller.body.count(b"id:"), caller.end) == (2, "finished")

        run([make_route(STREAM, resumable=True)], scenario)

    def test_a_stream_that_stalls_is_not_abandoned_for_another_version(self):
        async def scenario(harness):
            upgrade(harness, harness.second)
            steps = harness.first.stream([1], is_complete=False)
            rest = harness.first.stream([2], head=False)
            harness.first.script = [[*steps, 1.2, *rest]]
            caller, _ = await harness.serve(make_request(STREAM))
            assert (caller.body.count(b"id:"), caller.end) == (2, "finished")

        run([make_route(STREAM, resumable=True, timeout=5.0)], scenario)

    def test_other_answers_are_retried_at_any_version(self):
        async def scenario(harness):
            upgrade(harness, harness.second)
            harness.first.script = [[ScriptedTarget.RESET]]
            harness.second.script = [harness.second.answer()]
            caller, _ = await harness.serve(make_request(IDEMPOTENT))
            assert caller.status == 200

        run([make_route(IDEMPOTENT)], scenario)

import dataclasses

from kingcuphead.forwarding.tests._harness import (
    IDEMPOTENT,
    STREAM,
    make_request,
    make_route,
    run,
)
from kingcuphead.forwarding.tests._target import ScriptedTarget


def upgrade(harness, target):
    """Change the entry of a target to a newer version of its software."""
    for entry in harness.directory.list_usable("pool"):
        if entry.name == target.name:
            newer = dataclasses.replace(entry, software_version="v2")
            list(harness.directory.put(newer))


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

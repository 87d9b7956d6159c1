import pytest
from loguru import logger

from kingcuphead.forwarding.tests._harness import (
    IDEMPOTENT,
    ONCE,
    make_request,
    make_route,
    run,
)
from kingcuphead.forwarding.tests._target import ScriptedTarget
from kingcuphead.logs import ALLOWED_FIELDS


class TestRequestLine:
    def test_every_field_reaches_the_log(self):
        """A field that isn't on the list of allowed ones is left out of the line."""
        fields = set()

        async def scenario(harness):
            harness.first.script = [[ScriptedTarget.CRASH]]
            harness.second.script = [harness.second.answer()]
            await harness.serve(make_request(IDEMPOTENT))

        sink = logger.add(lambda message: fields.update(message.record["extra"]))
        try:
            run([make_route(IDEMPOTENT)], scenario)
        finally:
            logger.remove(sink)
        assert {"fingerprint", "answers"} <= fields
        assert fields - {"line", "fields"} <= ALLOWED_FIELDS


class TestAttemptEntry:
    """Guards against entries that can't tell whose refusal an attempt ended with."""

    @pytest.mark.parametrize(
        ("lines", "entry"),
        [
            (["Attempt-Id: @id", "Not-Executed: 1"], "id=own stated=not_run"),
            (["Attempt-Id: r0", "Not-Executed: 1"], "id=other stated=not_run"),
            (["Not-Executed: 1"], "id=none stated=not_run"),
            (["Attempt-Id: @id"], "id=own"),
        ],
    )
    def test_a_refusal_on_a_kept_connection(self, lines, entry):
        async def scenario(harness):
            refusal = "\r\n".join(["HTTP/1.1 503 Busy", *lines, "Content-Length: 0"])
            harness.first.script = [
                harness.first.answer(),
                [refusal.encode() + b"\r\n\r\n"],
            ]
            harness.second.script = [harness.second.answer()]
            for request_id in ("r1", "r2"):
                await harness.serve(make_request(ONCE, request_id=request_id))
            context, _ = harness.ended[-1]
            first = str(context.records[0])
            assert f"earlier=1 status=503 {entry} " in first

        run([make_route(ONCE)], scenario)

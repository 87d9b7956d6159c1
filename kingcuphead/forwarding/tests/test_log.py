from loguru import logger

from kingcuphead.forwarding.tests._harness import (
    IDEMPOTENT,
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

import asyncio

import pytest

from kingcuphead.forwarding._attempt import MAX_ANSWER_BYTES
from kingcuphead.forwarding.tests._harness import (
    IDEMPOTENT,
    ONCE,
    STREAM,
    make_request,
    make_route,
    run,
)
from kingcuphead.forwarding.tests._target import Endless
from kingcuphead.verdict import Reason

HEAD = b"HTTP/1.1 200 OK\r\nAttempt-Id: @id\r\nResponse-Seal: s\r\n"
BLOCK = b"x" * 65_536
#: Bytes that may be on their way in the buffers of both sides.
IN_FLIGHT = 8 * 1024 * 1024


class TestEndlessAnswers:
    """Targets that send bytes until the daemon closes the connection."""

    @pytest.mark.parametrize("kind", [ONCE, STREAM])
    @pytest.mark.parametrize(
        "steps",
        [
            [Endless(BLOCK)],
            [b"HTTP/1.1 200 OK\r\n", Endless(b"A: " + BLOCK[:100] + b"\r\n")],
            [Endless(b"HTTP/1.1 100 Continue\r\n\r\n")],
            [HEAD + b"\r\n", Endless(BLOCK)],
            [
                HEAD + b"Transfer-Encoding: chunked\r\n\r\n",
                Endless(b"10000\r\n" + BLOCK + b"\r\n"),
            ],
            [HEAD + b"Transfer-Encoding: chunked\r\n\r\n", Endless(BLOCK)],
            [HEAD + b"Content-Length: 99999999999\r\n\r\n", Endless(BLOCK)],
        ],
        ids=["junk", "head", "interim", "unframed", "chunked", "no chunk", "length"],
    )
    def test_bytes_without_end_end_the_attempt(self, kind, steps):
        async def scenario(harness):
            harness.first.script = [steps]
            caller, refusal = await harness.serve(make_request(kind))
            assert (refusal.status, refusal.reason) == (502, Reason.TARGET_FAILED)
            assert caller.body == b""
            assert harness.first.endless_bytes <= MAX_ANSWER_BYTES + IN_FLIGHT
            await asyncio.sleep(0.05)
            sent = harness.first.endless_bytes
            await asyncio.sleep(0.05)
            assert harness.first.endless_bytes == sent

        run([make_route(kind)], scenario)

    def test_another_target_answers_instead(self):
        async def scenario(harness):
            harness.first.script = [[HEAD + b"\r\n", Endless(BLOCK)]]
            harness.second.script = [harness.second.answer()]
            caller, _ = await harness.serve(make_request(IDEMPOTENT))
            assert (caller.status, caller.body) == (200, b"whole")

        run([make_route(IDEMPOTENT)], scenario)

    def test_many_of_them_share_one_bound(self):
        async def scenario(harness):
            count = 40
            harness.first.script = [[HEAD + b"\r\n", Endless(BLOCK)]] * count
            harness.second.script = [[HEAD + b"\r\n", Endless(BLOCK)]] * count
            tries = [harness.serve(make_request(ONCE)) for _ in range(count)]
            served = await asyncio.gather(*tries)
            assert all(refusal.status == 502 for _, refusal in served)
            assert harness.memory.peak <= harness.memory.limit
            assert harness.memory.used == 0

        run([make_route(ONCE, timeout=10.0)], scenario)


class TestEndlessBytesOnIdleConnections:
    """Guards against bytes that each idle connection holds until it expires."""

    def test_a_connection_closes_at_the_first_byte_that_belongs_to_no_request(self):
        async def scenario(harness):
            targets = harness.first, harness.second
            for target in targets:
                script = [*target.answer(), 0.1, Endless(BLOCK)]
                target.script = [script] * 8
            tries = [harness.serve(make_request(ONCE)) for _ in range(8)]
            served = await asyncio.gather(*tries)
            assert [caller.body for caller, _ in served] == [b"whole"] * 8
            await asyncio.sleep(0.5)
            sent = [target.endless_bytes for target in targets]
            assert 0 < sum(sent) <= 8 * IN_FLIGHT
            assert not any(harness.pool._idle.values())
            for target in targets:
                target.script = [target.answer(body=b"next")]
            caller, _ = await harness.serve(make_request(ONCE))
            assert caller.body == b"next"
            assert [target.endless_bytes for target in targets] == sent

        run([make_route(ONCE)], scenario)

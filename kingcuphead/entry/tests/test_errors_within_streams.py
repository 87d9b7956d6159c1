import asyncio

import pytest

from kingcuphead.entry.tests._cut import TargetCut
from kingcuphead.entry.tests._fleet import Fleet
from kingcuphead.entry.tests._target import BreakingTarget, StreamingTarget

EVENTS = b"id: 1\ndata: v1\n\nid: 2\ndata: v1\n\n"
STREAM_HEAD = (
    b"HTTP/1.1 200 OK\r\nAttempt-Id: @id\r\nResponse-Seal: s\r\n"
    b"Content-Type: text/event-stream\r\n"
)
#: What a target answers to a request that resumes a stream.
ERRORS = {
    "error": b"HTTP/1.1 500 Error\r\nAttempt-Id: @id\r\nResponse-Seal: s\r\n\r\nno\n\n",
    "error event": STREAM_HEAD + b"\r\ndata: error\n\n",
    "head within the stream": (
        STREAM_HEAD + b"\r\nHTTP/1.1 500 Error\r\nContent-Length: 2\r\n\r\nno"
    ),
    "head within an event": (
        STREAM_HEAD + b"\r\nid: 3\ndaHTTP/1.1 500 Error\r\nContent-Length: 2\r\n\r\nno"
    ),
    "empty stream": STREAM_HEAD + b"Content-Length: 0\r\n\r\n",
    "no content": b"HTTP/1.1 204 No\r\nAttempt-Id: @id\r\nResponse-Seal: s\r\n\r\n",
}


def run(scenario, target_class, *options, **fleet_options):
    def make_targets(register):
        return [
            target_class(f"t{number}", "v1", register, *options) for number in range(3)
        ]

    async def main():
        fleet = Fleet(make_targets, kind="streaming", **fleet_options)
        async with asyncio.timeout(30), fleet:
            await scenario(fleet)

    asyncio.run(main())


def join_chunks(body):
    """Return the content of chunks, and whether the last chunk is among them."""
    content = b""
    while body:
        size, _, body = body.partition(b"\r\n")
        length = int(size, 16)
        content += body[:length]
        assert body[length : length + 2] == b"\r\n"
        body = body[length + 2 :]
        if not length:
            return content + body, True
    return content, False


class TestBytesOfAStreamThatBreaksOff:
    """Guards against errors that callers get as a part of their stream."""

    @pytest.mark.parametrize("is_tunnelled", [False, True], ids=["direct", "tunnel"])
    @pytest.mark.parametrize("name", ERRORS)
    def test_they_are_events_without_an_end(self, name, is_tunnelled):
        async def scenario(fleet):
            with TargetCut(fleet, (1,) if is_tunnelled else (), is_hanging=False):
                if is_tunnelled:
                    # Failures to connect show the daemon that its path is lost.
                    for _ in range(4):
                        await fleet.read_bytes(1)
                before = sum(target.resumptions for target in fleet.targets)
                received, _ = await fleet.read_bytes(1)
            head, _, body = received.partition(b"\r\n\r\n")
            assert head.startswith(b"HTTP/1.1 200")
            assert join_chunks(body) == (EVENTS, False)
            assert sum(target.resumptions for target in fleet.targets) > before

        run(scenario, BreakingTarget, ERRORS[name], is_resumable=True)


class TestCallersWithoutChunks:
    """Guards against a close that a caller of HTTP/1.0 takes for the end."""

    LINES = ((), ("Connection: keep-alive",))

    @pytest.mark.parametrize("lines", LINES)
    def test_a_stream_that_breaks_off_is_reset(self, lines):
        async def scenario(fleet):
            received, is_reset = await fleet.read_bytes(1, "HTTP/1.0", lines)
            assert received.count(b"id: ") == 2
            assert is_reset

        run(scenario, BreakingTarget)

    @pytest.mark.parametrize("lines", LINES)
    def test_a_complete_stream_ends_with_its_connection(self, lines):
        async def scenario(fleet):
            async with asyncio.timeout(2):
                received, is_reset = await fleet.read_bytes(1, "HTTP/1.0", lines)
            assert received.count(b"id: ") == 6
            assert not is_reset

        run(scenario, StreamingTarget)

    def test_a_stream_is_reset_when_the_daemon_ends(self):
        async def scenario(fleet):
            reading = asyncio.create_task(fleet.read_bytes(1, "HTTP/1.0"))
            await asyncio.sleep(0.05)
            await fleet.kill_daemons([1])
            received, is_reset = await reading
            assert received.count(b"id: ") < 6
            assert is_reset

        run(scenario, StreamingTarget)

import asyncio
import functools

import pytest
from tornado.httputil import HTTPHeaders
from tornado.iostream import StreamClosedError

from kingcuphead.capacity import CallerConnections
from kingcuphead.entry._caller_server import CallerServer
from kingcuphead.forwarding import RequestForwarder, RequestMemory, refuse
from kingcuphead.routing import CallerLimits
from kingcuphead.verdict import Reason


class EchoForwarder(RequestForwarder):
    """Answers each request with its body, or waits until it is cancelled."""

    def __init__(self):
        self.served = []
        self.is_waiting = False
        self.resume = None
        self.cancelled = asyncio.Event()

    async def serve(self, request, caller):
        self.served.append(request)
        if self.is_waiting:
            try:
                await asyncio.sleep(60)
            finally:
                self.cancelled.set()
        headers = request.headers.copy()
        headers["Content-Length"] = str(len(request.body))
        caller.start(200, headers)
        body = request.body
        if self.resume is not None:
            # The head is sent with the first part of the body.
            caller.send(body[:1])
            await self.resume.wait()
            body = body[1:]
        caller.send(body)
        caller.finish()


class ScriptedForwarder(RequestForwarder):
    """Serves each request with a function."""

    def __init__(self, serve):
        self._serve = serve

    async def serve(self, request, caller):
        return await self._serve(caller)


def run(scenario, make_forwarder=EchoForwarder):
    async def main():
        forwarder = make_forwarder()
        server = CallerServer(forwarder, RequestMemory(), CallerConnections())
        server.apply_limits(CallerLimits(body_bytes=1_000))
        server.listen("127.0.0.1", 0)
        (socket,) = server._server._sockets.values()
        reader, writer = await asyncio.open_connection(*socket.getsockname())
        try:
            async with asyncio.timeout(5):
                await scenario(forwarder, server, reader, writer)
        finally:
            writer.close()
            server.stop_listening()
            await server.close()

    asyncio.run(main())


def make_request(*headers, body=b"hello", uri="/a/b?c=%2f"):
    lines = [f"POST {uri} HTTP/1.1", "Host: h", "Attempt-Id: r1", *headers]
    if not any("coding" in each or "ength" in each for each in headers):
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class TestCallerServer:
    @pytest.mark.parametrize(
        "request_bytes",
        [
            make_request(),
            make_request(
                "Transfer-Encoding: chunked", body=b"2\r\nhe\r\n3\r\nllo\r\n0\r\n\r\n"
            ),
        ],
    )
    def test_bodies_are_read_to_their_end(self, request_bytes):
        async def scenario(forwarder, server, reader, writer):
            writer.write(request_bytes)
            head = await reader.readuntil(b"\r\n\r\n")
            assert head.startswith(b"HTTP/1.1 200")
            assert forwarder.served[0].body == b"hello"
            assert forwarder.served[0].uri == "/a/b?c=%2f"

        run(scenario)

    @pytest.mark.parametrize(
        "request_bytes",
        [
            make_request("Content-Length: 5", "Content-Length: 6"),
            make_request("Content-Length: 5", "Transfer-Encoding: chunked"),
            make_request("Content-Length: +5"),
            make_request("Transfer-Encoding: chunked, identity"),
            make_request("Content-Length: 5000"),
            make_request(body=b"").replace(b"Attempt-Id: r1\r\n", b""),
        ],
    )
    def test_ambiguous_or_invalid_requests_are_not_served(self, request_bytes):
        async def scenario(forwarder, server, reader, writer):
            writer.write(request_bytes)
            answer = await reader.read(100)
            assert b"200" not in answer
            assert not forwarder.served

        run(scenario)

    def test_a_closed_connection_cancels_its_request(self):
        async def scenario(forwarder, server, reader, writer):
            forwarder.is_waiting = True
            writer.write(make_request())
            while not forwarder.served:
                await asyncio.sleep(0.01)
            writer.close()
            await asyncio.wait_for(forwarder.cancelled.wait(), 0.5)

        run(scenario)

    def test_answers_during_shutdown_close_the_connection(self):
        async def scenario(forwarder, server, reader, writer):
            server.announce_close()
            writer.write(make_request())
            head = await reader.readuntil(b"\r\n\r\n")
            assert b"Connection: close" in head

        run(scenario)

    def test_requests_after_the_port_is_closed_are_refused_as_not_run(self):
        """Guards against accepting a request that can't be answered before the exit.

        A request on a persistent connection was accepted 7 s after SIGTERM, then cut
        off when the process ended (found with mix --seed 950701704296).
        """

        async def scenario(forwarder, server, reader, writer):
            writer.write(make_request())
            await reader.readuntil(b"\r\n\r\n")
            await reader.readexactly(5)
            server.announce_close()
            server.stop_listening()
            writer.write(make_request())
            head = await reader.readuntil(b"\r\n\r\n")
            assert head.startswith(b"HTTP/1.1 503")
            assert b"Retry-After" in head
            assert len(forwarder.served) == 1

        run(scenario)


async def read_answer(reader):
    """Return the head of an answer to `make_request`."""
    head = await reader.readuntil(b"\r\n\r\n")
    assert await reader.readexactly(5) == b"hello"
    return head


class TestClosedConnections:
    def test_a_marked_connection_closes_after_its_next_answer(self):
        async def scenario(forwarder, server, reader, writer):
            writer.write(make_request())
            assert b"Connection: close" not in await read_answer(reader)
            assert server._connections.mark(1.0) == 1
            writer.write(make_request())
            assert b"Connection: close" in await read_answer(reader)
            assert await reader.read(1) == b""
            while server._connections.closed != 1:
                await asyncio.sleep(0.01)
            assert server._connections.marked_count == 0

        run(scenario)

    def test_an_idle_connection_stays_open(self):
        """Guards against closing a connection that a request is on the way on."""

        async def scenario(forwarder, server, reader, writer):
            writer.write(make_request())
            await read_answer(reader)
            server._connections.mark(1.0)
            with pytest.raises(TimeoutError):
                async with asyncio.timeout(0.2):
                    await reader.read(1)

        run(scenario)

    def test_an_answer_that_has_begun_is_not_cut(self):
        async def scenario(forwarder, server, reader, writer):
            forwarder.resume = asyncio.Event()
            writer.write(make_request())
            head = await reader.readuntil(b"\r\n\r\n")
            assert b"Connection: close" not in head
            server._connections.mark(1.0)
            forwarder.resume.set()
            assert await reader.readexactly(5) == b"hello"
            writer.write(make_request())
            assert b"Connection: close" in await read_answer(reader)
            assert await reader.read(1) == b""

        run(scenario)

    def test_requests_and_answers_are_counted(self):
        async def scenario(forwarder, server, reader, writer):
            writer.write(make_request(body=b"x" * 900))
            await reader.readuntil(b"x" * 900)
            (connection,) = server._connections._connections.values()
            assert 1_800 <= connection.recent_bytes <= 4_000
            assert connection.caller == "127.0.0.1"

        run(scenario)


def begin(caller):
    caller.start(200, HTTPHeaders())
    caller.send(b"event")


async def refuse_after_begin(caller):
    begin(caller)
    return refuse(502, Reason.TARGET_FAILED)


async def start_again(caller):
    begin(caller)
    caller.start(500, HTTPHeaders())
    caller.send(b"error")
    caller.finish()


async def lose_target(caller):
    begin(caller)
    raise StreamClosedError


async def fail(caller):
    begin(caller)
    raise RuntimeError


async def cancel(caller):
    begin(caller)
    raise asyncio.CancelledError


class TestAnswersThatHaveBegun:
    @pytest.mark.parametrize(
        "serve", [refuse_after_begin, start_again, lose_target, fail, cancel]
    )
    @pytest.mark.parametrize("version", [b"HTTP/1.1", b"HTTP/1.0"])
    def test_nothing_follows_and_they_look_incomplete(self, serve, version):
        """Guards against a refusal, or a second head, in the middle of a stream."""

        async def scenario(forwarder, server, reader, writer):
            writer.write(make_request().replace(b"HTTP/1.1", version))
            head = await reader.readuntil(b"\r\n\r\n")
            assert head.startswith(b"HTTP/1.1 200")
            body = b""
            try:
                async with asyncio.timeout(1):
                    while block := await reader.read(100):
                        body += block
                is_reset = False
            except ConnectionResetError:
                is_reset = True
            assert is_reset is (version == b"HTTP/1.0")
            assert body == (b"event" if is_reset else b"5\r\nevent\r\n")

        run(scenario, functools.partial(ScriptedForwarder, serve))

    def test_a_whole_one_without_chunks_that_is_not_sent_is_reset(self):
        async def serve(caller):
            begin(caller)
            caller.send(b"x" * 20_000_000)
            caller.finish()

        async def scenario(forwarder, server, reader, writer):
            writer.write(make_request().replace(b"HTTP/1.1", b"HTTP/1.0"))
            await reader.readuntil(b"event")
            await server.close()
            with pytest.raises(ConnectionResetError):
                while await reader.read(1_000_000):
                    pass

        run(scenario, functools.partial(ScriptedForwarder, serve))

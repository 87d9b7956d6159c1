"""Tests of the HTTP server for callers over a real connection."""

import asyncio
import json
from typing import cast

import pytest
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets

from kingcuphead.daemon._caller_handlers import (
    CallerServerSettings,
    HttpCaller,
    make_caller_application,
)
from kingcuphead.pipeline import Gateway, Received

LOOPBACK = "127.0.0.1"
MAX_BODY_BYTES = 1024
#: Timeout in seconds for each wait of a test.
TIMEOUT = 10.0
HEAD = "POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\n"
CHUNKED = f"{HEAD}Transfer-Encoding: chunked\r\n\r\n"


class FakeGateway:
    """Records requests; answers them, or blocks until it is cancelled."""

    def __init__(self, blocks: bool = False) -> None:
        self._blocks = blocks
        self.received: list[Received] = []
        self.started = asyncio.Event()
        self.cancelled = asyncio.Event()

    async def serve_chat(self, received: Received, caller: HttpCaller) -> None:
        self.received.append(received)
        self.started.set()
        try:
            if self._blocks:
                await asyncio.Event().wait()
        except asyncio.CancelledError:
            self.cancelled.set()
            raise
        await caller.start(200, {"Content-Type": "application/json"})
        await caller.write(b"{}")
        await caller.finish()


class Connection:
    """Connection of a caller to a server with a fake gateway."""

    def __init__(self, gateway: FakeGateway) -> None:
        application = make_caller_application(
            cast(Gateway, gateway), CallerServerSettings(MAX_BODY_BYTES)
        )
        self._server = HTTPServer(application)

    async def open(self) -> None:
        sockets = bind_sockets(0, LOOPBACK)
        self._server.add_sockets(sockets)
        port = sockets[0].getsockname()[1]
        self._reader, self._writer = await asyncio.open_connection(LOOPBACK, port)

    def send(self, content: str) -> None:
        self._writer.write(content.encode())

    async def read_head(self) -> str:
        head = await asyncio.wait_for(self._reader.readuntil(b"\r\n\r\n"), TIMEOUT)
        return head.decode()

    async def read_rest(self) -> bytes:
        return await asyncio.wait_for(self._reader.read(), TIMEOUT)

    async def close(self) -> None:
        self._writer.close()
        await self._writer.wait_closed()
        self._server.stop()


def make_chunk(size_bytes: int) -> str:
    return f"{size_bytes:x}\r\n{'x' * size_bytes}\r\n"


class TestBodySize:
    def test_chunks_within_the_limit_are_served(self) -> None:
        async def run() -> tuple[str, FakeGateway]:
            gateway = FakeGateway()
            connection = Connection(gateway)
            await connection.open()
            connection.send(CHUNKED + make_chunk(512) + make_chunk(512) + "0\r\n\r\n")
            head = await connection.read_head()
            await connection.close()
            return head, gateway

        head, gateway = asyncio.run(run())
        assert head.startswith("HTTP/1.1 200 ")
        assert [len(received.body) for received in gateway.received] == [MAX_BODY_BYTES]

    @pytest.mark.parametrize(
        "request_text",
        [
            CHUNKED + make_chunk(512) + make_chunk(513) + "0\r\n\r\n",
            f"{HEAD}Content-Length: {MAX_BODY_BYTES + 1}\r\n\r\n",
        ],
    )
    def test_larger_body_is_refused_and_not_served(self, request_text: str) -> None:
        async def run() -> tuple[str, bytes, FakeGateway]:
            gateway = FakeGateway()
            connection = Connection(gateway)
            await connection.open()
            connection.send(request_text)
            head = await connection.read_head()
            rest = await connection.read_rest()
            await connection.close()
            return head, rest, gateway

        head, rest, gateway = asyncio.run(run())
        error = json.loads(rest)["error"]
        assert head.startswith("HTTP/1.1 413 ")
        assert (error["execution"], error["reason"]) == ("not_run", "request_too_large")
        assert gateway.received == []


class TestDisconnect:
    def test_request_is_cancelled(self) -> None:
        async def run() -> None:
            gateway = FakeGateway(blocks=True)
            connection = Connection(gateway)
            await connection.open()
            connection.send(f"{HEAD}Content-Length: 2\r\n\r\n{{}}")
            await asyncio.wait_for(gateway.started.wait(), TIMEOUT)
            await connection.close()
            await asyncio.wait_for(gateway.cancelled.wait(), TIMEOUT)

        asyncio.run(run())

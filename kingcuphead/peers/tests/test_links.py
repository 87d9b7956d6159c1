"""Tests of the connections between daemons."""

import asyncio
import struct

from tornado.iostream import IOStream, StreamClosedError
from tornado.netutil import bind_sockets
from tornado.tcpserver import TCPServer

from kingcuphead.peers import MAX_FRAME_BYTES, Envelope, PeerLinks, PeerServer
from kingcuphead.peers._frames import read_frame

LOOPBACK = "127.0.0.1"
#: Timeout of each wait in seconds.
TIMEOUT = 10.0


class FrameServer(TCPServer):
    """Records received frames and signals when the expected number is reached."""

    def __init__(self, expected: int) -> None:
        super().__init__()
        self._expected = expected
        self.frames: list[bytes] = []
        self.complete = asyncio.Event()

    async def handle_stream(self, stream: IOStream, address: tuple[str, int]) -> None:
        try:
            while True:
                self.frames.append(await read_frame(stream))
                if len(self.frames) == self._expected:
                    self.complete.set()
        except StreamClosedError:
            pass


def bind(server: TCPServer) -> int:
    """Bind the server to a free port and return the port."""
    sockets = bind_sockets(0, LOOPBACK)
    server.add_sockets(sockets)
    port: int = sockets[0].getsockname()[1]
    return port


class TestPeerLinks:
    def test_frames_arrive_in_order(self) -> None:
        sent = [b"", b"x" * 100_000, *(str(number).encode() for number in range(100))]

        async def run() -> list[bytes]:
            server = FrameServer(len(sent))
            address = f"{LOOPBACK}:{bind(server)}"
            links = PeerLinks()
            for payload in sent:
                links.send(address, payload)
            await asyncio.wait_for(server.complete.wait(), TIMEOUT)
            await links.close(TIMEOUT)
            server.stop()
            return server.frames

        assert asyncio.run(run()) == sent

    def test_close_sends_queued_messages(self) -> None:
        async def run() -> list[bytes]:
            server = FrameServer(1)
            links = PeerLinks()
            links.send(f"{LOOPBACK}:{bind(server)}", b"last")
            await links.close(TIMEOUT)
            await asyncio.wait_for(server.complete.wait(), TIMEOUT)
            server.stop()
            return server.frames

        assert asyncio.run(run()) == [b"last"]


class TestPeerServer:
    def test_frame_above_the_limit_closes_the_connection(self) -> None:
        delivered: list[Envelope] = []

        async def run() -> bytes:
            server = PeerServer(delivered.append)
            reader, writer = await asyncio.open_connection(LOOPBACK, bind(server))
            writer.write(struct.pack(">I", MAX_FRAME_BYTES + 1))
            received = await asyncio.wait_for(reader.read(), TIMEOUT)
            writer.close()
            server.stop()
            return received

        assert asyncio.run(run()) == b""
        assert delivered == []

    def test_invalid_envelope_closes_the_connection(self) -> None:
        delivered: list[Envelope] = []

        async def run() -> bytes:
            server = PeerServer(delivered.append)
            reader, writer = await asyncio.open_connection(LOOPBACK, bind(server))
            writer.write(struct.pack(">I", 3) + b"abc")
            received = await asyncio.wait_for(reader.read(), TIMEOUT)
            writer.close()
            server.stop()
            return received

        assert asyncio.run(run()) == b""
        assert delivered == []

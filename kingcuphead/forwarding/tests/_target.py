"""A target that answers requests with scripted bytes."""

import asyncio
import dataclasses
import socket
import struct

from kingcuphead.targets import Availability, Target

#: Bytes of an endless step after which the daemon runs, which shares the event loop.
#: While the kernel takes them, a write doesn't yield, however many follow.
ENDLESS_BURST_BYTES = 65_536


@dataclasses.dataclass
class Received:
    head: bytes
    body: bytes

    def get_header(self, name: str) -> str:
        for line in self.head.decode().split("\r\n")[1:]:
            key, _, value = line.partition(":")
            if key.lower() == name.lower():
                return value.strip()
        return ""


@dataclasses.dataclass(frozen=True)
class Endless:
    """A step that sends the same bytes until the daemon closes the connection."""

    block: bytes


@dataclasses.dataclass(frozen=True)
class Unaware:
    """A step that waits, without noticing that the daemon closes the connection."""

    seconds: float


class ScriptedTarget:
    """Answers each request with the next list of steps of its script.

    A step is bytes to send, in which `@id` stands for the request's id, or a number of
    seconds to wait. `CLOSE` closes the connection, `RESET` resets it. `CRASH` resets it
    and ends the target; after `CRASH_CLOSED` the connection looks closed.
    """

    CLOSE = "close"
    RESET = "reset"
    CRASH = "crash"
    CRASH_CLOSED = "crash, closed"

    def __init__(self, name="t1", service="pool"):
        self.name = name
        self.software_version = "v1"
        self.service = service
        self.script = []
        self.received = []
        #: Bytes that endless steps have sent.
        self.endless_bytes = 0
        #: Unaware steps that have ended.
        self.unaware_ends = 0
        self.is_cancelled = asyncio.Event()
        self._server = None
        self._writers = set()

    async def start(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()
        return Target(
            self.name,
            self.service,
            f"{host}:{port}",
            "z",
            4,
            Availability.READY,
            1,
            software_version=self.software_version,
        )

    def stop(self):
        if self._server is not None:
            self._server.close()

    def end(self):
        """Close the port and all connections, as the end of a process does."""
        self.stop()
        for writer in self._writers:
            writer.transport.abort()

    def answer(self, status="200 OK", body=b"whole", *headers):
        """Return the steps of a complete answer."""
        lines = [f"HTTP/1.1 {status}", "Attempt-Id: @id", "Response-Seal: s", *headers]
        lines.append(f"Content-Length: {len(body)}")
        return ["\r\n".join(lines).encode() + b"\r\n\r\n" + body]

    def stream(self, event_ids, is_complete=True, head=True):
        """Return the steps of a stream with events of the given ids."""
        steps = []
        if head:
            steps.append(
                b"HTTP/1.1 200 OK\r\nAttempt-Id: @id\r\nResponse-Seal: s\r\n"
                b"Content-Type: text/event-stream\r\n"
                b"Transfer-Encoding: chunked\r\n\r\n"
            )
        for event_id in event_ids:
            event = f"id: {event_id}\ndata: x{event_id}\n\n".encode()
            steps.append(f"{len(event):x}\r\n".encode() + event + b"\r\n")
        if is_complete:
            steps.append(b"0\r\n\r\n")
        return steps

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                received = Received(head, b"")
                length = int(received.get_header("Content-Length") or 0)
                received.body = await reader.readexactly(length)
                self.received.append(received)
                if not await self._run_steps(received, reader, writer):
                    return
        except (asyncio.IncompleteReadError, ConnectionError):
            self.is_cancelled.set()
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _run_steps(self, received, reader, writer):
        request_id = received.get_header("Attempt-Id").encode()
        for step in self.script.pop(0):
            if step in (self.CRASH, self.CRASH_CLOSED):
                self.stop()
            if step in (self.CLOSE, self.CRASH_CLOSED):
                return False
            if step in (self.RESET, self.CRASH):
                # With a linger time of 0 the kernel sends a TCP reset on close.
                linger = struct.pack("ii", 1, 0)
                sock = writer.get_extra_info("socket")
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
                writer.transport.abort()
                return False
            if isinstance(step, Endless):
                await self._send_without_end(writer, step.block)
            if isinstance(step, Unaware):
                await asyncio.sleep(step.seconds)
                self.unaware_ends += 1
                continue
            if isinstance(step, bytes):
                writer.write(step.replace(b"@id", request_id))
                await writer.drain()
            elif await self._wait(reader, step):
                return False
        return True

    async def _send_without_end(self, writer, block):
        """Send a block again and again until the daemon closes the connection."""
        burst = 0
        while True:
            writer.write(block)
            await writer.drain()
            self.endless_bytes += len(block)
            burst += len(block)
            if burst >= ENDLESS_BURST_BYTES:
                burst = 0
                await asyncio.sleep(0)

    async def _wait(self, reader, seconds):
        """Wait; return whether the daemon closed the connection during the wait."""
        try:
            async with asyncio.timeout(seconds):
                await reader.read(1)
        except TimeoutError:
            return False
        self.is_cancelled.set()
        return True

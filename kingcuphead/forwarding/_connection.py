"""One connection to a target, used for one request after the other."""

import asyncio
import contextlib
import dataclasses
import enum
import socket
from collections.abc import AsyncIterator, Callable

from tornado.http1connection import HTTP1Connection, HTTP1ConnectionParameters
from tornado.httputil import (
    HTTPHeaders,
    HTTPMessageDelegate,
    RequestStartLine,
    ResponseStartLine,
)
from tornado.iostream import IOStream, StreamClosedError

#: Largest head of an answer in bytes.
MAX_HEADER_BYTES = 65_536
#: Largest body of an answer in bytes.
MAX_BODY_BYTES = 64 * 1024 * 1024
#: Bytes of an answer that may wait for a slow caller before reading pauses.
BUFFER_BYTES = 262_144
#: Milliseconds without an acknowledgement after which a connection is dead.
UNACKNOWLEDGED_TIMEOUT_MS = 1_000
#: Seconds without traffic before the first keep-alive probe, and between probes.
KEEPALIVE_INTERVAL = 1
#: Unanswered keep-alive probes after which a connection is dead.
KEEPALIVE_PROBES = 1

_PARAMETERS = HTTP1ConnectionParameters(
    max_header_size=MAX_HEADER_BYTES, max_body_size=MAX_BODY_BYTES, decompress=False
)


class AnswerEnd(enum.StrEnum):
    """How the bytes of an answer ended."""

    #: The whole answer came.
    COMPLETE = "complete"
    #: The connection ended cleanly, and nothing else marks the end of the answer.
    CLOSED = "closed"
    #: The connection broke, or what came is no answer.
    BROKEN = "broken"


class TargetStream(IOStream):
    """A byte stream that tells whether something came that nobody has read."""

    @property
    def has_unread_bytes(self) -> bool:
        """Whether bytes wait in the buffer."""
        # Tornado has no public way to ask; a read would block.
        return bool(self._read_buffer_size)


@dataclasses.dataclass(frozen=True, slots=True)
class RawHead:
    """The head of an answer as it came."""

    #: HTTP status.
    status: int
    #: Every header.
    headers: HTTPHeaders


async def connect_to_target(address: str, timeout: float) -> "TargetConnection":
    """Open a connection.

    Parameters
    ----------
    address
        IP number and port.
    timeout
        Seconds that it may take.

    Raises
    ------
    OSError
        No connection; nothing was sent.
    TimeoutError
        The same.
    """
    host, _, port = address.rpartition(":")
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    _set_options(sock)
    stream = TargetStream(sock)
    try:
        async with asyncio.timeout(timeout):
            await stream.connect((host, int(port)))
    except BaseException:
        stream.close()
        raise
    return TargetConnection(stream)


def _set_options(sock: socket.socket) -> None:
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_TIMEOUT_MS
    )
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_INTERVAL)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)


class TargetConnection:
    """A connection with at most one request on it.

    Parameters
    ----------
    stream
        The connected byte stream, owned from now on.
    """

    def __init__(self, stream: TargetStream) -> None:
        self._stream = stream

    @property
    def is_reusable(self) -> bool:
        """Whether it is open and nothing came that belongs to no request."""
        return not self._stream.closed() and not self._stream.has_unread_bytes

    def watch_close(self, callback: Callable[[], None] | None) -> None:
        """Call back when the connection closes while it is idle."""
        self._stream.set_close_callback(callback)

    def send(
        self, method: str, uri: str, headers: HTTPHeaders, body: bytes
    ) -> "TargetAnswer":
        """Send a request; its answer is read from what is returned."""
        protocol = HTTP1Connection(self._stream, True, _PARAMETERS)
        answer = TargetAnswer(self._stream, protocol)
        start_line = RequestStartLine(method, uri, "HTTP/1.1")
        protocol.write_headers(start_line, headers, body or None)
        protocol.finish()
        answer.begin_reading()
        return answer

    def close(self) -> None:
        """Close the connection; its target stops what it does for it."""
        self._stream.close()


class TargetAnswer(HTTPMessageDelegate):
    """The answer to one request, read as it arrives."""

    def __init__(self, stream: TargetStream, protocol: HTTP1Connection) -> None:
        self._stream = stream
        self._protocol = protocol
        self._blocks: list[bytes] = []
        self._waiting_bytes = 0
        self._changed = asyncio.Event()
        self._room: asyncio.Future[None] | None = None
        self._reading: asyncio.Task[None] | None = None
        self._is_unframed = False
        #: The head, once it came.
        self.head: RawHead | None = None
        #: How the answer ended, once it did.
        self.end: AnswerEnd | None = None

    @property
    def is_exchange_over(self) -> bool:
        """Whether the request was sent whole and its answer was read whole."""
        return (
            self.end is AnswerEnd.COMPLETE
            and self._reading is not None
            and self._reading.done()
        )

    def begin_reading(self) -> None:
        """Read the answer in a task of its own."""
        self._reading = asyncio.create_task(self._read())

    def headers_received(
        self,
        start_line: RequestStartLine | ResponseStartLine,
        headers: HTTPHeaders,
    ) -> None:
        """Take the head."""
        if not isinstance(start_line, ResponseStartLine) or start_line.code < 200:
            return
        self._is_unframed = (
            "Content-Length" not in headers and "Transfer-Encoding" not in headers
        )
        self.head = RawHead(start_line.code, headers)
        self._changed.set()

    def data_received(self, chunk: bytes) -> asyncio.Future[None] | None:
        """Take bytes of the body; a future asks the sender to wait."""
        self._blocks.append(chunk)
        self._waiting_bytes += len(chunk)
        self._changed.set()
        if self._waiting_bytes < BUFFER_BYTES:
            return None
        self._room = asyncio.get_running_loop().create_future()
        return self._room

    def finish(self) -> None:
        """Take the end of the body."""
        if not self._is_unframed:
            self._take_end(AnswerEnd.COMPLETE)
        elif self._stream.error is None:
            self._take_end(AnswerEnd.CLOSED)
        else:
            self._take_end(AnswerEnd.BROKEN)

    def on_connection_close(self) -> None:
        """Take the end of a connection in the middle of the answer."""
        self._take_end(AnswerEnd.BROKEN)

    async def wait_head(self) -> RawHead | None:
        """Return the head, or None if the connection broke before it."""
        while self.head is None and self.end is None:
            await self._wait()
        return self.head

    async def read(self) -> bytes:
        """Return the bytes that have come; empty at the end."""
        while not self._blocks and self.end is None:
            await self._wait()
        block = b"".join(self._blocks)
        self._blocks.clear()
        self._waiting_bytes = 0
        if self._room is not None and not self._room.done():
            self._room.set_result(None)
        return block

    async def iterate_blocks(self) -> AsyncIterator[bytes]:
        """Yield the bytes of the body as they come."""
        while block := await self.read():
            yield block

    async def _wait(self) -> None:
        self._changed.clear()
        await self._changed.wait()

    async def _read(self) -> None:
        with contextlib.suppress(StreamClosedError):
            await self._protocol.read_response(self)
        if self.end is None:
            self._take_end(AnswerEnd.BROKEN)

    def _take_end(self, end: AnswerEnd) -> None:
        if self.end is None:
            self.end = end
            self._changed.set()

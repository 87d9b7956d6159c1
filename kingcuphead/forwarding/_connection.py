"""A connection to a target, which serves one request at a time."""

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

from kingcuphead.capacity import LINK_TRAFFIC, MESSAGE_OVERHEAD_BYTES
from kingcuphead.forwarding._messages import Address

#: Largest status line and headers of an answer in bytes.
MAX_HEADER_BYTES = 65_536
#: Largest body of an answer in bytes.
MAX_BODY_BYTES = 64 * 1024 * 1024
#: Unread bytes of an answer from which on reading pauses, for backpressure from a slow
#: caller to the target.
MAX_BUFFERED_BYTES = 262_144
#: Milliseconds that sent data or keep-alive probes may stay unacknowledged before the
#: kernel closes the connection; a sound target may be silent for a second or so.
UNACKNOWLEDGED_TIMEOUT_MS = 2_000
#: Idle seconds before the first TCP keep-alive probe, and seconds between probes.
KEEPALIVE_INTERVAL = 1
#: Unanswered keep-alive probes after which the kernel closes the connection, unless the
#: timeout for unacknowledged data decides.
KEEPALIVE_PROBES = 1

_PARAMETERS = HTTP1ConnectionParameters(
    max_header_size=MAX_HEADER_BYTES, max_body_size=MAX_BODY_BYTES, decompress=False
)


class AnswerEnd(enum.StrEnum):
    """How the body of an answer ended."""

    #: The body was received completely, by its length or its last chunk.
    COMPLETE = "complete"
    #: The target closed the connection cleanly, which alone marks the end of the body.
    CLOSED = "closed"
    #: The connection broke, or the answer is malformed.
    BROKEN = "broken"


class TargetStream(IOStream):
    """A byte stream that exposes whether its read buffer is empty.

    Parameters
    ----------
    sock
        Socket, which this object closes.
    is_tunnel
        Whether another daemon passes on the bytes. The end of that daemon closes the
        connection, too, so a close doesn't mark the end of an answer then.
    """

    def __init__(self, sock: socket.socket, is_tunnel: bool = False) -> None:
        super().__init__(sock)
        #: Whether another daemon passes on the bytes.
        self.is_tunnel = is_tunnel

    @property
    def has_unread_bytes(self) -> bool:
        """Whether received bytes have not been read yet."""
        # Tornado has no public attribute for this, and a read would block.
        return bool(self._read_buffer_size)


@dataclasses.dataclass(frozen=True, slots=True)
class RawHead:
    """Status and headers of an answer as received."""

    #: HTTP status.
    status: int
    #: All headers, hop-by-hop headers included.
    headers: HTTPHeaders


async def connect_to_target(address: str, timeout: float) -> "TargetConnection":
    """Open a connection to a target.

    Parameters
    ----------
    address
        Address as `IP:port`.
    timeout
        Bound in seconds on opening the connection.

    Raises
    ------
    OSError
        The connection could not be opened; nothing was sent.
    TimeoutError
        The connection was not opened in time; nothing was sent.
    """
    host, _, port = address.rpartition(":")
    stream = open_stream()
    try:
        async with asyncio.timeout(timeout):
            await stream.connect((host, int(port)))
    except BaseException:
        stream.close()
        raise
    return TargetConnection(stream)


def open_stream(is_tunnel: bool = False) -> TargetStream:
    """Return a stream that is not connected yet."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    set_socket_options(sock)
    return TargetStream(sock, is_tunnel)


def is_refusal(error: Exception) -> bool:
    """Whether a connection failed because no process listens at the address."""
    cause = error.real_error if isinstance(error, StreamClosedError) else error
    return isinstance(cause, ConnectionRefusedError)


def set_socket_options(sock: socket.socket) -> None:
    """Send without delay, and detect a peer that has gone silent."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_TIMEOUT_MS
    )
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_INTERVAL)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)


class TargetConnection:
    """A connection that carries at most one request at a time.

    Parameters
    ----------
    stream
        Connected byte stream; this object closes it.
    helper
        Address of the daemon that passes on the bytes; None without one.
    """

    def __init__(self, stream: TargetStream, helper: Address | None = None) -> None:
        self._stream = stream
        #: Address of the daemon that passes on the bytes; None without one.
        self.helper = helper

    @property
    def stream(self) -> TargetStream:
        """The byte stream."""
        return self._stream

    @property
    def is_reusable(self) -> bool:
        """Whether it is open and has received no bytes outside of an answer."""
        return not self._stream.closed() and not self._stream.has_unread_bytes

    def set_close_callback(self, callback: Callable[[], None] | None) -> None:
        """Set the function to call when the connection closes; None removes it."""
        self._stream.set_close_callback(callback)

    def send(
        self, method: str, uri: str, headers: HTTPHeaders, body: bytes
    ) -> "TargetAnswer":
        """Send a request and start reading its answer.

        Returns
        -------
        TargetAnswer
            Answer that becomes available while it is received.
        """
        protocol = HTTP1Connection(self._stream, True, _PARAMETERS)
        answer = TargetAnswer(self._stream, protocol)
        start_line = RequestStartLine(method, uri, "HTTP/1.1")
        protocol.write_headers(start_line, headers, body or None)
        protocol.finish()
        LINK_TRAFFIC.record_sent(len(body) + MESSAGE_OVERHEAD_BYTES)
        answer.start_reading()
        return answer

    def close(self) -> None:
        """Close the connection; the target cancels a request that runs on it."""
        self._stream.close()


class TargetAnswer(HTTPMessageDelegate):
    """The answer to one request, received incrementally by a background task."""

    def __init__(self, stream: TargetStream, protocol: HTTP1Connection) -> None:
        self._stream = stream
        self._protocol = protocol
        self._blocks: list[bytes] = []
        self._buffered_bytes = 0
        self._state_changed = asyncio.Event()
        self._buffer_drained: asyncio.Future[None] | None = None
        self._read_task: asyncio.Task[None] | None = None
        self._is_unframed = False
        #: Status and headers; None until they are received.
        self.head: RawHead | None = None
        #: How the body ended; None until then.
        self.end: AnswerEnd | None = None

    @property
    def is_exchange_complete(self) -> bool:
        """Whether the request was sent and its answer received completely."""
        return (
            self.end is AnswerEnd.COMPLETE
            and self._read_task is not None
            and self._read_task.done()
        )

    def start_reading(self) -> None:
        """Start the background task that receives the answer."""
        self._read_task = asyncio.create_task(self._receive())

    def headers_received(
        self,
        start_line: RequestStartLine | ResponseStartLine,
        headers: HTTPHeaders,
    ) -> None:
        """Store the status and headers; informational 1xx answers are ignored."""
        if not isinstance(start_line, ResponseStartLine) or start_line.code < 200:
            return
        self._is_unframed = (
            "Content-Length" not in headers and "Transfer-Encoding" not in headers
        )
        self.head = RawHead(start_line.code, headers)
        self._state_changed.set()

    def data_received(self, chunk: bytes) -> asyncio.Future[None] | None:
        """Buffer bytes of the body.

        Returns
        -------
        asyncio.Future or None
            A future, if the buffer is full; reading pauses until it is done.
        """
        LINK_TRAFFIC.record_received(len(chunk))
        self._blocks.append(chunk)
        self._buffered_bytes += len(chunk)
        self._state_changed.set()
        if self._buffered_bytes < MAX_BUFFERED_BYTES:
            return None
        self._buffer_drained = asyncio.get_running_loop().create_future()
        return self._buffer_drained

    def finish(self) -> None:
        """Record the end of the body."""
        if not self._is_unframed:
            self._record_end(AnswerEnd.COMPLETE)
        elif self._stream.error is None and not self._stream.is_tunnel:
            self._record_end(AnswerEnd.CLOSED)
        else:
            self._record_end(AnswerEnd.BROKEN)

    def on_connection_close(self) -> None:
        """Record that the connection closed before the end of the answer."""
        self._record_end(AnswerEnd.BROKEN)

    async def wait_for_head(self) -> RawHead | None:
        """Wait for the status and headers; None if the connection broke before them."""
        while self.head is None and self.end is None:
            await self._wait_for_change()
        return self.head

    async def read(self) -> bytes:
        """Wait for bytes and return all that are buffered; empty at the end."""
        while not self._blocks and self.end is None:
            await self._wait_for_change()
        block = b"".join(self._blocks)
        self._blocks.clear()
        self._buffered_bytes = 0
        if self._buffer_drained is not None and not self._buffer_drained.done():
            self._buffer_drained.set_result(None)
        return block

    async def iterate_blocks(self) -> AsyncIterator[bytes]:
        """Yield the bytes of the body as they are received."""
        while block := await self.read():
            yield block

    async def _wait_for_change(self) -> None:
        self._state_changed.clear()
        await self._state_changed.wait()

    async def _receive(self) -> None:
        with contextlib.suppress(StreamClosedError):
            await self._protocol.read_response(self)
        if self.end is None:
            self._record_end(AnswerEnd.BROKEN)

    def _record_end(self, end: AnswerEnd) -> None:
        if self.end is None:
            self.end = end
            self._state_changed.set()

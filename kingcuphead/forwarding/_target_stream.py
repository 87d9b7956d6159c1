"""A byte stream to a target, whose reader stays registered until it closes."""

import asyncio
import fcntl
import socket
import struct
import termios
from collections import deque
from collections.abc import Callable
from typing import Protocol, cast

from tornado.iostream import StreamClosedError

#: Unread bytes from which on reading pauses, for backpressure to the sender.
MAX_BUFFERED_BYTES = 262_144
#: Bytes that are passed to the transport at once.
WRITTEN_BYTES = 262_144
#: Milliseconds that sent data or keep-alive probes may stay unacknowledged before the
#: kernel closes the connection; a sound target may be silent for a second or so.
UNACKNOWLEDGED_TIMEOUT_MS = 2_000
#: Idle seconds before the first TCP keep-alive probe, and seconds between probes.
KEEPALIVE_INTERVAL = 1
#: Bytes that are read at once.
READ_BYTES = 65_536
#: Unanswered keep-alive probes after which the kernel closes the connection, unless the
#: timeout for unacknowledged data decides.
KEEPALIVE_PROBES = 1

_READ_BUFFER = memoryview(bytearray(READ_BYTES))
_INT = struct.Struct("i")


class Receiver(Protocol):
    """What takes the bytes of a stream."""

    def receive(self, data: bytes) -> None:
        """Take received bytes."""
        ...

    def handle_close(self, is_clean: bool) -> None:
        """Note the end of the stream.

        Parameters
        ----------
        is_clean
            Whether the target itself closed it, without an error, after it had
            received all that was sent.
        """
        ...


class TargetStream(asyncio.BufferedProtocol):
    """Passes received bytes to a receiver, or keeps them until they are read.

    Parameters
    ----------
    sock
        Socket, which this object closes.
    is_tunnel
        Whether another daemon passes on the bytes. The end of that daemon closes the
        connection, too, so a close doesn't mark the end of an answer then.
    """

    def __init__(self, sock: socket.socket, is_tunnel: bool = False) -> None:
        #: Socket of the connection.
        self.socket = sock
        self._transport: asyncio.Transport | None = None
        self._receiver: Receiver | None = None
        self._buffer = bytearray()
        self._unsent: deque[memoryview] = deque()
        self._max_buffered = MAX_BUFFERED_BYTES
        self._is_closed = False
        self._is_paused = False
        self._is_write_paused = False
        self._changed: asyncio.Future[None] | None = None
        self._drained: asyncio.Future[None] | None = None
        self._close_callback: Callable[[], None] | None = None
        #: Whether another daemon passes on the bytes.
        self.is_tunnel = is_tunnel

    @property
    def has_unread_bytes(self) -> bool:
        """Whether received bytes were not taken by a receiver or a reader."""
        return bool(self._buffer)

    @property
    def has_unsent_bytes(self) -> bool:
        """Whether written bytes have not been passed to the kernel yet."""
        if self._unsent:
            return True
        transport = self._transport
        return transport is not None and transport.get_write_buffer_size() > 0

    def closed(self) -> bool:
        """Whether the stream is closed, by either side."""
        return self._is_closed

    async def connect(self, address: tuple[str, int]) -> None:
        """Open the connection.

        Raises
        ------
        OSError
            The connection could not be opened.
        """
        loop = asyncio.get_running_loop()
        self.socket.setblocking(False)
        await loop.sock_connect(self.socket, address)
        await loop.create_connection(lambda: self, sock=self.socket)

    def set_receiver(self, receiver: Receiver | None) -> None:
        """Pass unread bytes and those that arrive to a receiver; None removes it."""
        self._receiver = receiver
        if receiver is None:
            return
        if self._buffer:
            data = bytes(self._buffer)
            self._buffer.clear()
            receiver.receive(data)
        if self._is_closed:
            receiver.handle_close(is_clean=False)

    def set_close_callback(self, callback: Callable[[], None] | None) -> None:
        """Set the function to call when the stream closes; None removes it."""
        self._close_callback = callback

    def send(self, data: bytes) -> None:
        """Send bytes, and keep what the kernel doesn't take at once.

        The transport copies what it keeps, so it gets a part of them at a time.
        """
        self._unsent.append(memoryview(data))
        self._write_unsent()

    async def write(self, data: bytes) -> None:
        """Send bytes; wait while many are buffered.

        Raises
        ------
        StreamClosedError
            The stream is closed.
        """
        self.send(data)
        while self._is_write_paused and not self._is_closed:
            self._drained = asyncio.get_running_loop().create_future()
            await self._drained
        if self._is_closed:
            raise StreamClosedError

    async def read_bytes(self, size: int, partial: bool = False) -> bytes:
        """Read bytes that no receiver takes.

        Parameters
        ----------
        size
            Number of bytes to read.
        partial
            Whether any smaller number of bytes is enough.

        Raises
        ------
        StreamClosedError
            The stream closed before that.
        """
        while len(self._buffer) < (1 if partial else size):
            if self._is_closed:
                raise StreamClosedError
            self._changed = asyncio.get_running_loop().create_future()
            await self._changed
        data = bytes(self._buffer[:size])
        del self._buffer[:size]
        self.resume_reading()
        return data

    def limit_buffer(self, size: int) -> None:
        """Set the number of unread bytes from which on reading pauses."""
        self._max_buffered = size

    def pause_reading(self) -> None:
        """Leave further bytes to the kernel, for backpressure to the sender."""
        if self._transport is not None and not self._is_closed:
            self._is_paused = True
            self._transport.pause_reading()

    def resume_reading(self) -> None:
        """Go on with reading after a pause."""
        if self._is_paused and self._transport is not None and not self._is_closed:
            self._is_paused = False
            self._transport.resume_reading()

    def close(self) -> None:
        """Close the connection at once; unsent bytes are dropped."""
        if self._transport is not None:
            self._transport.abort()
        else:
            self.socket.close()
        self._handle_end(is_clean=False)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport of a connection that is open."""
        self._transport = cast(asyncio.Transport, transport)
        if self._is_closed:
            self._transport.abort()

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the memory to read into.

        All streams share it, since its content is copied at once; the event loop would
        otherwise allocate memory for each read.
        """
        return _READ_BUFFER

    def buffer_updated(self, nbytes: int) -> None:
        """Pass received bytes on."""
        data = bytes(_READ_BUFFER[:nbytes])
        if self._receiver is not None:
            self._receiver.receive(data)
            return
        self._buffer += data
        if len(self._buffer) >= self._max_buffered:
            self.pause_reading()
        _wake(self._changed)

    @property
    def is_delivered(self) -> bool:
        """Whether all written bytes were received, and the connection wasn't reset.

        A reset that follows the end of the other direction is not reported by reads.
        """
        if self.has_unsent_bytes:
            return False
        unacknowledged = fcntl.ioctl(self.socket, termios.TIOCOUTQ, _INT.pack(0))
        error = self.socket.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        return _INT.unpack(unacknowledged)[0] == 0 and not error

    def eof_received(self) -> None:
        """Note that the target has closed the connection.

        A target that does so before it has received the request resets the connection
        next, and may have done so within its answer.
        """
        self._handle_end(is_clean=not self.is_tunnel and self.is_delivered)
        if self._transport is not None:
            self._transport.abort()

    def connection_lost(self, error: Exception | None) -> None:
        """Note that the connection is closed."""
        self._handle_end(is_clean=False)

    def pause_writing(self) -> None:
        """Note that many written bytes are buffered."""
        self._is_write_paused = True

    def resume_writing(self) -> None:
        """Note that the kernel has taken most of the buffered bytes."""
        self._is_write_paused = False
        self._write_unsent()
        _wake(self._drained)

    def _write_unsent(self) -> None:
        while self._unsent and not self._is_write_paused:
            if self._transport is None or self._is_closed:
                self._unsent.clear()
                return
            data = self._unsent.popleft()
            self._transport.write(data[:WRITTEN_BYTES])
            if len(data) > WRITTEN_BYTES:
                self._unsent.appendleft(data[WRITTEN_BYTES:])

    def _handle_end(self, is_clean: bool) -> None:
        if self._is_closed:
            return
        self._is_closed = True
        self._unsent.clear()
        if self._receiver is not None:
            self._receiver.handle_close(is_clean)
        _wake(self._changed)
        _wake(self._drained)
        callback, self._close_callback = self._close_callback, None
        if callback is not None:
            callback()


def open_stream(is_tunnel: bool = False) -> TargetStream:
    """Return a stream that is not connected yet."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    set_socket_options(sock)
    return TargetStream(sock, is_tunnel)


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


def _wake(future: asyncio.Future[None] | None) -> None:
    if future is not None and not future.done():
        future.set_result(None)

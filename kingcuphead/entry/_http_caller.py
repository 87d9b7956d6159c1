"""Writes the answer to one request of a caller."""

import asyncio
import contextlib
import http.client
import socket
import struct

from tornado.http1connection import HTTP1Connection
from tornado.httputil import HTTPHeaders, ResponseStartLine
from tornado.iostream import StreamClosedError

from kingcuphead.capacity import MESSAGE_OVERHEAD_BYTES, CallerConnection
from kingcuphead.decoding import allows_body
from kingcuphead.forwarding import STREAM_BUFFER_BYTES, MemoryReservation
from kingcuphead.invariants import ensure

#: Largest part of a body in bytes that is copied in order to send it with the head.
MAX_JOINED_BYTES = 65_536
#: Milliseconds without progress after which the kernel closes the connection of a
#: caller that no longer reads the rest of its answer.
UNREAD_TIMEOUT_MS = 30_000


class HttpCaller:
    """The caller of one request, to whom the answer is written.

    The head is sent in one write with the first part of the body. Events that the
    caller hasn't read yet wait in a buffer, whose bytes the memory account includes.

    Parameters
    ----------
    connection
        Connection on which the request arrived.
    reservation
        Counts the bytes held for the request.
    traffic
        Counts the bytes of the connection and tells whether it should close.
    method
        Method of the request; the answer to HEAD has no body.
    """

    def __init__(
        self,
        connection: HTTP1Connection,
        reservation: MemoryReservation,
        traffic: CallerConnection,
        method: str = "GET",
    ) -> None:
        self._connection = connection
        self._method = method
        self._has_body = True
        self._traffic = traffic
        self._unsent_head: tuple[ResponseStartLine, HTTPHeaders] | None = None
        self._is_chunked = False
        self._has_length = False
        self._backlog = bytearray()
        self._unsent_bytes = 0
        self._written_blocks = 0
        #: Counts the bytes held for the request.
        self.reservation = reservation
        #: Whether the status and the headers were set.
        self.is_started = False

    @property
    def is_congested(self) -> bool:
        """Whether the caller has to read before more is sent."""
        if not self._connection.stream.writing():
            return False
        if not self.reservation.account.covers_requests:
            return True
        is_full = self._unsent_bytes >= STREAM_BUFFER_BYTES
        return is_full and self.reservation.account.applies_backpressure

    def start(self, status: int, headers: HTTPHeaders) -> None:
        """Set the status line and the headers of the answer.

        A second head would reach the caller in the middle of the body. If the request
        or the status allows no body, what is sent of it is left out, and the length is
        that of the answer to a GET request.
        """
        ensure(not self.is_started, "an answer has one head", status=status)
        reason = http.client.responses.get(status, "Unknown")
        self._has_body = allows_body(self._method, status)
        self._unsent_head = (ResponseStartLine("HTTP/1.1", status, reason), headers)
        self.is_started = True

    def send(self, chunk: bytes) -> None:
        """Send a part of the body, and buffer what the connection doesn't take.

        Raises
        ------
        StreamClosedError
            The connection is closed.
        OutOfMemoryError
            No memory is left for the buffer.
        """
        stream = self._connection.stream
        if stream.closed():
            raise StreamClosedError(real_error=stream.error)
        if not self._has_body:
            self._send_head(None)
            return
        self._traffic.record_sent(len(chunk))
        if self._unsent_head is not None and len(chunk) <= MAX_JOINED_BYTES:
            self._send_head(chunk)
            return
        self._send_head(None)
        if self._has_length:
            self._connection.write(chunk)
        elif self._is_chunked:
            self._send_bytes(b"%x\r\n%b\r\n" % (len(chunk), chunk))
        else:
            self._send_bytes(chunk)

    async def drain(self) -> None:
        """Wait until the caller has taken most of what was sent."""
        while self.is_congested:
            await self._wait_for_write()

    async def complete(self) -> None:
        """Wait until the connection has taken the whole answer.

        Raises
        ------
        StreamClosedError
            The connection closed before that.
        """
        stream = self._connection.stream
        if not stream.writing():
            return
        self.reservation.on_end = self.abort
        stream.socket.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNREAD_TIMEOUT_MS
        )
        while stream.writing():
            await self._wait_for_write()
        self.reservation.on_end = None

    def finish(self) -> None:
        """Complete the answer; the rest of it is sent as the caller reads."""
        self._send_head(None)
        self._write_backlog()
        if self._is_unframed:
            self._end_cleanly()
        if not self._is_chunked and not self._connection.stream.closed():
            # Tornado closes the connection once its own last write is done, so it has
            # to know of one that follows the backlog. It writes the last chunk itself.
            self._connection.write(b"")
        self._connection.finish()

    def abort(self) -> None:
        """Close the connection, so that the caller detects the incomplete answer."""
        self._backlog.clear()
        self._connection.close()

    @property
    def _is_unframed(self) -> bool:
        """Whether the body that is sent has neither a length nor chunks."""
        return self._has_body and not self._is_chunked and not self._has_length

    def _end_cleanly(self) -> None:
        """Let the connection close without a reset once all bytes are written."""
        stream = self._connection.stream
        if not stream.writing():
            self._set_reset_on_close(False)
            return
        written = stream.write(b"")
        written.add_done_callback(self._handle_end_written)

    def _handle_end_written(self, written: "asyncio.Future[None]") -> None:
        if written.exception() is None:
            self._set_reset_on_close(False)

    def _set_reset_on_close(self, is_reset: bool) -> None:
        """Set whether closing the connection resets it."""
        stream = self._connection.stream
        if not stream.closed():
            # With a linger time of 0 the kernel sends a reset.
            linger = struct.pack("ii", is_reset, 0)
            stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)

    async def _wait_for_write(self) -> None:
        # The future of a write is done once all earlier bytes are sent, too.
        await self._connection.stream.write(b"")

    def _send_head(self, chunk: bytes | None) -> None:
        if self._unsent_head is None:
            return
        start_line, headers = self._unsent_head
        self._unsent_head = None
        self._traffic.record_sent(MESSAGE_OVERHEAD_BYTES)
        if self._traffic.is_marked:
            # Adds `Connection: close`; Tornado has no public way for one connection.
            self._connection._disconnect_on_finish = True
        self._connection.write_headers(start_line, headers, chunk)
        # Tornado has added this header unless the answer has a length.
        self._is_chunked = headers.get("Transfer-Encoding") == "chunked"
        self._has_length = "Content-Length" in headers
        if self._is_unframed:
            # Only the end of the connection marks that of the answer, so an incomplete
            # one has to be reset, even if this process is killed. Tornado would keep
            # the connection open if the caller asked for it.
            self._connection._disconnect_on_finish = True
            self._set_reset_on_close(True)
        if self._is_chunked:
            # The next event doesn't wait until the caller has acknowledged this one.
            self._connection.stream.set_nodelay(True)

    def _send_bytes(self, data: bytes) -> None:
        """Pass bytes to the kernel, and buffer those that it doesn't accept."""
        stream = self._connection.stream
        sent = 0
        # Bytes in the backlog go first. They may still be there after a write is done,
        # until its callback runs.
        if not stream.writing() and not self._written_blocks:
            with contextlib.suppress(OSError):
                sent = stream.write_to_fd(memoryview(data)) or 0
        if sent < len(data):
            self._buffer(data[sent:])

    def _buffer(self, data: bytes) -> None:
        self.reservation.take_request_bytes(len(data))
        self._unsent_bytes += len(data)
        self._backlog += data
        if not self._written_blocks:
            self._write_backlog()

    def _write_backlog(self) -> None:
        """Pass all buffered bytes to the stream, in one write."""
        if not self._backlog:
            return
        data = bytes(self._backlog)
        self._backlog.clear()
        self._written_blocks += 1
        written = self._connection.stream.write(data)
        written.add_done_callback(lambda future: self._handle_written(len(data)))

    def _handle_written(self, size: int) -> None:
        self._unsent_bytes -= size
        self._written_blocks -= 1
        self.reservation.release_request_bytes(size)
        if not self._connection.stream.closed():
            self._write_backlog()

"""Reads from the platform over a connection that stays open between them."""

import asyncio
import contextlib
import socket
import urllib.parse
from collections.abc import Callable, Mapping

from tornado.http1connection import HTTP1Connection, HTTP1ConnectionParameters
from tornado.httputil import (
    HTTPHeaders,
    HTTPMessageDelegate,
    RequestStartLine,
    ResponseStartLine,
)
from tornado.iostream import IOStream, StreamClosedError
from tornado.tcpclient import TCPClient

from kingcuphead.storage._exchange import (
    MAX_REPLY_BYTES,
    LiteralResolver,
    NotSent,
    PlatformSettings,
    Replied,
)
from kingcuphead.storage.wire import REFUSED_STATUS
from kingcuphead.timing import get_time, wait_turns

#: Seconds without a byte after which a reply that has begun counts as lost. A slow link
#: delays a reply, and reading it again would take as long.
SILENCE_TIMEOUT = 1.0
#: Seconds that a reply may take in all from its begin.
MAX_REPLY_SECONDS = 10.0
#: HTTP version whose connections stay open unless a reply says otherwise.
KEPT_VERSION = "HTTP/1.1"


class KeptConnection:
    """Sends one read at a time and keeps its connection for the next one.

    A new connection for each read costs more processor time than the read.

    Parameters
    ----------
    settings
        Address and timeouts.
    """

    def __init__(self, settings: PlatformSettings) -> None:
        #: Address and timeouts.
        self.settings = settings
        address = urllib.parse.urlsplit(settings.url)
        self._host, self._port = address.hostname or "", address.port or 80
        self._headers = {
            "Host": address.netloc,
            "Accept-Encoding": "gzip",
            "Content-Type": settings.content_type,
        }
        self._parameters = HTTP1ConnectionParameters(
            max_body_size=MAX_REPLY_BYTES, decompress=True
        )
        self._stream: IOStream | None = None

    async def get(
        self,
        path: str,
        query: Mapping[str, str],
        timeout: float,
        report_begin: Callable[[], None] = lambda: None,
    ) -> Replied | NotSent:
        """Send a GET request and wait for the reply; never raises for a fault.

        Parameters
        ----------
        path
            Path of the URL, without percent-encoding.
        query
            Query parameters.
        timeout
            Seconds until the reply must have begun to arrive.
        report_begin
            Called when it has.
        """
        target = f"{urllib.parse.quote(path)}?{urllib.parse.urlencode(query)}"
        collector = None
        progress = _ReplyProgress(get_time() + timeout, report_begin)
        exchange = asyncio.ensure_future(self._exchange(target, progress))
        try:
            collector = await _await_reply(exchange, progress)
        # A read has no effect, whatever it fails of.
        except Exception as error:
            return NotSent(f"{type(error).__name__}: {error}")
        finally:
            exchange.cancel()
            if collector is None or not collector.keeps_connection:
                self.close()
        if collector.status == REFUSED_STATUS:
            return NotSent(f"HTTP {collector.status}")
        return Replied(collector.status, bytes(collector.body), collector.headers)

    def close(self) -> None:
        """Close the connection; the next read opens a new one."""
        if self._stream is not None:
            self._stream.close()
            self._stream = None

    async def _exchange(
        self, target: str, progress: "_ReplyProgress"
    ) -> "_ReplyCollector":
        if self._stream is not None and _has_unread_bytes(self._stream):
            self.close()
        if self._stream is not None:
            # The platform may have closed the connection after the last reply.
            with contextlib.suppress(StreamClosedError):
                return await self._send(self._stream, target, progress)
        self._stream = await self._connect()
        return await self._send(self._stream, target, progress)

    async def _connect(self) -> IOStream:
        client = TCPClient(resolver=LiteralResolver())
        async with asyncio.timeout(self.settings.connect_timeout):
            stream = await client.connect(
                self._host, self._port, max_buffer_size=MAX_REPLY_BYTES
            )
        stream.set_nodelay(True)
        return stream

    async def _send(
        self, stream: IOStream, target: str, progress: "_ReplyProgress"
    ) -> "_ReplyCollector":
        connection = HTTP1Connection(stream, True, self._parameters)
        collector = _ReplyCollector(progress)
        start_line = RequestStartLine("GET", target, KEPT_VERSION)
        # A failure to write shows in the read.
        written = connection.write_headers(start_line, HTTPHeaders(self._headers))
        written.add_done_callback(lambda future: future.exception())
        connection.finish()
        await connection.read_response(collector)
        if not collector.is_complete:
            raise ConnectionError("the reply is incomplete")
        return collector


async def _await_reply(
    exchange: "asyncio.Task[_ReplyCollector]", progress: "_ReplyProgress"
) -> "_ReplyCollector":
    """Wait for a reply as long as more of it arrives in time.

    Raises
    ------
    TimeoutError
        The platform is silent.
    """
    while not exchange.done():
        deadline = progress.deadline
        remaining = deadline - get_time()
        if remaining > 0:
            await asyncio.wait((exchange,), timeout=remaining)
        elif not await wait_turns(
            lambda: exchange.done() or progress.deadline > deadline  # noqa: B023
        ):
            raise TimeoutError
    return exchange.result()


def _has_unread_bytes(stream: IOStream) -> bool:
    """Whether bytes follow the last reply; they would be read as the next reply."""
    # Tornado has no public way to find out what it has read ahead.
    if stream._read_buffer_size:
        return True
    if stream.closed():
        return False
    try:
        return bool(stream.socket.recv(1, socket.MSG_PEEK))
    except OSError:
        return False


class _ReplyProgress:
    """Extends the deadline of a read while its reply arrives.

    Parameters
    ----------
    deadline
        Time at which the reply must have begun.
    report_begin
        Called when it has.
    """

    def __init__(self, deadline: float, report_begin: Callable[[], None]) -> None:
        #: Time at which more of the reply must have arrived.
        self.deadline = deadline
        self._report_begin = report_begin
        self._ends_at = 0.0

    def begin(self) -> None:
        """Record the head of the reply."""
        self._ends_at = get_time() + MAX_REPLY_SECONDS
        self.extend()
        self._report_begin()

    def extend(self) -> None:
        """Record a part of the reply."""
        self.deadline = min(get_time() + SILENCE_TIMEOUT, self._ends_at)


class _ReplyCollector(HTTPMessageDelegate):
    """Collects the status, the headers and the body of one reply."""

    def __init__(self, progress: "_ReplyProgress") -> None:
        self._progress = progress
        self.status = 0
        self.headers = HTTPHeaders()
        self.body = bytearray()
        self.is_complete = False
        self.keeps_connection = False

    def headers_received(
        self, start_line: RequestStartLine | ResponseStartLine, headers: HTTPHeaders
    ) -> None:
        if not isinstance(start_line, ResponseStartLine):
            return
        self._progress.begin()
        self.status, self.headers = start_line.code, headers
        token = headers.get("Connection", "").lower()
        self.keeps_connection = start_line.version == KEPT_VERSION and token != "close"

    def data_received(self, chunk: bytes) -> None:
        self.body += chunk
        self._progress.extend()

    def finish(self) -> None:
        self.is_complete = True

"""A connection to a target, which serves one request at a time."""

import asyncio
import contextlib
import re
from collections.abc import AsyncIterator, Callable

from tornado.httputil import HTTPHeaders
from tornado.iostream import StreamClosedError

from kingcuphead.addresses import Address
from kingcuphead.capacity import LINK_TRAFFIC
from kingcuphead.decoding import parse_target_address
from kingcuphead.forwarding._answer_parser import AnswerEnd, AnswerParser, RawHead
from kingcuphead.forwarding._target_stream import (
    MAX_BUFFERED_BYTES,
    TargetStream,
    open_stream,
)
from kingcuphead.logs import quote
from kingcuphead.timing import get_time

#: Largest body in bytes that is joined with its head for one write.
MAX_JOINED_BYTES = 65_536

_LINE_END = re.compile(r"[\r\n]")


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
    parsed = parse_target_address(address)
    if parsed is None:
        raise OSError(f"no IP address and port: {quote(address)}")
    stream = open_stream()
    try:
        async with asyncio.timeout(timeout):
            await stream.connect(parsed)
    except BaseException:
        stream.close()
        raise
    return TargetConnection(stream)


def is_refusal(error: Exception) -> bool:
    """Whether a connection failed because no process listens at the address."""
    cause = error.real_error if isinstance(error, StreamClosedError) else error
    return isinstance(cause, ConnectionRefusedError)


class _IdleGuard:
    """Closes an idle connection as soon as it receives bytes, which are no answer."""

    def __init__(self, stream: TargetStream) -> None:
        self._stream = stream

    def receive(self, data: bytes) -> None:
        """Close the connection; the bytes belong to no request."""
        self._stream.close()

    def handle_close(self, is_clean: bool) -> None:
        """Do nothing, as the close callback tells the pool."""


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
        #: Number of requests that were sent on it.
        self.request_count = 0
        #: Id of the request that was sent on it last; empty before the first one.
        self.last_request_id = ""

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

    def begin_idle(self, handle_close: Callable[[], None]) -> None:
        """Let the connection close at the first byte of the target, and report it."""
        self._stream.set_close_callback(handle_close)
        self._stream.set_receiver(_IdleGuard(self._stream))

    def end_idle(self) -> None:
        """Take the connection into use."""
        self._stream.set_close_callback(None)
        self._stream.set_receiver(None)

    def send(
        self, method: str, uri: str, headers: HTTPHeaders, body: bytes
    ) -> "TargetAnswer":
        """Send a request and start reading its answer.

        Returns
        -------
        TargetAnswer
            Answer that becomes available while it is received.
        """
        head = _encode_head(method, uri, headers, body)
        LINK_TRAFFIC.targets.record_sent(len(head) + len(body))
        self.request_count += 1
        answer = TargetAnswer(self._stream, method)
        if len(body) <= MAX_JOINED_BYTES:
            self._stream.send(head + body)
        else:
            self._stream.send(head)
            self._stream.send(body)
        return answer

    def close(self) -> None:
        """Close the connection; the target cancels a request that runs on it."""
        self._stream.close()


class TargetAnswer:
    """The answer to one request, which is received in the background.

    Parameters
    ----------
    stream
        Stream of the connection, whose bytes this object takes until the end.
    method
        Method of the request.
    """

    def __init__(self, stream: TargetStream, method: str) -> None:
        self._stream = stream
        self._method = method
        self._parser = AnswerParser(method)
        self._blocks: list[bytes] = []
        self._buffered_bytes = 0
        self._waiter: asyncio.Future[bool] | None = None
        self._consume: Callable[[bytes], bool] | None = None
        self._received_at = 0.0
        self._failure: Exception | None = None
        stream.set_receiver(self)

    @property
    def head(self) -> RawHead | None:
        """Status and headers; None until they are received."""
        return self._parser.head

    @property
    def end(self) -> AnswerEnd | None:
        """How the body ended; None until then."""
        return self._parser.end

    @property
    def is_exchange_complete(self) -> bool:
        """Whether the request was sent and its answer received, and nothing else."""
        return (
            self._parser.end is AnswerEnd.COMPLETE
            and not self._parser.has_surplus
            and not self._stream.has_unsent_bytes
        )

    def receive(self, data: bytes) -> None:
        """Parse received bytes; reading pauses while many of them are unread."""
        LINK_TRAFFIC.targets.record_received(len(data))
        self._parse(data)

    def _parse(self, data: bytes) -> None:
        blocks = self._parser.feed(data)
        for block in blocks:
            self._buffered_bytes += len(block)
        self._blocks += blocks
        if self._consume is not None and blocks:
            self._pass_on(self._consume)
        elif blocks or self.head is not None or self.end is not None:
            self._wake()
        if self._buffered_bytes >= MAX_BUFFERED_BYTES:
            self._stream.pause_reading()

    def handle_close(self, is_clean: bool) -> None:
        """Note the end of the connection."""
        self._parser.close(is_clean)
        self._wake()

    def skip(self) -> bool:
        """Drop a complete answer, and wait for the next one of the connection.

        Returns
        -------
        bool
            Whether another answer can follow.
        """
        surplus = self._parser.surplus
        if self._parser.end is not AnswerEnd.COMPLETE or surplus is None:
            return False
        self._parser = AnswerParser(self._method)
        self._blocks.clear()
        self._buffered_bytes = 0
        self._parse(surplus)
        if self._stream.closed():
            self._parser.close(is_clean=False)
        return True

    @property
    def has_unread_blocks(self) -> bool:
        """Whether blocks of the body have arrived that were not read."""
        return bool(self._blocks)

    def release(self) -> None:
        """Stop to take the bytes of the connection."""
        self._stream.set_receiver(None)
        self._stream.resume_reading()

    async def wait_for_head(self, timeout: float | None = None) -> RawHead | None:
        """Wait for the status and headers; None if the connection broke before them.

        Raises
        ------
        TimeoutError
            They did not arrive within the timeout in seconds.
        """
        while self.head is None and self.end is None:
            await self._wait(timeout)
        return self.head

    async def read(self, timeout: float | None = None) -> bytes:
        """Wait for bytes and return all that are buffered; empty at the end.

        Raises
        ------
        TimeoutError
            None arrived within the timeout in seconds.
        """
        while not self._blocks and self.end is None:
            await self._wait(timeout)
        return self._take_blocks()

    async def forward(self, consume: Callable[[bytes], bool], timeout: float) -> None:
        """Pass blocks to a function as they arrive, without a task switch for each.

        Ends when the function returns false, and at the end of the body; the exception
        that the function raises is raised here.

        Parameters
        ----------
        consume
            Takes a block; returns whether it takes more.
        timeout
            Seconds without data.

        Raises
        ------
        TimeoutError
            No data arrived within the timeout.
        """
        if self._blocks and not consume(self._take_blocks()):
            self._stream.pause_reading()
            return
        self._stream.resume_reading()
        loop = asyncio.get_running_loop()
        self._received_at = loop.time()
        self._consume = consume
        try:
            while self._consume is not None and self.end is None:
                idle_seconds = loop.time() - self._received_at
                if idle_seconds >= timeout:
                    raise TimeoutError
                with contextlib.suppress(TimeoutError):
                    await self._wait(timeout - idle_seconds)
        finally:
            self._consume = None
        if self._failure is not None:
            raise self._failure

    async def iterate_blocks(self) -> AsyncIterator[bytes]:
        """Yield the bytes of the body as they are received."""
        while block := await self.read():
            yield block

    def _take_blocks(self) -> bytes:
        blocks = self._blocks
        block = blocks[0] if len(blocks) == 1 else b"".join(blocks)
        blocks.clear()
        self._buffered_bytes = 0
        self._stream.resume_reading()
        return block

    def _pass_on(self, consume: Callable[[bytes], bool]) -> None:
        self._received_at = get_time()
        try:
            takes_more = consume(self._take_blocks())
        except Exception as error:
            self._failure = error
            takes_more = False
        if not takes_more:
            self._consume = None
            self._stream.pause_reading()
        if not takes_more or self.end is not None:
            self._wake()

    async def _wait(self, timeout: float | None) -> None:
        loop = asyncio.get_running_loop()
        waiter = self._waiter = loop.create_future()
        timer = None
        if timeout is not None:
            timer = loop.call_later(timeout, _end_wait, waiter, False)
        try:
            if not await waiter:
                raise TimeoutError
        finally:
            self._waiter = None
            if timer is not None:
                timer.cancel()

    def _wake(self) -> None:
        if self._waiter is not None:
            _end_wait(self._waiter, True)


def _end_wait(waiter: "asyncio.Future[bool]", has_changed: bool) -> None:
    if not waiter.done():
        waiter.set_result(has_changed)


def _encode_head(method: str, uri: str, headers: HTTPHeaders, body: bytes) -> bytes:
    """Return the request line and the headers as they are sent.

    Raises
    ------
    ValueError
        A value contains a line end.
    """
    lines = [f"{name}: {value}" for name, value in headers.get_all()]
    if body and "Content-Length" not in headers:
        lines.append(f"Content-Length: {len(body)}")
    start_line = f"{method} {uri} HTTP/1.1"
    if _LINE_END.search("".join((start_line, *lines))):
        raise ValueError(f"a line end in the headers of {start_line!r}")
    fields = "\r\n".join(("", *lines, "", ""))
    return start_line.encode() + fields.encode("latin1")

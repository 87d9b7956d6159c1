"""State of one transfer: buffered response bytes and the result."""

import asyncio
import re
from collections.abc import AsyncIterator, Callable

from kingcuphead.decoding import check_answer_status
from kingcuphead.relay._ending import EndCause, TransferEnd, classify_end
from kingcuphead.relay._headers import filter_hop_by_hop
from kingcuphead.relay._messages import RelayLimits, ResponseHead, Timeouts
from kingcuphead.verdict import Verdict

_LAST_INTERIM_STATUS = 199
_STATUS_LINE = re.compile(r"HTTP/1\.[01] ([0-9]{3})(?: |$)")
#: Statuses of responses without a body.
_BODILESS_STATUSES = frozenset({204, 304})
#: Headers that state where the body of a response ends.
_FRAMING_HEADERS = frozenset({"content-length", "transfer-encoding"})


class Transfer:
    """State of one request to a target, driven by the relay.

    Parameters
    ----------
    limits : RelayLimits
        Limits of the header size and of the buffered bytes.
    timeouts : Timeouts
        Timeouts of the request to the target.
    now : float
        Start time in seconds, on the event loop's clock.
    resume : Callable[[], None]
        Called to resume a paused transfer.
    """

    def __init__(
        self,
        limits: RelayLimits,
        timeouts: Timeouts,
        now: float,
        resume: Callable[[], None],
    ) -> None:
        self._limits = limits
        self._timeouts = timeouts
        self._resume = resume
        self._loop = asyncio.get_running_loop()
        self._last_received = now
        self._chunks: list[bytes] = []
        self._buffered_bytes = 0
        self._received_bytes = 0
        self._header_bytes = 0
        self._header_lines: list[str] = []
        self._paused = False
        self._waiter: asyncio.Future[None] | None = None
        #: Length of the request's body.
        self.request_bytes = 0
        #: Whether the response states where its body ends.
        self.is_framed = False
        self.head: ResponseHead | None = None
        self.end: TransferEnd | None = None

    @property
    def received_bytes(self) -> int:
        """Number of bytes of the response body received so far."""
        return self._received_bytes

    def handle_header(self, line: bytes) -> bool:
        """Process one line of the response head; return False to abort the transfer.

        Lines after the head are trailers, which aren't forwarded.
        """
        if self.head is not None:
            return True
        self._header_bytes += len(line)
        if self._header_bytes > self._limits.header_bytes:
            return False
        text = line.decode("latin-1").strip()
        if text:
            self._header_lines.append(text)
            return True
        return self._finish_head()

    def handle_body(self, chunk: bytes, now: float) -> bool:
        """Buffer a chunk of the body; return False to pause the transfer.

        libcurl passes the same chunk again after the pause.
        """
        if self._buffered_bytes >= self._limits.buffer_bytes:
            self._paused = True
            return False
        self._chunks.append(chunk)
        self._buffered_bytes += len(chunk)
        self._received_bytes += len(chunk)
        self._last_received = now
        return True

    def wake_reader(self) -> None:
        """Wake up the reader if it is waiting."""
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    def handle_end(self, end: TransferEnd) -> None:
        """Store the result of the transfer and wake up the reader."""
        if self.end is None:
            self.end = end
            self.wake_reader()

    def check_timeout(self, now: float) -> EndCause | None:
        """Return the timeout that has expired, if any.

        The time for which a slow reader holds up the transfer doesn't count.
        """
        if self._paused or self._chunks or self.end is not None:
            self._last_received = now
            return None
        idle_time = now - self._last_received
        if self.head is None:
            limit = self._timeouts.connect + self._timeouts.first_byte
            return EndCause.FIRST_BYTE_TIMEOUT if idle_time > limit else None
        return EndCause.IDLE_TIMEOUT if idle_time > self._timeouts.idle else None

    async def wait_head(self) -> None:
        """Wait until the response head has been received or the transfer has ended."""
        while self.head is None and self.end is None:
            await self._wait()

    async def read(self) -> bytes:
        """Wait for data; return all buffered bytes, or no bytes at the end."""
        while not self._chunks and self.end is None:
            await self._wait()
        chunks = self._chunks
        block = chunks[0] if len(chunks) == 1 else b"".join(chunks)
        self._chunks = []
        self._buffered_bytes = 0
        if self._paused:
            self._paused = False
            self._resume()
        return block

    def _finish_head(self) -> bool:
        lines, self._header_lines = self._header_lines, []
        try:
            status = _parse_status(lines[0])
        except ValueError:
            return False
        if status <= _LAST_INTERIM_STATUS:
            return True
        pairs = (line.partition(":") for line in lines[1:])
        headers = [(name.strip(), value.strip()) for name, _, value in pairs]
        self.is_framed = status in _BODILESS_STATUSES or any(
            name.lower() in _FRAMING_HEADERS for name, _ in headers
        )
        self.head = ResponseHead(status, tuple(filter_hop_by_hop(headers)))
        self.wake_reader()
        return True

    async def _wait(self) -> None:
        self._waiter = self._loop.create_future()
        try:
            await self._waiter
        finally:
            self._waiter = None


def _parse_status(line: str) -> int:
    """Return the status that a start line states.

    Raises
    ------
    ValueError
        It states none.
    """
    match = _STATUS_LINE.match(line)
    if match is None:
        raise ValueError("no status line")
    status = int(match[1])
    check_answer_status(status)
    return status


class RelayStream(AsyncIterator[bytes]):
    """The response of a target as an asynchronous iterator over body blocks.

    Call `close` when done, whether or not the end was reached. Chunks that are
    buffered at the time of a read are returned as one block.
    """

    def __init__(self, transfer: Transfer, cancel: Callable[[], None]) -> None:
        self._transfer = transfer
        self._cancel = cancel

    @property
    def head(self) -> ResponseHead:
        """Status and headers of the response."""
        if self._transfer.head is None:
            raise AssertionError(
                "a stream exists only after its response head was received"
            )
        return self._transfer.head

    @property
    def verdict(self) -> Verdict | None:
        """Verdict on an incomplete response; None if it is complete or in progress."""
        if self._transfer.end is None:
            return None
        return classify_end(self._transfer.end)

    @property
    def is_complete(self) -> bool:
        """Whether the complete body was received, by its HTTP framing."""
        end = self._transfer.end
        return end is not None and end.cause is EndCause.COMPLETE

    def __aiter__(self) -> AsyncIterator[bytes]:
        """Return this iterator over the blocks of the body."""
        return self

    async def __anext__(self) -> bytes:
        """Return the next block; stop at the end of the body or on a failure."""
        block = await self._transfer.read()
        if not block:
            raise StopAsyncIteration
        return block

    def close(self) -> None:
        """End the transfer; an incomplete one closes the connection to the target."""
        self._cancel()

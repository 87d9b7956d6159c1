"""One transfer: bytes that wait for the reader, and how it ended."""

import asyncio
from collections.abc import AsyncIterator, Callable

from kingcuphead.relay._ending import EndCause, TransferEnd, judge_end
from kingcuphead.relay._headers import filter_hop_by_hop
from kingcuphead.relay._messages import RelayLimits, ResponseHead, Timeouts
from kingcuphead.verdict import Verdict

_LAST_INTERIM_STATUS = 199


class Transfer:
    """State of one request to a target, driven by the relay.

    Parameters
    ----------
    limits : RelayLimits
        Bound on the bytes that wait.
    timeouts : Timeouts
        How long the target may stay silent.
    now : float
        Time of the start, in seconds.
    resume : Callable[[], None]
        Called when a paused target may send again.
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
        self._waiting_bytes = 0
        self._received_bytes = 0
        self._header_bytes = 0
        self._header_lines: list[str] = []
        self._paused = False
        self._reader: asyncio.Future[None] | None = None
        self.head: ResponseHead | None = None
        self.end: TransferEnd | None = None

    @property
    def received_bytes(self) -> int:
        """Bytes of the body that have come from the target."""
        return self._received_bytes

    def take_header(self, line: bytes) -> bool:
        """Take one line of the answer's head; False ends the transfer.

        Lines after the head are trailers, which aren't passed on.
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

    def take_body(self, chunk: bytes, now: float) -> bool:
        """Take bytes of the body; False asks the target to pause.

        The same bytes come again after the pause.
        """
        if self._waiting_bytes >= self._limits.buffer_bytes:
            self._paused = True
            return False
        self._chunks.append(chunk)
        self._waiting_bytes += len(chunk)
        self._received_bytes += len(chunk)
        self._last_received = now
        return True

    def wake_reader(self) -> None:
        """Let the reader run if it waits."""
        if self._reader is not None and not self._reader.done():
            self._reader.set_result(None)

    def take_end(self, end: TransferEnd) -> None:
        """Take the end of the transfer."""
        if self.end is None:
            self.end = end
            self.wake_reader()

    def find_timeout(self, now: float) -> EndCause | None:
        """Return the timeout that has passed; a slow reader is none."""
        if self._paused or self._chunks or self.end is not None:
            self._last_received = now
            return None
        silence = now - self._last_received
        if self.head is None:
            limit = self._timeouts.connect + self._timeouts.first_byte
            return EndCause.FIRST_BYTE_TIMEOUT if silence > limit else None
        return EndCause.IDLE_TIMEOUT if silence > self._timeouts.idle else None

    async def wait_head(self) -> None:
        """Wait until the head of the answer or the end has come."""
        while self.head is None and self.end is None:
            await self._wait()

    async def read(self) -> bytes:
        """Return the bytes that have come, joined; empty at the end."""
        while not self._chunks and self.end is None:
            await self._wait()
        chunks = self._chunks
        block = chunks[0] if len(chunks) == 1 else b"".join(chunks)
        self._chunks = []
        self._waiting_bytes = 0
        if self._paused:
            self._paused = False
            self._resume()
        return block

    def _finish_head(self) -> bool:
        lines, self._header_lines = self._header_lines, []
        try:
            status = int(lines[0].split(" ", 2)[1])
        except (IndexError, ValueError):
            return False
        if status <= _LAST_INTERIM_STATUS:
            return True
        pairs = (line.partition(":") for line in lines[1:])
        headers = ((name.strip(), value.strip()) for name, _, value in pairs)
        self.head = ResponseHead(status, tuple(filter_hop_by_hop(headers)))
        self.wake_reader()
        return True

    async def _wait(self) -> None:
        self._reader = self._loop.create_future()
        try:
            await self._reader
        finally:
            self._reader = None


class RelayStream(AsyncIterator[bytes]):
    """The answer of a target, read block by block.

    Iterate over it to read; call `close` when done, whether or not the end was
    reached. Bytes that came together are read as one block.
    """

    def __init__(self, transfer: Transfer, cancel: Callable[[], None]) -> None:
        self._transfer = transfer
        self._cancel = cancel

    @property
    def head(self) -> ResponseHead:
        """Status and headers."""
        if self._transfer.head is None:
            raise AssertionError("a stream without the head of its answer")
        return self._transfer.head

    @property
    def verdict(self) -> Verdict | None:
        """The verdict on an answer that broke off; None while it is whole."""
        if self._transfer.end is None:
            return None
        return judge_end(self._transfer.end)

    @property
    def is_complete(self) -> bool:
        """Whether the whole body has come, as HTTP counts it."""
        end = self._transfer.end
        return end is not None and end.cause is EndCause.COMPLETE

    def __aiter__(self) -> AsyncIterator[bytes]:
        """Yield the body in blocks until it ends or breaks off."""
        return self

    async def __anext__(self) -> bytes:
        """Return the next block."""
        block = await self._transfer.read()
        if not block:
            raise StopAsyncIteration
        return block

    def close(self) -> None:
        """End the transfer; an unfinished one closes the target's connection."""
        self._cancel()

"""One attempt: a request sent to one target, and its answer."""

import asyncio
import contextlib
import dataclasses
from collections.abc import Awaitable, Callable
from typing import TypeAlias, TypeVar

from kingcuphead.dispatch import AttemptResult
from kingcuphead.forwarding._connection import AnswerEnd, RawHead, TargetAnswer
from kingcuphead.forwarding._events import EventSplitter
from kingcuphead.forwarding._messages import AnswerHead, CallerRequest, SendOptions
from kingcuphead.forwarding._pool import ConnectionPool, Lease
from kingcuphead.forwarding._ports import HeaderCodec
from kingcuphead.forwarding._stream import AnswerStream
from kingcuphead.verdict import Execution

#: Seconds to open a connection to a target.
CONNECT_TIMEOUT = 0.4
#: Largest answer that is not a stream, in bytes.
MAX_ANSWER_BYTES = 16 * 1024 * 1024

T = TypeVar("T")


@dataclasses.dataclass(frozen=True, slots=True)
class Answered:
    """The target answered whole."""

    #: Status and headers.
    head: AnswerHead
    #: Body.
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class StreamDelivered:
    """The caller has got the stream up to its end."""


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptFailed:
    """The attempt brought no answer."""

    #: What it says about the target.
    result: AttemptResult
    #: Whether the target may have run the request.
    execution: Execution
    #: What happened, in English.
    cause: str
    #: Whether another target has the address.
    is_misdirected: bool = False


AttemptEnd: TypeAlias = Answered | StreamDelivered | AttemptFailed


@dataclasses.dataclass(frozen=True, slots=True)
class Attempt:
    """What one attempt needs to know."""

    #: The request.
    request: CallerRequest
    #: What is added to it.
    options: SendOptions
    #: Address of the target.
    address: str
    #: Seconds without a first byte after which another target may be tried.
    patience: float
    #: Longest silence in seconds within a stream.
    stall_timeout: float
    #: Whether the request may go to another target now; counts it as a repeat.
    may_repeat: Callable[[], bool]


class AttemptRunner:
    """Runs attempts over pooled connections.

    Parameters
    ----------
    pool
        Connections to targets.
    codec
        Names of the headers.
    """

    def __init__(self, pool: ConnectionPool, codec: HeaderCodec) -> None:
        self._pool = pool
        self._codec = codec

    async def run(self, attempt: Attempt, stream: AnswerStream | None) -> AttemptEnd:
        """Send the request and read the answer.

        Parameters
        ----------
        attempt
            What to send, and where.
        stream
            Where the events go; None for answers that are passed on whole.
        """
        try:
            lease = await self._pool.acquire(attempt.address, CONNECT_TIMEOUT)
        except (OSError, TimeoutError) as error:
            cause = f"no connection: {type(error).__name__} {error}"
            return AttemptFailed(AttemptResult.UNREACHABLE, Execution.NOT_RUN, cause)
        is_over = False
        try:
            request = attempt.request
            answer = lease.connection.send(
                request.method,
                request.uri,
                self._codec.encode_request(request, attempt.options),
                request.body,
            )
            end = await self._read(attempt, answer, stream)
            is_over = answer.is_exchange_over
            return end
        finally:
            self._give_back(lease, answer if is_over else None)

    def _give_back(self, lease: Lease, answer: TargetAnswer | None) -> None:
        """Keep the connection of an exchange that is over; else close it.

        A target stops its work for a request whose connection closes.
        """
        if answer is None or answer.head is None:
            lease.connection.close()
            return
        head = self._codec.decode_answer(answer.head.status, answer.head.headers, "")
        if head.closes_connection:
            lease.connection.close()
        else:
            self._pool.release(lease, head.idle_timeout)

    async def _read(
        self, attempt: Attempt, answer: TargetAnswer, stream: AnswerStream | None
    ) -> AttemptEnd:
        raw = await _wait_patiently(attempt, answer.wait_head)
        if isinstance(raw, AttemptFailed):
            return raw
        if raw is None:
            return _fail_broken("the connection broke before the answer")
        head = self._decode(attempt, raw)
        if isinstance(head, AttemptFailed):
            return head
        if head.is_not_run:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(_read_body(answer), CONNECT_TIMEOUT)
            return AttemptFailed(
                AttemptResult.REFUSED,
                Execution.NOT_RUN,
                f"refused with status {head.status}",
                is_misdirected=head.status == 421,
            )
        if head.is_success and stream is not None:
            return await _read_stream(attempt, answer, head, stream)
        return await _read_whole(answer, head)

    def _decode(self, attempt: Attempt, raw: RawHead) -> AnswerHead | AttemptFailed:
        head = self._codec.decode_answer(
            raw.status, raw.headers, attempt.request.method
        )
        if head.request_id != attempt.request.request_id and not head.is_not_run:
            return _fail_broken("the answer belongs to another request")
        if head.is_success and (not head.is_signed or head.is_encoded):
            return _fail_broken("the answer is not signed, or encoded")
        return head


async def _wait_patiently(
    attempt: Attempt, read: Callable[[], Awaitable[T]]
) -> T | AttemptFailed:
    """Read the next piece, unless it takes long and another target may be tried."""
    waiting = asyncio.ensure_future(read())
    try:
        done, _ = await asyncio.wait({waiting}, timeout=attempt.patience)
        if not done and attempt.may_repeat():
            return AttemptFailed(
                AttemptResult.SILENT,
                Execution.MAY_HAVE_RUN,
                f"no answer within {attempt.patience:.3f} s",
            )
        return await waiting
    finally:
        waiting.cancel()


async def _read_whole(answer: TargetAnswer, head: AnswerHead) -> AttemptEnd:
    body = await _read_body(answer)
    if body is None:
        return _fail_broken(f"the answer is larger than {MAX_ANSWER_BYTES} bytes")
    if answer.end is AnswerEnd.BROKEN:
        return _fail_broken("the answer broke off")
    return Answered(head, body)


async def _read_body(answer: TargetAnswer) -> bytes | None:
    blocks = []
    size = 0
    async for block in answer.iterate_blocks():
        blocks.append(block)
        size += len(block)
        if size > MAX_ANSWER_BYTES:
            return None
    return b"".join(blocks)


async def _read_stream(
    attempt: Attempt, answer: TargetAnswer, head: AnswerHead, stream: AnswerStream
) -> AttemptEnd:
    splitter = EventSplitter()
    block = await _wait_patiently(attempt, answer.read)
    while block:
        if isinstance(block, AttemptFailed):
            return block
        for event in splitter.feed(block):
            if not stream.fits(event):
                return _fail_broken("an event is out of order")
            await stream.deliver(head, event)
        block = await _read_next(attempt, answer)
    if answer.end is AnswerEnd.BROKEN or splitter.has_partial_event:
        return _fail_broken("the stream broke off")
    await stream.finish(head)
    return StreamDelivered()


async def _read_next(attempt: Attempt, answer: TargetAnswer) -> bytes | AttemptFailed:
    """Return the next bytes of a stream, or a failure if it stalls."""
    while True:
        try:
            async with asyncio.timeout(attempt.stall_timeout):
                return await answer.read()
        except TimeoutError:
            if attempt.may_repeat():
                return AttemptFailed(
                    AttemptResult.SILENT,
                    Execution.MAY_HAVE_RUN,
                    f"the stream paused for {attempt.stall_timeout:.3f} s",
                )


def _fail_broken(cause: str) -> AttemptFailed:
    return AttemptFailed(AttemptResult.BROKEN, Execution.MAY_HAVE_RUN, cause)

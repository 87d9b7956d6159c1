"""Runs one attempt: sends a request to one target and reads the answer."""

import asyncio
import contextlib
import dataclasses
from collections.abc import Awaitable, Callable
from typing import TypeAlias, TypeVar

from kingcuphead.dispatch import AttemptResult
from kingcuphead.forwarding._answer_parser import AnswerEnd, RawHead
from kingcuphead.forwarding._connection import TargetAnswer, TargetConnection
from kingcuphead.forwarding._memory import MemoryReservation, OutOfMemoryError
from kingcuphead.forwarding._messages import (
    AnswerHead,
    AnswerIdentity,
    CallerRequest,
    SendOptions,
)
from kingcuphead.forwarding._pool import ConnectionPool, Lease
from kingcuphead.forwarding._ports import HeaderCodec
from kingcuphead.forwarding._stream import AttemptStream
from kingcuphead.forwarding._transfer import OTHER_ATTEMPT, EventTransfer
from kingcuphead.frozen import frozen
from kingcuphead.verdict import Execution

#: Bound in seconds on opening a connection to a target.
CONNECT_TIMEOUT = 0.4
#: Maximum number of answers to other requests that are skipped while waiting for the
#: answer to the own one.
MAX_SKIPPED_ANSWERS = 4
#: Largest answer in bytes, streams excepted.
MAX_ANSWER_BYTES = 16 * 1024 * 1024

T = TypeVar("T")


@frozen
class Answered:
    """The target sent a complete answer that is not a stream."""

    #: Status and headers of the answer.
    head: AnswerHead
    #: Complete body.
    body: bytes


@frozen
class StreamDelivered:
    """The stream was sent to the caller up to its end."""

    #: Status and headers of the answer.
    head: AnswerHead


@frozen
class AttemptFailed:
    """The attempt ended without a usable answer."""

    #: Result for the health of the target.
    result: AttemptResult
    #: Whether the target may have run the request.
    execution: Execution
    #: Description of the failure for the log.
    cause: str
    #: Whether another target has taken over the address (HTTP status 421).
    is_misdirected: bool = False
    #: Whether the connection broke before the end of the answer.
    is_connection_lost: bool = False


AttemptEnd: TypeAlias = Answered | StreamDelivered | AttemptFailed


@frozen
class Attempt:
    """Parameters of one attempt."""

    #: Request of the caller.
    request: CallerRequest
    #: Counts the bytes held for the request.
    reservation: MemoryReservation
    #: Values that this fleet adds to the request.
    options: SendOptions
    #: Address of the target as `IP:port`.
    address: str
    #: Seconds without a first byte after which the attempt is abandoned if the request
    #: may be retried.
    first_byte_timeout: float
    #: Seconds without data within a stream after which the attempt is abandoned if the
    #: request may be retried.
    stall_timeout: float
    #: Returns whether the request may be retried at another target after it may have
    #: run; a retry that is allowed is counted.
    claim_retry: Callable[[], bool]
    #: Called with the connection before the request is sent on it.
    record_connection: Callable[[TargetConnection], None]
    #: Called with the status and headers of an answer of the target.
    record_head: Callable[[AnswerHead], None]


@dataclasses.dataclass(slots=True)
class _Exchange:
    """One request and its answer on a connection."""

    #: The answer; None until the request is sent.
    answer: TargetAnswer | None = None
    #: Decoded head of the answer; None until it is received.
    head: AnswerHead | None = None
    #: Whether the first answer that arrived names the request; otherwise the target may
    #: still send answers that nobody waits for.
    is_first_own: bool = False


class AttemptRunner:
    """Runs attempts over pooled connections.

    Parameters
    ----------
    pool
        Pool of connections to targets.
    codec
        Encodes and decodes the headers.
    """

    def __init__(self, pool: ConnectionPool, codec: HeaderCodec) -> None:
        self._pool = pool
        self._codec = codec

    async def run(self, attempt: Attempt, stream: AttemptStream | None) -> AttemptEnd:
        """Send the request and read the answer.

        Parameters
        ----------
        attempt
            Parameters of the attempt.
        stream
            Receives the events; None for an answer that is returned when complete.
        """
        try:
            lease = await self._acquire_connection(attempt)
        except (OSError, TimeoutError) as error:
            cause = f"no connection: {type(error).__name__} {error}"
            return AttemptFailed(AttemptResult.UNREACHABLE, Execution.NOT_RUN, cause)
        exchange = _Exchange()
        try:
            return await self._run_exchange(attempt, lease, exchange, stream)
        finally:
            self._release_connection(lease, exchange)

    async def _acquire_connection(self, attempt: Attempt) -> Lease:
        """Return a connection whose last request had another id.

        An answer is matched to its request by the id, so a late answer to an earlier
        attempt of the same request couldn't be told from that to this one.

        Raises
        ------
        OSError
            No connection could be opened; nothing was sent.
        """
        lease = await self._pool.acquire(attempt.address, CONNECT_TIMEOUT)
        if lease.connection.last_request_id != attempt.request.request_id:
            return lease
        lease.connection.close()
        return await self._pool.open(attempt.address, CONNECT_TIMEOUT)

    async def _run_exchange(
        self,
        attempt: Attempt,
        lease: Lease,
        exchange: "_Exchange",
        stream: AttemptStream | None,
    ) -> AttemptEnd:
        request = attempt.request
        attempt.record_connection(lease.connection)
        lease.connection.last_request_id = request.request_id
        exchange.answer = answer = lease.connection.send(
            request.method,
            request.uri,
            self._codec.encode_request(request, attempt.options),
            request.body,
        )
        raw = await _wait_for_first_bytes(attempt, answer.wait_for_head)
        if isinstance(raw, AttemptFailed):
            return raw
        if raw is None:
            return _make_lost_failure("the connection broke before the answer")
        head = self._decode_head(attempt, raw)
        identity = head.identify(request)
        exchange.is_first_own = identity is AnswerIdentity.OWN
        if identity is AnswerIdentity.OTHER:
            own = await self._skip_answers(attempt, answer)
            if isinstance(own, AttemptFailed):
                return own
            head = own
        exchange.head = head
        return await self._read(attempt, answer, head, stream)

    async def _skip_answers(
        self, attempt: Attempt, answer: TargetAnswer
    ) -> AnswerHead | AttemptFailed:
        """Skip whole answers to other requests; return the head of the next answer.

        A target may repeat an earlier answer ahead of the own one. The timeout of the
        own answer starts anew after each of them.
        """
        for _ in range(MAX_SKIPPED_ANSWERS):
            await _discard_body(answer, attempt.reservation)
            if not answer.skip():
                break
            raw = await _wait_for_first_bytes(attempt, answer.wait_for_head)
            if isinstance(raw, AttemptFailed):
                return raw
            if raw is None:
                return _make_lost_failure("the connection broke before the own answer")
            head = self._decode_head(attempt, raw)
            if head.identify(attempt.request) is not AnswerIdentity.OTHER:
                return head
        return _make_broken_failure("the answer has the id of another request")

    def _decode_head(self, attempt: Attempt, raw: RawHead) -> AnswerHead:
        method = attempt.request.method
        head = self._codec.decode_answer(raw.status, raw.headers, method)
        attempt.record_head(head)
        return head

    def _release_connection(self, lease: Lease, exchange: "_Exchange") -> None:
        """Return the connection to the pool after a complete exchange; else close it.

        A target cancels a request whose connection closes. After an answer that names
        another request, more of them may follow, so the connection is closed.
        """
        answer, head = exchange.answer, exchange.head
        if answer is not None:
            answer.release()
        is_complete = (
            answer is not None and answer.is_exchange_complete and exchange.is_first_own
        )
        if head is not None and is_complete and not head.closes_connection:
            self._pool.release(lease, head.idle_timeout)
        else:
            lease.connection.close()

    async def _read(
        self,
        attempt: Attempt,
        answer: TargetAnswer,
        head: AnswerHead,
        stream: AttemptStream | None,
    ) -> AttemptEnd:
        fault = _find_fault(attempt, head)
        if fault is not None:
            return fault
        if head.is_not_run:
            await _discard_body(answer, attempt.reservation)
            return AttemptFailed(
                AttemptResult.REFUSED,
                Execution.NOT_RUN,
                f"refused with status {head.status}",
                is_misdirected=head.is_misdirected,
            )
        if head.is_unconfirmed_refusal:
            return await _discard_unconfirmed_refusal(answer, head, attempt.reservation)
        if head.is_success and stream is not None:
            if not head.is_stream:
                return _make_broken_failure("the answer is not a stream")
            return await _read_stream(attempt, answer, head, stream)
        return await _read_whole(answer, head, attempt.reservation)


def _find_fault(attempt: Attempt, head: AnswerHead) -> AttemptFailed | None:
    """Return why an answer can't be sent to the caller, or None."""
    if head.identify(attempt.request) is not AnswerIdentity.OWN:
        return _make_broken_failure("the answer has no id")
    if head.is_contradictory:
        return _make_broken_failure(f"states 'not run' with status {head.status}")
    if head.is_success and (not head.is_signed or head.is_encoded):
        return _make_broken_failure("the answer has no seal or has a content encoding")
    return None


def describe_end(end: AttemptEnd) -> str:
    """Return the outcome of an attempt for the log."""
    match end:
        case StreamDelivered():
            return "streamed"
        case Answered(head):
            return f"answered {head.status}"
        case AttemptFailed(result, _, cause):
            return f"{result.value} ({cause})"


def classify_end(end: AttemptEnd) -> AttemptResult:
    """Return the outcome of an attempt for the health of its target."""
    match end:
        case StreamDelivered():
            return AttemptResult.ANSWERED
        case Answered(head) if head.status < 500:
            return AttemptResult.ANSWERED
        case Answered():
            return AttemptResult.FAILED
        case AttemptFailed(result):
            return result


async def _wait_for_first_bytes(
    attempt: Attempt, read: Callable[[float | None], Awaitable[T]]
) -> T | AttemptFailed:
    """Wait for the first bytes of an answer or of its stream.

    After the first-byte timeout the attempt is abandoned if the request may be retried;
    otherwise the wait continues.
    """
    try:
        return await read(attempt.first_byte_timeout)
    except TimeoutError:
        if attempt.claim_retry():
            return AttemptFailed(
                AttemptResult.SILENT,
                Execution.MAY_HAVE_RUN,
                f"no answer within {attempt.first_byte_timeout:.3f} s",
            )
    return await read(None)


async def _read_whole(
    answer: TargetAnswer, head: AnswerHead, reservation: MemoryReservation
) -> AttemptEnd:
    body = await _read_body(answer, reservation)
    if body is None:
        return _make_broken_failure("the answer is too large")
    if answer.end is AnswerEnd.BROKEN:
        return _make_lost_failure("the connection broke within the answer")
    return Answered(head, body)


async def _read_body(
    answer: TargetAnswer, reservation: MemoryReservation
) -> bytes | None:
    """Collect a body; None if it is larger than its bound or than the memory left.

    Its bytes count on where the account covers requests.

    Raises
    ------
    OutOfMemoryError
        The request was ended to make room for others.
    """
    blocks = []
    size = 0
    is_kept = False
    try:
        async for block in answer.iterate_blocks():
            if size + len(block) > MAX_ANSWER_BYTES:
                return None
            reservation.take(len(block))
            blocks.append(block)
            size += len(block)
        is_kept = answer.end is not AnswerEnd.BROKEN
        return b"".join(blocks)
    except OutOfMemoryError:
        if reservation.is_ended:
            raise
        return None
    finally:
        if not is_kept or not reservation.account.covers_requests:
            reservation.release(size)


async def _discard_unconfirmed_refusal(
    answer: TargetAnswer, head: AnswerHead, reservation: MemoryReservation
) -> AttemptFailed:
    """Drop an answer that callers would read as "not run" without its saying so."""
    await _discard_body(answer, reservation)
    return AttemptFailed(
        AttemptResult.FAILED,
        Execution.MAY_HAVE_RUN,
        f"status {head.status} without the statement that the request was not run",
    )


async def _discard_body(answer: TargetAnswer, reservation: MemoryReservation) -> None:
    """Read a body that nobody needs, so that the connection can be used again.

    After `CONNECT_TIMEOUT` the rest is not awaited and the connection isn't reused.
    """
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(CONNECT_TIMEOUT):
            body = await _read_body(answer, reservation)
            if body is not None and answer.end is not AnswerEnd.BROKEN:
                reservation.release_request_bytes(len(body))


async def _read_stream(
    attempt: Attempt, answer: TargetAnswer, head: AnswerHead, stream: AttemptStream
) -> AttemptEnd:
    transfer = EventTransfer(head, stream)
    block = await _wait_for_first_bytes(attempt, answer.read)
    if isinstance(block, AttemptFailed):
        return block
    await stream.prepare()
    takes_more = not block or transfer.consume(block)
    while transfer.fault is None:
        if not takes_more:
            await stream.drain()
        if answer.end is not None and not answer.has_unread_blocks:
            break
        stall = await _forward(attempt, answer, transfer)
        if stall is not None:
            return stall
        takes_more = False
    return _end_stream(answer, head, transfer, stream)


def _end_stream(
    answer: TargetAnswer,
    head: AnswerHead,
    transfer: EventTransfer,
    stream: AttemptStream,
) -> AttemptEnd:
    """Finish a stream that is complete; else return what is wrong with it."""
    if transfer.fault is not None:
        return _make_broken_failure(transfer.fault)
    if answer.end is AnswerEnd.BROKEN:
        return _make_lost_failure("the connection broke within the stream")
    if transfer.has_partial_event:
        return _make_broken_failure("the stream ended within an event")
    if head.is_unframed and not stream.has_events:
        return _make_broken_failure("the stream ended before its first event")
    if stream.is_empty_continuation:
        # It may be an error without a body. A caller that already has all events gets
        # the end of the stream when it resumes.
        return _make_broken_failure("the stream was continued without an event")
    if not stream.finish(head):
        return _make_broken_failure(OTHER_ATTEMPT)
    return StreamDelivered(head)


async def _forward(
    attempt: Attempt, answer: TargetAnswer, transfer: EventTransfer
) -> AttemptFailed | None:
    """Forward events until the end or a pause; return a failure when the stream stalls.

    A stream that stalls is abandoned only if the request may be retried.
    """
    while True:
        try:
            await answer.forward(transfer.consume, attempt.stall_timeout)
        except TimeoutError:
            if attempt.claim_retry():
                return AttemptFailed(
                    AttemptResult.SILENT,
                    Execution.MAY_HAVE_RUN,
                    f"no data in the stream for {attempt.stall_timeout:.3f} s",
                )
        else:
            return None


def _make_broken_failure(cause: str) -> AttemptFailed:
    return AttemptFailed(AttemptResult.BROKEN, Execution.MAY_HAVE_RUN, cause)


def _make_lost_failure(cause: str) -> AttemptFailed:
    return dataclasses.replace(_make_broken_failure(cause), is_connection_lost=True)

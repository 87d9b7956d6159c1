"""Runs the attempts of requests and records what each of them shows."""

import asyncio
import contextlib
import dataclasses
from collections.abc import Callable

from kingcuphead.addresses import Address
from kingcuphead.dispatch import AttemptResult, Placement
from kingcuphead.forwarding._attempt import (
    Attempt,
    AttemptEnd,
    AttemptFailed,
    classify_end,
    describe_end,
)
from kingcuphead.forwarding._connection import TargetConnection
from kingcuphead.forwarding._context import (
    AnswerRecord,
    AttemptRecord,
    RequestContext,
)
from kingcuphead.forwarding._dependencies import Dependencies
from kingcuphead.forwarding._evidence import EndedAttempt
from kingcuphead.forwarding._memory import MemoryReservation
from kingcuphead.forwarding._messages import (
    AnswerHead,
    AnswerIdentity,
    SendOptions,
    TargetStated,
)
from kingcuphead.forwarding._retry_decision import RetryDecision
from kingcuphead.forwarding._stream import AnswerStream, AttemptStream
from kingcuphead.resumption import BegunStream
from kingcuphead.targets import Target
from kingcuphead.timing import get_time
from kingcuphead.verdict import Execution

#: Upper bound of the first-byte timeout as a share of the time until the deadline; the
#: rest is left for a retry.
FIRST_BYTE_TIMEOUT_SHARE = 0.6
#: Seconds for which a retry waits until it is known whether the target of the attempt
#: before was lost; a process that has ended refuses connections within a round trip.
CHECK_TIMEOUT = 0.05
#: First-byte timeout in units of the route's latency objective.
FIRST_BYTE_TIMEOUT_OBJECTIVES = 2.2
#: Lower bound of the stall timeout of a stream in seconds; a sound target may be silent
#: for a second or so.
MIN_STALL_TIMEOUT = 1.6


@dataclasses.dataclass(slots=True)
class AttemptPath:
    """How the bytes of one attempt travel."""

    #: Daemon that passes them on; None without one.
    helper: Address | None = None
    #: Number of requests that were sent on the connection before this one.
    earlier_requests: int = 0
    #: What the answer says of itself; None without one.
    answer: AnswerRecord | None = None

    def record_connection(self, connection: TargetConnection) -> None:
        """Record the connection that the request is sent on."""
        self.helper = connection.helper
        self.earlier_requests = connection.request_count


class AttemptDriver:
    """Sends requests to chosen targets.

    Parameters
    ----------
    dependencies
        Objects shared by all requests.
    retries
        Decides whether an attempt without an answer is given up for another one.
    """

    def __init__(self, dependencies: Dependencies, retries: RetryDecision) -> None:
        self._dependencies = dependencies
        self._retries = retries

    async def run(
        self,
        context: RequestContext,
        placement: Placement,
        reservation: MemoryReservation,
        stream: AnswerStream | None,
        report_first_event: Callable[[], None] = lambda: None,
    ) -> AttemptEnd:
        """Send a request to the chosen target and read the answer.

        Parameters
        ----------
        context
            Request, which keeps what the attempt shows.
        placement
            Choice of the target.
        reservation
            Counts the bytes held for the request.
        stream
            Receives the events; None for an answer that is returned when complete.
        report_first_event
            Called before the first event is sent to the caller.
        """
        context.tried.append(placement.target.name)
        path = AttemptPath()
        started_at = get_time()
        events = None
        if stream is not None:
            events = self._begin_events(context, placement, stream, report_first_event)
        context.possible_runs += 1
        end: AttemptEnd | None = None
        try:
            attempt = self._make_attempt(context, placement, path, reservation, stream)
            end = await self._dependencies.runner.run(attempt, events)
        finally:
            if events is not None:
                events.close()
            seconds = get_time() - started_at
            self._record_attempt(context, placement, path, end, seconds)
            checked = self._record_evidence(context, placement, end, events)
        if isinstance(end, AttemptFailed):
            await self._apply_failure(context, placement, end, checked)
        return end

    async def _apply_failure(
        self,
        context: RequestContext,
        placement: Placement,
        failure: AttemptFailed,
        checked: asyncio.Event | None,
    ) -> None:
        if failure.execution is Execution.NOT_RUN:
            context.possible_runs -= 1
        elif failure.is_connection_lost and checked is not None:
            await _wait_briefly(checked)
        if failure.is_misdirected:
            self._dependencies.directory.mark_replaced(placement.target)

    def _begin_events(
        self,
        context: RequestContext,
        placement: Placement,
        stream: AnswerStream,
        report_first_event: Callable[[], None],
    ) -> AttemptStream:
        def report_start() -> None:
            self._record_start(context, placement)
            report_first_event()

        return stream.begin_attempt(report_start)

    def _record_attempt(
        self,
        context: RequestContext,
        placement: Placement,
        path: AttemptPath,
        end: AttemptEnd | None,
        seconds: float,
    ) -> None:
        """Record the outcome of an attempt for the log and the health of its target.

        Parameters
        ----------
        context
            Request of the attempt.
        placement
            Target of the attempt.
        path
            How its bytes travelled.
        end
            How the attempt ended; None if it was abandoned.
        seconds
            Duration of the attempt.
        """
        result = AttemptResult.CANCELLED if end is None else classify_end(end)
        context.records.append(
            AttemptRecord(
                placement.target.name,
                placement.target.software_version,
                placement.is_preferred,
                placement.prefill.copied_tokens,
                placement.cost,
                result,
                "cancelled" if end is None else describe_end(end),
                seconds,
                path.helper,
                path.earlier_requests,
                path.answer,
            )
        )
        self._dependencies.dispatcher.record_result(placement, result, get_time())
        self._dependencies.permits.release(
            placement.target, was_rejected=result is AttemptResult.REFUSED
        )
        if self._dependencies.admission is not None:
            self._dependencies.admission.wake(context.service)

    def _make_attempt(
        self,
        context: RequestContext,
        placement: Placement,
        path: AttemptPath,
        reservation: MemoryReservation,
        stream: AnswerStream | None,
    ) -> Attempt:
        now = get_time()
        remaining = context.deadline - now
        source = placement.prefill.source
        options = SendOptions(
            target=placement.target.name,
            organisation=context.payer,
            remaining=remaining,
            rank=context.rank,
            resume_after=stream.last_event_id if stream is not None else 0,
            copy_from=source.address if source is not None else "",
        )
        timeout = FIRST_BYTE_TIMEOUT_OBJECTIVES * context.route.objective
        return Attempt(
            request=context.request,
            reservation=reservation,
            options=options,
            address=placement.target.address,
            first_byte_timeout=min(timeout, FIRST_BYTE_TIMEOUT_SHARE * remaining),
            stall_timeout=max(MIN_STALL_TIMEOUT, 2 * context.route.event_gap_objective),
            claim_retry=lambda: self._retries.claim(context),
            record_connection=path.record_connection,
            record_head=lambda head: self._record_head(
                context, placement.target, path, head
            ),
        )

    def _record_head(
        self,
        context: RequestContext,
        target: Target,
        path: AttemptPath,
        head: AnswerHead,
    ) -> None:
        """Apply what a target says about itself in an answer."""
        identity = head.identify(context.request)
        skipped = 0 if path.answer is None else path.answer.skipped + 1
        path.answer = AnswerRecord(head.status, identity, head.is_not_run, skipped)
        if identity is not AnswerIdentity.OWN or head.is_misdirected:
            return
        is_stated = head.is_leaving or head.retry_after is not None
        if path.helper is not None and is_stated:
            pause = head.retry_after or 0.0
            statement = TargetStated(
                target.name, head.is_leaving, pause, target.started_at_ms
            )
            self._dependencies.report_statement(statement, path.helper)
        permits = self._dependencies.permits
        if head.is_leaving:
            self._dependencies.report_leaving(target)
        if head.retry_after is not None:
            permits.pause(target, head.retry_after)
        permits.record_terms(target, head.terms)
        if head.cold_left is not None:
            self._dependencies.directory.record_cold(target, head.cold_left)

    def _record_start(self, context: RequestContext, placement: Placement) -> None:
        """Record the software version of the first event that the caller gets."""
        target = placement.target
        if self._dependencies.admission is not None:
            # Prompts that were processed take no room from those that wait.
            self._dependencies.dispatcher.record_answer_start(placement, get_time())
            self._dependencies.admission.wake(context.service)
        self._dependencies.dispatcher.record_first_event(placement, get_time())
        if context.bound_version is None:
            context.bound_version = target.software_version
        stream_id = context.request.stream_id
        if context.route.is_resumable and stream_id:
            stream = BegunStream(stream_id, target.service, context.bound_version)
            self._dependencies.resumption.record_start(stream)

    def _record_evidence(
        self,
        context: RequestContext,
        placement: Placement,
        end: AttemptEnd | None,
        events: AttemptStream | None,
    ) -> asyncio.Event | None:
        seconds = None if events is None else events.get_running_seconds()
        return self._dependencies.evidence.record(
            EndedAttempt(context.identity, placement.target, end, seconds)
        )


async def _wait_briefly(checked: asyncio.Event) -> None:
    """Wait until it is known whether a target was lost, for `CHECK_TIMEOUT` at most."""
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(CHECK_TIMEOUT):
            await checked.wait()

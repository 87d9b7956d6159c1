"""Serves a request: routing, authentication, credit hold, attempts and settlement."""

import asyncio
import contextlib
import random
from collections.abc import Callable

from expression import Error, Ok, Result

from kingcuphead.dispatch import AttemptResult, Placement
from kingcuphead.forwarding._attempt import (
    Answered,
    Attempt,
    AttemptEnd,
    AttemptFailed,
    StreamDelivered,
    classify_end,
    describe_end,
)
from kingcuphead.forwarding._charging import Charging
from kingcuphead.forwarding._clock import get_time
from kingcuphead.forwarding._context import (
    AttemptRecord,
    RequestContext,
    log_rejection,
)
from kingcuphead.forwarding._dependencies import Dependencies
from kingcuphead.forwarding._evidence import EndedAttempt
from kingcuphead.forwarding._fingerprint import identify_request
from kingcuphead.forwarding._messages import (
    AnswerHead,
    CallerRequest,
    SendOptions,
    TargetStated,
)
from kingcuphead.forwarding._ports import Caller
from kingcuphead.forwarding._refusals import Refusal, refuse
from kingcuphead.forwarding._retry_decision import RetryDecision
from kingcuphead.forwarding._stream import AnswerStream
from kingcuphead.resumption import BegunStream
from kingcuphead.routing import (
    RequestKind,
    RoutingTable,
    choose_service,
)
from kingcuphead.targets import Target
from kingcuphead.verdict import Execution, Reason

#: Seconds after which a caller may retry at a daemon that has no configuration yet.
CONFIGURATION_RETRY_AFTER = 0.5
#: Seconds after which a caller may take up a stream of unknown origin again, in case
#: the daemon that knows it can be reached then.
ORIGIN_RETRY_AFTER = 1.0
#: Seconds after which a caller may retry if no target ran the request.
TARGET_RETRY_AFTER = 0.3
#: Lower bound in seconds of the time after which a caller may retry when the targets
#: have no permits left; the next ones go to requests that come meanwhile.
MIN_RETRY_AFTER = 0.1
#: Upper bound of the first-byte timeout as a share of the time until the deadline; the
#: rest is left for a retry.
FIRST_BYTE_TIMEOUT_SHARE = 0.6
#: Seconds for which a retry waits until it is known whether the target of the attempt
#: before was lost; a process that has ended refuses connections within a round trip.
CHECK_TIMEOUT = 0.05
#: First-byte timeout in units of the route's latency objective.
FIRST_BYTE_TIMEOUT_OBJECTIVES = 2.2
#: Number of targets that a request claims a permit of before it is refused.
MAX_CLAIMS = 8
#: Lower bound of the stall timeout of a stream in seconds; a sound target may be silent
#: for a second or so.
MIN_STALL_TIMEOUT = 1.6


class RequestForwarder:
    """Serves callers' requests by the current configuration.

    Parameters
    ----------
    dependencies
        Objects shared by all requests.
    rng
        Chooses among the services of a route in proportion to their weights.
    record_end
        Called at the end of each admitted request, with its refusal if it has one.
    """

    def __init__(
        self,
        dependencies: Dependencies,
        rng: random.Random,
        record_end: Callable[[RequestContext, Refusal | None], None],
    ) -> None:
        self._dependencies = dependencies
        self._rng = rng
        self._record_end = record_end
        self._table: RoutingTable | None = None
        self._charging = Charging(dependencies.credit)
        self._retries = RetryDecision(dependencies.directory, dependencies.retries)

    def apply(self, table: RoutingTable) -> None:
        """Replace the configuration for requests that arrive from now on."""
        self._table = table

    async def serve(self, request: CallerRequest, caller: Caller) -> Refusal | None:
        """Serve a request until its final answer.

        Returns
        -------
        Refusal or None
            Refusal that is still to be sent to the caller; None if the caller got an
            answer, or a stream that was aborted because it could not be completed.
        """
        admitted = self._admit(request)
        if admitted.is_error():
            log_rejection(request, admitted.error)
            return admitted.error
        context = admitted.ok
        refusal = None
        try:
            refusal = await self._serve_admitted(context, caller)
        finally:
            context.log_end(refusal, get_time())
            self._record_end(context, refusal)
        return refusal

    async def _serve_admitted(
        self, context: RequestContext, caller: Caller
    ) -> Refusal | None:
        if self._is_quarantined(context):
            return self._refuse_quarantined(context)
        if context.takes_up_stream and not await self._find_origin(context):
            return refuse(503, Reason.STREAM_UNKNOWN, ORIGIN_RETRY_AFTER)
        held = await self._charging.acquire_hold(context)
        if held.is_error():
            return held.error
        stream = None
        if context.route.kind is RequestKind.STREAM:
            stream = AnswerStream(caller, context.request.resume_after)
        try:
            async with asyncio.timeout_at(context.deadline):
                return await self._run_attempts(context, caller, stream)
        except TimeoutError:
            return self._time_out(context, caller, stream)
        finally:
            if stream is not None and stream.is_started:
                started_after = stream.started_at - context.request.arrived_at
                context.first_event_seconds = round(started_after, 3)
            self._charging.settle(context, held.ok, stream)

    def _admit(self, request: CallerRequest) -> Result[RequestContext, Refusal]:
        table = self._table
        if table is None:
            return Error(
                refuse(503, Reason.CONFIGURATION_STALE, CONFIGURATION_RETRY_AFTER)
            )
        route = table.find_route(request.host, request.path)
        if route is None:
            return Error(refuse(404, Reason.SERVICE_NOT_FOUND))
        organisation = table.find_organisation(request.key)
        if organisation is None and not route.is_anonymous:
            return Error(refuse(401, Reason.UNAUTHENTICATED))
        timeout = route.timeout
        if request.timeout is not None:
            timeout = min(timeout, request.timeout)
        service = choose_service(route, self._rng.random())
        context = RequestContext(
            request=request,
            route=route,
            service=service,
            organisation=organisation,
            deadline=request.arrived_at + timeout,
            revision=table.configuration.version,
        )
        context.identity = identify_request(request, context.payer)
        context.tokens_per_event = table.get_tokens_per_event(service)
        self._dependencies.retries.count_request(service, get_time())
        return Ok(context)

    async def _find_origin(self, context: RequestContext) -> bool:
        """Bind a stream that a caller takes up to the version that began it.

        Returns
        -------
        bool
            Whether that version is known.
        """
        services = [each.service for each in context.route.services]
        origin = await self._dependencies.resumption.find_origin(
            context.request.resumed_id, services
        )
        if origin is None:
            return False
        context.bound_version = origin.software_version
        if origin.service in services:
            context.service = origin.service
        return True

    async def _run_attempts(
        self, context: RequestContext, caller: Caller, stream: AnswerStream | None
    ) -> Refusal | None:
        while True:
            if self._is_quarantined(context):
                return self._abandon(context, caller, stream)
            placement = await self._place(context)
            if placement is None:
                return self._abandon(context, caller, stream)
            end = await self._run_attempt(context, placement, stream)
            match end:
                case StreamDelivered():
                    context.status = 200
                    return None
                case Answered() if self._retries.claim_after_answer(context, end):
                    continue
                case Answered() if stream is not None and stream.is_started:
                    # Events of another target precede it, so the head and the body of
                    # this answer can't be sent any more.
                    return self._abandon(context, caller, stream)
                case Answered():
                    context.status = end.head.status
                    await _send_answer(caller, end)
                    return None
                case AttemptFailed() as failure:
                    if not self._retries.claim_after_failure(context, failure):
                        return self._abandon(context, caller, stream)

    async def _place(self, context: RequestContext) -> Placement | None:
        """Choose a target of which a permit can be had; None if there is none."""
        for _ in range(MAX_CLAIMS):
            placement = self._dependencies.dispatcher.place(
                context.make_placement_request(),
                self._dependencies.permits.select_open(self._list_eligible(context)),
                context.tried,
                get_time(),
            )
            if placement is None or await self._claim_permit(placement):
                return placement
        return None

    async def _claim_permit(self, placement: Placement) -> bool:
        is_granted = False
        try:
            is_granted = await self._dependencies.permits.claim(placement.target)
        finally:
            if not is_granted:
                self._dependencies.dispatcher.withdraw(placement)
        return is_granted

    def _list_eligible(self, context: RequestContext) -> tuple[Target, ...]:
        usable = self._dependencies.directory.list_usable(context.service)
        return context.select_eligible(usable)

    async def _run_attempt(
        self, context: RequestContext, placement: Placement, stream: AnswerStream | None
    ) -> AttemptEnd:
        context.tried.append(placement.target.name)
        context.helper = None
        started_at = get_time()
        if stream is not None:
            stream.begin_attempt(lambda: self._record_start(context, placement.target))
        previous_execution, context.execution = (
            context.execution,
            Execution.MAY_HAVE_RUN,
        )
        end: AttemptEnd | None = None
        try:
            attempt = self._make_attempt(context, placement, stream)
            end = await self._dependencies.runner.run(attempt, stream)
        finally:
            self._record_attempt(context, placement, end, get_time() - started_at)
            checked = self._record_evidence(context, placement, end, stream)
        match end:
            case AttemptFailed(execution=Execution.NOT_RUN):
                context.execution = previous_execution
            case AttemptFailed(is_connection_lost=True) if checked is not None:
                await _wait_briefly(checked)
        if isinstance(end, AttemptFailed) and end.is_misdirected:
            self._dependencies.directory.mark_replaced(placement.target)
        return end

    def _record_attempt(
        self,
        context: RequestContext,
        placement: Placement,
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
                context.helper,
            )
        )
        self._dependencies.dispatcher.record_result(placement, result, get_time())
        self._dependencies.permits.release(
            placement.target, was_rejected=result is AttemptResult.REFUSED
        )

    def _make_attempt(
        self, context: RequestContext, placement: Placement, stream: AnswerStream | None
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
            options=options,
            address=placement.target.address,
            first_byte_timeout=min(timeout, FIRST_BYTE_TIMEOUT_SHARE * remaining),
            stall_timeout=max(MIN_STALL_TIMEOUT, 2 * context.route.event_gap_objective),
            claim_retry=lambda: self._retries.claim(context),
            record_helper=lambda helper: setattr(context, "helper", helper),
            record_head=lambda head: self._record_head(context, placement.target, head),
        )

    def _record_head(
        self,
        context: RequestContext,
        target: Target,
        head: AnswerHead,
    ) -> None:
        """Apply what a target says about itself in an answer."""
        is_stated = head.is_leaving or head.retry_after is not None
        if context.helper is not None and is_stated:
            pause = head.retry_after or 0.0
            statement = TargetStated(target.name, head.is_leaving, pause)
            self._dependencies.report_statement(statement, context.helper)
        permits = self._dependencies.permits
        if head.is_leaving:
            self._dependencies.report_leaving(target)
        if head.retry_after is not None:
            permits.pause(target, head.retry_after)
        if head.request_id == context.request.request_id:
            permits.record_terms(target, head.terms)

    def _record_start(self, context: RequestContext, target: Target) -> None:
        """Record the software version of the first event that the caller gets."""
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
        stream: AnswerStream | None,
    ) -> asyncio.Event | None:
        seconds = None if stream is None else stream.get_running_seconds()
        return self._dependencies.evidence.record(
            EndedAttempt(context.identity, placement.target, end, seconds)
        )

    def _is_quarantined(self, context: RequestContext) -> bool:
        remaining = self._dependencies.quarantine.get_remaining(context.identity)
        return remaining > 0

    def _refuse_quarantined(self, context: RequestContext) -> Refusal:
        remaining = self._dependencies.quarantine.get_remaining(context.identity)
        return refuse(503, Reason.QUARANTINED, remaining)

    def _abandon(
        self, context: RequestContext, caller: Caller, stream: AnswerStream | None
    ) -> Refusal | None:
        """Abort a stream that has begun; else return the final refusal."""
        if stream is not None and stream.is_started:
            caller.abort()
            return None
        if context.execution is Execution.NOT_RUN and self._is_quarantined(context):
            return self._refuse_quarantined(context)
        if context.execution is Execution.NOT_RUN:
            return self._refuse_without_target(context)
        return refuse(502, Reason.TARGET_FAILED)

    def _refuse_without_target(self, context: RequestContext) -> Refusal:
        """Refuse a request until a target may have room for it."""
        delay = self._dependencies.permits.get_delay(self._list_eligible(context))
        if delay is None:
            return refuse(503, Reason.NO_TARGET, TARGET_RETRY_AFTER)
        return refuse(503, Reason.TARGETS_CLOSED, max(delay, MIN_RETRY_AFTER))

    def _time_out(
        self, context: RequestContext, caller: Caller, stream: AnswerStream | None
    ) -> Refusal | None:
        """Abort a stream that has begun at the deadline; else return a refusal."""
        if stream is not None and stream.is_started:
            caller.abort()
            return None
        return refuse(504, Reason.TARGET_TIMED_OUT)


async def _wait_briefly(checked: asyncio.Event) -> None:
    """Wait until it is known whether a target was lost, for `CHECK_TIMEOUT` at most."""
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(CHECK_TIMEOUT):
            await checked.wait()


async def _send_answer(caller: Caller, answer: Answered) -> None:
    headers = answer.head.headers
    headers["Content-Length"] = str(len(answer.body))
    await caller.start(answer.head.status, headers)
    if answer.body:
        await caller.write(answer.body)
    caller.finish()

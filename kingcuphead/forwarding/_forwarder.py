"""Serves a request: routing, authentication, credit hold, attempts and settlement."""

import asyncio
import random
from collections.abc import Callable

from expression import Error, Ok, Result

from kingcuphead.admission import SHUTDOWN_RETRY_AFTER
from kingcuphead.credit import Hold
from kingcuphead.dispatch import Placement
from kingcuphead.forwarding._admission import AdmissionStep
from kingcuphead.forwarding._attempt import (
    Answered,
    AttemptFailed,
    StreamDelivered,
)
from kingcuphead.forwarding._attempt_driver import AttemptDriver
from kingcuphead.forwarding._charging import Charging
from kingcuphead.forwarding._context import (
    RequestContext,
    log_rejection,
)
from kingcuphead.forwarding._dependencies import Dependencies
from kingcuphead.forwarding._fingerprint import identify_request
from kingcuphead.forwarding._hedged_attempts import HedgedAttempts
from kingcuphead.forwarding._memory import OutOfMemoryError
from kingcuphead.forwarding._messages import CallerRequest
from kingcuphead.forwarding._open_requests import OpenRequests, ShutdownError
from kingcuphead.forwarding._ports import Caller
from kingcuphead.forwarding._refusals import Refusal, refuse
from kingcuphead.forwarding._retry_decision import RetryDecision
from kingcuphead.forwarding._stream import AnswerStream
from kingcuphead.forwarding._target_choice import TargetChoice
from kingcuphead.routing import (
    RequestKind,
    RoutingTable,
    choose_service,
)
from kingcuphead.timing import get_time
from kingcuphead.verdict import Execution, Reason

#: Seconds after which a caller may retry at a daemon that has no configuration yet, or
#: that may lack the newest one.
CONFIGURATION_RETRY_AFTER = 0.5
#: Seconds after which a caller may resume a stream of unknown origin again, in case
#: the daemon that knows it can be reached then.
ORIGIN_RETRY_AFTER = 1.0
#: Seconds after which a caller may retry if no target ran the request.
TARGET_RETRY_AFTER = 0.3
#: Seconds after which a caller may retry a request that no target has the memory for;
#: by then there may be another configuration.
TOO_LARGE_RETRY_AFTER = 5.0
#: Seconds until a request that no engine had memory for waits for room again; without
#: them, a request that is admitted at once would occupy the event loop.
MEMORY_CHECK_INTERVAL = 0.02
#: Lower bound in seconds of the time after which a caller may retry when the targets
#: have no permits left; the next ones go to requests that come meanwhile.
MIN_RETRY_AFTER = 0.1


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
        self._targets = TargetChoice(
            dependencies.directory, dependencies.dispatcher, dependencies.permits
        )
        self._attempts = HedgedAttempts(
            dependencies, AttemptDriver(dependencies, self._retries), self._targets
        )
        self._admission = AdmissionStep(dependencies.admission, self._targets)
        self._open_requests = OpenRequests()

    def apply(self, table: RoutingTable) -> None:
        """Replace the configuration for requests that arrive from now on."""
        self._table = table

    def finish_by(self, last_start_at: float, end_at: float) -> None:
        """End all requests with a final answer before the process ends.

        Parameters
        ----------
        last_start_at
            Time of the event loop from which on no request is passed on to a target.
        end_at
            Time at which the requests that targets still run are ended.
        """
        self._open_requests.finish_by(last_start_at, end_at)

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
            async with self._open_requests.track(context):
                refusal = await self._serve_admitted(context, caller)
        except ShutdownError:
            refusal = _end_at_shutdown(context, caller)
        finally:
            context.log_end(refusal, get_time())
            self._record_end(context, refusal)
            if context.trial is not None and context.is_trial_open:
                self._dependencies.quarantine.give_back(context.trial)
        return refusal

    async def _serve_admitted(
        self, context: RequestContext, caller: Caller
    ) -> Refusal | None:
        if self._is_quarantined(context):
            context.trial = self._dependencies.quarantine.claim_trial(context.identity)
            if context.trial is None:
                return self._refuse_quarantined(context)
        if context.takes_up_stream and not await self._find_origin(context):
            return refuse(503, Reason.STREAM_UNKNOWN, ORIGIN_RETRY_AFTER)
        if self._targets.is_too_large(context):
            return refuse(503, Reason.REQUEST_TOO_LARGE, TOO_LARGE_RETRY_AFTER)
        while True:
            refusal = await self._serve_after_wait(context, caller)
            if not self._waits_for_memory(context, refusal):
                return refusal
            await asyncio.sleep(MEMORY_CHECK_INTERVAL)

    def _waits_for_memory(
        self, context: RequestContext, refusal: Refusal | None
    ) -> bool:
        """Whether a request waits again, as no engine had memory for it after all."""
        return (
            self._admission.is_enabled
            and refusal is not None
            and refusal.reason is Reason.TARGETS_CLOSED
            and context.lacks_memory
            and get_time() + 2 * MEMORY_CHECK_INTERVAL < context.deadline
        )

    async def _serve_after_wait(
        self, context: RequestContext, caller: Caller
    ) -> Refusal | None:
        # A request that waits holds no credit.
        refusal = await self._admission.enter(context)
        if refusal is not None:
            return refusal
        held = await self._charging.acquire_hold(context)
        if held.is_error():
            return held.error
        stream = None
        if context.route.kind is RequestKind.STREAM:
            stream = AnswerStream(
                caller,
                context.request.resume_after,
                lambda: self._charging.activate(held.ok),
            )
        try:
            return await self._serve_until_deadline(context, caller, stream, held.ok)
        finally:
            caller.reservation.on_end = None
            if stream is not None and stream.is_started:
                started_after = stream.started_at - context.request.arrived_at
                context.first_event_seconds = round(started_after, 3)
            self._admission.record_end(context, stream)
            self._charging.settle(context, held.ok, stream)

    async def _serve_until_deadline(
        self,
        context: RequestContext,
        caller: Caller,
        stream: AnswerStream | None,
        hold: Hold | None,
    ) -> Refusal | None:
        """Run attempts until the deadline, or until the memory is needed elsewhere."""
        try:
            async with asyncio.timeout_at(context.deadline) as scope:
                if caller.reservation.is_ended:
                    raise OutOfMemoryError
                caller.reservation.on_end = lambda: _expire(scope)
                return await self._run_attempts(context, caller, stream, hold)
        except OutOfMemoryError:
            return _end_without_memory(context, caller)
        except TimeoutError:
            if caller.reservation.is_ended:
                return _end_without_memory(context, caller)
            return self._time_out(context, caller)

    def _admit(self, request: CallerRequest) -> Result[RequestContext, Refusal]:
        table = self._table
        if table is None:
            return Error(
                refuse(503, Reason.CONFIGURATION_STALE, CONFIGURATION_RETRY_AFTER)
            )
        route = table.find_route(request.host, request.path)
        if route is None:
            return Error(self._refuse_unknown(404, Reason.SERVICE_NOT_FOUND))
        organisation = table.find_organisation(request.key)
        if organisation is None and not route.is_anonymous:
            return Error(self._refuse_unknown(401, Reason.UNAUTHENTICATED))
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
        if self._dependencies.hedging is not None:
            self._dependencies.hedging.count_request(service, get_time())
        return Ok(context)

    def _refuse_unknown(self, status: int, reason: Reason) -> Refusal:
        """Refuse a route or a key that the configuration in force doesn't have.

        A later version may have it, so the refusal is final only if there is none.
        """
        if self._dependencies.is_configuration_current():
            return refuse(status, reason)
        return refuse(503, Reason.CONFIGURATION_STALE, CONFIGURATION_RETRY_AFTER)

    async def _find_origin(self, context: RequestContext) -> bool:
        """Bind a stream that a caller resumes to the version that began it.

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
        self,
        context: RequestContext,
        caller: Caller,
        stream: AnswerStream | None,
        hold: Hold | None,
    ) -> Refusal | None:
        while True:
            placement = await self._place(context)
            if placement is None:
                return self._abandon(context, caller, stream)
            end = await self._attempts.run(
                context, placement, caller.reservation, stream
            )
            match end:
                case StreamDelivered():
                    context.status = 200
                    return None
                case Answered() if self._retries.claim_after_answer(context, end):
                    caller.reservation.release_request_bytes(len(end.body))
                case Answered() if stream is not None and stream.is_started:
                    # Events of another target precede it, so the head and the body of
                    # this answer can't be sent any more.
                    return self._abandon(context, caller, stream)
                case Answered():
                    await self._charging.activate(hold)
                    context.status = end.head.status
                    _send_answer(caller, end)
                    return None
                case AttemptFailed() as failure:
                    if not self._retries.claim_after_failure(context, failure):
                        return self._abandon(context, caller, stream)

    async def _place(self, context: RequestContext) -> Placement | None:
        """Choose a target; None if the request may not or can't be passed on."""
        if self._is_held_back(context) or not self._open_requests.accepts_attempts:
            return None
        return await self._targets.place(context)

    def _is_held_back(self, context: RequestContext) -> bool:
        """Whether the next attempt is refused; a trial reaches one target only."""
        quarantine = self._dependencies.quarantine
        if context.trial is not None and context.is_trial_open:
            return not quarantine.covers(context.trial, context.identity)
        return self._is_quarantined(context)

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
        if not self._open_requests.accepts_attempts:
            return _end_at_shutdown(context, caller)
        if context.execution is Execution.NOT_RUN:
            return self._refuse_without_target(context)
        return refuse(502, Reason.TARGET_FAILED)

    def _refuse_without_target(self, context: RequestContext) -> Refusal:
        """Refuse a request until a target may have room for it."""
        delay = self._targets.get_delay(context)
        if delay is None:
            return refuse(503, Reason.NO_TARGET, TARGET_RETRY_AFTER)
        return refuse(503, Reason.TARGETS_CLOSED, max(delay, MIN_RETRY_AFTER))

    def _time_out(self, context: RequestContext, caller: Caller) -> Refusal | None:
        """Abort an answer that has begun at the deadline; else return a refusal."""
        if caller.is_started:
            caller.abort()
            return None
        is_admission_used = self._dependencies.admission is not None
        if is_admission_used and context.execution is Execution.NOT_RUN:
            return refuse(503, Reason.DEADLINE, TARGET_RETRY_AFTER)
        return refuse(504, Reason.TARGET_TIMED_OUT)


def _end_at_shutdown(context: RequestContext, caller: Caller) -> Refusal | None:
    return _end(context, caller, Reason.SHUTTING_DOWN, SHUTDOWN_RETRY_AFTER)


def _end_without_memory(context: RequestContext, caller: Caller) -> Refusal | None:
    return _end(context, caller, Reason.MEMORY_FULL, TARGET_RETRY_AFTER)


def _end(
    context: RequestContext, caller: Caller, reason: Reason, retry_after: float
) -> Refusal | None:
    """Abort an answer that has begun; else return a refusal by what may have run."""
    if caller.is_started:
        caller.abort()
        return None
    if context.execution is Execution.NOT_RUN:
        return refuse(503, reason, retry_after)
    return refuse(502, reason)


def _expire(scope: asyncio.Timeout) -> None:
    """End a request as at its deadline."""
    if not scope.expired():
        scope.reschedule(get_time())


def _send_answer(caller: Caller, answer: Answered) -> None:
    headers = answer.head.headers
    length = len(answer.body) if answer.head.has_body else answer.head.stated_length
    if length is not None:
        headers["Content-Length"] = str(length)
    caller.start(answer.head.status, headers)
    if answer.body:
        caller.send(answer.body)
    caller.finish()

"""The way of a request: route, organisation, credit, attempts, settlement."""

import asyncio
import dataclasses
import random
from collections.abc import Callable

from expression import Error, Ok, Result

from kingcuphead.credit import CreditTask, Hold, Shortage
from kingcuphead.dispatch import (
    AttemptResult,
    Dispatcher,
    Placement,
    RetryAllowance,
)
from kingcuphead.forwarding._attempt import (
    Answered,
    Attempt,
    AttemptEnd,
    AttemptFailed,
    AttemptRunner,
    StreamDelivered,
)
from kingcuphead.forwarding._journey import (
    AttemptRecord,
    Journey,
    log_rejection,
)
from kingcuphead.forwarding._messages import CallerRequest, SendOptions
from kingcuphead.forwarding._ports import Caller
from kingcuphead.forwarding._refusals import Refusal, refuse
from kingcuphead.forwarding._stream import AnswerStream
from kingcuphead.routing import (
    RequestKind,
    RoutingTable,
    choose_service,
)
from kingcuphead.targets import TargetDirectory
from kingcuphead.verdict import Execution, Reason

#: Longest time in seconds that a request waits for credit.
CREDIT_TIMEOUT = 1.0
#: Seconds after which a caller may come back for credit that others hold; what a daemon
#: took along that died does not come back at all.
CREDIT_RETRY_AFTER = 8.0
#: Seconds after which a caller may come back while the store can't be reached.
STORE_RETRY_AFTER = 3.0
#: Seconds after which a caller may come back to a daemon that has just started.
CONFIGURATION_RETRY_AFTER = 0.5
#: Seconds after which a caller may come back when no target was to be had.
TARGET_RETRY_AFTER = 0.3
#: Part of the remaining time after which another target is tried at the latest.
PATIENCE_SHARE = 0.6
#: Targets that are tried where no connection can be opened.
MAX_UNREACHABLE = 4
#: Objectives without a first byte after which another target is tried.
PATIENCE_OBJECTIVES = 2.2
#: Seconds of silence within a stream after which it goes on elsewhere, at least.
STALL_TIMEOUT = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Surroundings:
    """What the path of every request shares."""

    #: Which targets there are.
    directory: TargetDirectory
    #: Which of them gets a request.
    dispatcher: Dispatcher
    #: How often requests may be repeated.
    retries: RetryAllowance
    #: Credit of the organisations.
    credit: CreditTask
    #: The way to targets.
    runner: AttemptRunner


class RequestPath:
    """Serves requests.

    Parameters
    ----------
    surroundings
        What all requests share.
    draw
        Source of chance for routes with several services.
    report
        Called at the end of each request that had a route, with its refusal.
    """

    def __init__(
        self,
        surroundings: Surroundings,
        draw: random.Random,
        report: Callable[[Journey, Refusal | None], None],
    ) -> None:
        self._shared = surroundings
        self._draw = draw
        self._report = report
        self._table: RoutingTable | None = None

    def apply(self, table: RoutingTable) -> None:
        """Serve by another configuration from now on."""
        self._table = table

    async def serve(self, request: CallerRequest, caller: Caller) -> Refusal | None:
        """Serve a request to its end.

        Returns
        -------
        Refusal or None
            What the caller has to be told, if it has got nothing; a stream that
            can't be finished is broken off here.
        """
        admitted = self._admit(request)
        if admitted.is_error():
            log_rejection(request, admitted.error)
            return admitted.error
        journey = admitted.ok
        refusal = None
        try:
            refusal = await self._serve_admitted(journey, caller)
        finally:
            journey.log_end(refusal, _get_time())
            self._report(journey, refusal)
        return refusal

    async def _serve_admitted(self, journey: Journey, caller: Caller) -> Refusal | None:
        held = await self._hold(journey)
        if held.is_error():
            return held.error
        stream = None
        if journey.route.kind is RequestKind.STREAM:
            stream = AnswerStream(caller, journey.request.resume_after)
        try:
            async with asyncio.timeout_at(journey.deadline):
                return await self._run_attempts(journey, caller, stream)
        except TimeoutError:
            return self._end_late(journey, caller, stream)
        finally:
            if stream is not None and stream.is_started:
                started_after = stream.started_at - journey.request.arrived_at
                journey.first_event_seconds = round(started_after, 3)
            self._settle(journey, held.ok, stream)

    def _admit(self, request: CallerRequest) -> Result[Journey, Refusal]:
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
        patience = route.timeout
        if request.patience is not None:
            patience = min(patience, request.patience)
        service = choose_service(route, self._draw.random())
        journey = Journey(
            request=request,
            route=route,
            service=service,
            organisation=organisation,
            deadline=request.arrived_at + patience,
            revision=table.configuration.version,
        )
        profile = table.configuration.services.get(service)
        if profile is not None and profile.engine is not None:
            journey.tokens_per_event = profile.engine.tokens_per_event
        self._shared.retries.count_request(service, _get_time())
        return Ok(journey)

    async def _hold(self, journey: Journey) -> Result[Hold | None, Refusal]:
        organisation, size = journey.organisation, journey.request.size
        if organisation is None or organisation.prepaid_tokens is None or size is None:
            return Ok(None)
        tokens = size.prompt_tokens + size.output_tokens
        timeout = min(CREDIT_TIMEOUT, journey.deadline - _get_time())
        asked_at = _get_time()
        held = await self._shared.credit.hold(organisation.name, tokens, timeout)
        journey.credit_seconds = _get_time() - asked_at
        if held.is_ok():
            return Ok(held.ok)
        journey.credit_state = held.error.state
        match held.error.shortage:
            case Shortage.EXHAUSTED:
                return Error(refuse(402, Reason.BUDGET_EXHAUSTED))
            case Shortage.UNPROVEN:
                return Error(refuse(503, Reason.CREDIT_UNAVAILABLE, CREDIT_RETRY_AFTER))
            case Shortage.UNREACHABLE:
                return Error(refuse(503, Reason.CREDIT_UNAVAILABLE, STORE_RETRY_AFTER))

    def _settle(
        self, journey: Journey, hold: Hold | None, stream: AnswerStream | None
    ) -> None:
        if hold is None:
            return
        spent = 0
        size = journey.request.size
        if journey.execution is not Execution.NOT_RUN and size is not None:
            events = stream.events if stream is not None else 0
            output = min(events * journey.tokens_per_event, size.output_tokens)
            spent = size.prompt_tokens + output
        journey.spent = spent
        self._shared.credit.settle(hold, spent)

    async def _run_attempts(
        self, journey: Journey, caller: Caller, stream: AnswerStream | None
    ) -> Refusal | None:
        while True:
            placement = self._place(journey)
            if placement is None:
                return self._give_up(journey, caller, stream, None)
            end = await self._run_attempt(journey, placement, stream)
            match end:
                case StreamDelivered():
                    journey.status = 200
                    return None
                case Answered() if self._is_worth_repeating(journey, end):
                    continue
                case Answered() if stream is not None and stream.is_started:
                    # Its head and body can't follow events of another target.
                    return self._give_up(journey, caller, stream, None)
                case Answered():
                    journey.status = end.head.status
                    await _pass_on(caller, end)
                    return None
                case AttemptFailed() as failure:
                    if not self._may_try_again(journey, failure):
                        return self._give_up(journey, caller, stream, failure)

    def _place(self, journey: Journey) -> Placement | None:
        return self._shared.dispatcher.place(
            journey.describe_work(),
            self._shared.directory.list_usable(journey.service),
            journey.tried,
            _get_time(),
        )

    async def _run_attempt(
        self, journey: Journey, placement: Placement, stream: AnswerStream | None
    ) -> AttemptEnd:
        journey.tried.append(placement.target.name)
        started_at = _get_time()
        outcome = "cancelled"
        result = AttemptResult.CANCELLED
        before, journey.execution = journey.execution, Execution.MAY_HAVE_RUN
        try:
            attempt = self._make_attempt(journey, placement, stream)
            end = await self._shared.runner.run(attempt, stream)
            result = _judge(end)
            if isinstance(end, AttemptFailed) and end.execution is Execution.NOT_RUN:
                journey.execution = before
            outcome = _describe_end(end)
            if isinstance(end, AttemptFailed) and end.is_misdirected:
                self._shared.directory.mark_replaced(placement.target)
            return end
        finally:
            seconds = _get_time() - started_at
            journey.records.append(
                AttemptRecord(
                    placement.target.name,
                    placement.is_home,
                    placement.reading.copied_tokens,
                    placement.cost,
                    outcome,
                    seconds,
                )
            )
            self._shared.dispatcher.finish(placement, result, _get_time())

    def _make_attempt(
        self, journey: Journey, placement: Placement, stream: AnswerStream | None
    ) -> Attempt:
        now = _get_time()
        remaining = journey.deadline - now
        source = placement.reading.source
        options = SendOptions(
            target=placement.target.name,
            organisation=journey.payer,
            remaining=remaining,
            rank=journey.rank,
            resume_after=stream.last_number if stream is not None else 0,
            copy_from=source.address if source is not None else "",
        )
        patience = PATIENCE_OBJECTIVES * journey.route.objective
        return Attempt(
            request=journey.request,
            options=options,
            address=placement.target.address,
            patience=min(patience, PATIENCE_SHARE * remaining),
            stall_timeout=max(STALL_TIMEOUT, 2 * journey.route.longest_pause),
            may_repeat=lambda: self._may_repeat(journey),
        )

    def _is_worth_repeating(self, journey: Journey, answer: Answered) -> bool:
        return answer.head.status >= 500 and self._may_repeat(journey)

    def _may_try_again(self, journey: Journey, failure: AttemptFailed) -> bool:
        if failure.execution is Execution.NOT_RUN:
            if failure.result is AttemptResult.UNREACHABLE:
                # Nothing arrived, so that it counts neither as attempt nor as repeat.
                return len(journey.tried) < MAX_UNREACHABLE
            if failure.is_misdirected:
                return self._has_other_target(journey) and self._spend_repeat(journey)
            return self._has_attempts_left(journey) and self._spend_repeat(journey)
        if failure.result is AttemptResult.SILENT:
            # It was counted when the decision to leave the target was made.
            return True
        return self._may_repeat(journey)

    def _may_repeat(self, journey: Journey) -> bool:
        """Return whether a request that may have run goes to another target."""
        return (
            journey.route.may_run_again
            and self._has_attempts_left(journey)
            and self._has_other_target(journey)
            and self._spend_repeat(journey)
        )

    def _has_attempts_left(self, journey: Journey) -> bool:
        return len(journey.tried) < journey.route.max_attempts

    def _has_other_target(self, journey: Journey) -> bool:
        usable = self._shared.directory.list_usable(journey.service)
        return any(target.name not in journey.tried for target in usable)

    def _spend_repeat(self, journey: Journey) -> bool:
        return self._shared.retries.spend(journey.service, _get_time())

    def _give_up(
        self,
        journey: Journey,
        caller: Caller,
        stream: AnswerStream | None,
        failure: AttemptFailed | None,
    ) -> Refusal | None:
        if stream is not None and stream.is_started:
            caller.abort()
            return None
        if journey.execution is Execution.NOT_RUN:
            return refuse(503, Reason.NO_TARGET, TARGET_RETRY_AFTER)
        return refuse(502, Reason.TARGET_FAILED)

    def _end_late(
        self, journey: Journey, caller: Caller, stream: AnswerStream | None
    ) -> Refusal | None:
        if stream is not None and stream.is_started:
            caller.abort()
            return None
        return refuse(504, Reason.TARGET_TIMED_OUT)


def _describe_end(end: AttemptEnd) -> str:
    match end:
        case StreamDelivered():
            return "streamed"
        case Answered(head):
            return f"answered {head.status}"
        case AttemptFailed(result, _, cause):
            return f"{result.value} ({cause})"


def _judge(end: AttemptEnd) -> AttemptResult:
    match end:
        case StreamDelivered():
            return AttemptResult.ANSWERED
        case Answered(head) if head.status < 500:
            return AttemptResult.ANSWERED
        case Answered():
            return AttemptResult.FAILED
        case AttemptFailed(result):
            return result


async def _pass_on(caller: Caller, answer: Answered) -> None:
    headers = answer.head.headers
    headers["Content-Length"] = str(len(answer.body))
    await caller.start(answer.head.status, headers)
    if answer.body:
        await caller.write(answer.body)
    caller.finish()


def _get_time() -> float:
    return asyncio.get_running_loop().time()

"""Runs chat requests: hold credit, place, forward, settle."""

import dataclasses

from expression import Error, Ok, Result

from kingcuphead.api import AnswerEnd
from kingcuphead.pipeline._attempt import (
    ChatAttempt,
    CompleteResponse,
    FailedAttempt,
)
from kingcuphead.pipeline._claiming import Permit
from kingcuphead.pipeline._delivery import Delivery
from kingcuphead.pipeline._observations import Observer, Phase
from kingcuphead.pipeline._ports import Holds, HoldTerms, Targets
from kingcuphead.pipeline._retry import exclude_target, include_earlier_attempts
from kingcuphead.pipeline._settlement import Settlements
from kingcuphead.pipeline._stages import Admitted, ChatWork, Placed
from kingcuphead.placement import AnswerResult
from kingcuphead.queueing import RequestArrived
from kingcuphead.relay import Relay, Timeouts
from kingcuphead.verdict import Execution, Outcome, Reason


@dataclasses.dataclass(frozen=True, slots=True)
class ChatTimeouts:
    """Timeouts of a chat request."""

    #: Maximum time in seconds that a request waits for credit.
    hold_timeout: float
    #: Timeouts of the requests to targets.
    target: Timeouts


@dataclasses.dataclass(frozen=True, slots=True)
class ChatDependencies:
    """Dependencies shared by all chat requests."""

    #: Holds on budgets.
    holds: Holds
    #: Settlement of holds.
    settlements: Settlements
    #: Placement of requests on targets.
    targets: Targets
    #: HTTP client for targets.
    relay: Relay
    #: Timeouts of each request.
    timeouts: ChatTimeouts


class ChatForwarder:
    """Runs chat requests from the hold to the settlement.

    Parameters
    ----------
    dependencies
        Objects shared by all requests.
    """

    def __init__(self, dependencies: ChatDependencies) -> None:
        self._dependencies = dependencies

    async def serve(
        self,
        admitted: Admitted,
        work: ChatWork,
        permit: Permit,
        delivery: Delivery,
        observer: Observer,
    ) -> Outcome[None]:
        """Run one request.

        Returns
        -------
        Outcome
            Nothing if the complete response was delivered, else the verdict to send
            to the caller.
        """
        held = await self._hold(admitted, work)
        observer.end_phase(Phase.HOLD)
        match held:
            case Result(tag="ok", ok=hold_id):
                run = _ChatExecution(
                    self._dependencies,
                    admitted,
                    work,
                    permit,
                    delivery,
                    observer,
                    hold_id,
                )
                return await run.serve()
            case Result(error=verdict):
                return Error(verdict)

    async def _hold(self, admitted: Admitted, work: ChatWork) -> Outcome[str]:
        terms = HoldTerms(
            request_id=admitted.received.request_id,
            organisation=admitted.identified.organisation.name,
            budget=work.budget.name,
            policy=work.budget.policy,
            tokens=work.bound_tokens,
            timeout=self._dependencies.timeouts.hold_timeout,
        )
        return await self._dependencies.holds.hold(terms)


class _ChatExecution:
    """One request with a hold, from its first attempt to its settlement."""

    def __init__(
        self,
        dependencies: ChatDependencies,
        admitted: Admitted,
        work: ChatWork,
        permit: Permit,
        delivery: Delivery,
        observer: Observer,
        hold_id: str,
    ) -> None:
        self._dependencies = dependencies
        self._admitted = admitted
        self._work = work
        self._permit = permit
        self._delivery = delivery
        self._observer = observer
        self._hold_id = hold_id
        self._may_have_run = False
        self._is_settled = False
        self._has_first_token = False
        self._last_attempt: ChatAttempt | None = None

    async def serve(self) -> Outcome[None]:
        try:
            outcome = await self._run_attempts(self._make_arrival())
            match outcome:
                case Result(tag="ok", ok=end):
                    return await self._complete(end)
                case Result(error=verdict):
                    return Error(verdict)
        finally:
            self._end_hold()

    async def _run_attempts(self, arrival: RequestArrived) -> Outcome[AnswerEnd]:
        """Try targets until one responds completely or no retry is allowed."""
        while True:
            match await self._dependencies.targets.place(arrival):
                case Result(tag="ok", ok=placed):
                    self._observer.end_phase(Phase.QUEUE)
                    end = await self._run_attempt(placed)
                case Result(error=verdict):
                    return Error(verdict)
            match end:
                case CompleteResponse(answer_end):
                    return Ok(answer_end)
                case FailedAttempt(verdict) if not self._may_retry(end):
                    return Error(include_earlier_attempts(arrival, verdict))
                case FailedAttempt(verdict):
                    arrival = exclude_target(arrival, placed.target, verdict)
                    self._delivery.reset()

    async def _run_attempt(self, placed: Placed) -> CompleteResponse | FailedAttempt:
        attempt = ChatAttempt(
            self._dependencies.relay,
            self._admitted,
            self._work,
            self._dependencies.timeouts.target,
        )
        self._last_attempt = attempt
        self._has_first_token = False
        result = AnswerResult.CANCELLED
        try:
            self._permit.start_dispatch()
            end = await attempt.run(placed, self._deliver)
            if not attempt.may_have_run:
                self._permit.cancel_dispatch()
            result = _classify_result(end)
            return end
        finally:
            self._may_have_run = self._may_have_run or attempt.may_have_run
            self._dependencies.targets.finish(
                self._admitted.received.operation_id, placed.target, result
            )

    async def _deliver(self, block: bytes) -> None:
        if not self._has_first_token:
            self._has_first_token = True
            self._dependencies.targets.start(self._admitted.received.operation_id)
        self._observer.record_chunk()
        await self._delivery.deliver(block)

    def _may_retry(self, failure: FailedAttempt) -> bool:
        if (
            self._delivery.has_started
            or failure.verdict.reason is Reason.INVALID_REQUEST
        ):
            return False
        if failure.verdict.execution is Execution.NOT_RUN:
            return True
        return self._admitted.is_idempotent

    async def _complete(self, end: AnswerEnd) -> Outcome[None]:
        self._is_settled = True
        self._observer.record_usage(end.usage)
        settled = await self._dependencies.settlements.settle(
            self._hold_id, end.usage, self._work.bound_tokens
        )
        self._observer.end_phase(Phase.SETTLEMENT)
        match settled:
            case Result(tag="ok"):
                verdict = await self._delivery.complete(end)
                return Ok(None) if verdict is None else Error(verdict)
            case Result(error=verdict):
                return Error(verdict)

    def _end_hold(self) -> None:
        """End the hold of a request without a complete response.

        Releases it if no attempt can have run, else charges the usage that the last
        attempt reported, or the upper bound if it reported none.
        """
        if self._is_settled:
            return
        self._is_settled = True
        if not self._may_have_run:
            self._dependencies.settlements.release(self._hold_id)
            return
        usage = self._last_attempt.usage if self._last_attempt else None
        self._dependencies.settlements.start(
            self._hold_id, usage, self._work.bound_tokens
        )

    def _make_arrival(self) -> RequestArrived:
        admitted = self._admitted
        return RequestArrived(
            request_id=admitted.received.operation_id,
            organisation=admitted.identified.organisation.name,
            work_class=admitted.work_class.name,
            service=self._work.service,
            model=self._work.model.name,
            size=self._work.bound_tokens,
            deadline=admitted.deadline,
            affinity_key=admitted.affinity_key,
            fingerprint=admitted.fingerprint,
            is_idempotent=admitted.is_idempotent,
        )


def _classify_result(end: CompleteResponse | FailedAttempt) -> AnswerResult:
    match end:
        case CompleteResponse():
            return AnswerResult.WHOLE
        case FailedAttempt(result=result):
            return result

"""The path of a chat request: hold, place, relay, settle."""

import dataclasses

from expression import Error, Ok, Result

from kingcuphead.api import AnswerEnd
from kingcuphead.pipeline._attempt import (
    ChatAttempt,
    FailedAttempt,
    WholeAnswer,
)
from kingcuphead.pipeline._claiming import Permit
from kingcuphead.pipeline._delivery import Delivery
from kingcuphead.pipeline._observations import Observer, Phase
from kingcuphead.pipeline._ports import Holds, HoldTerms, Targets
from kingcuphead.pipeline._retry import exclude_target, include_history
from kingcuphead.pipeline._settlement import Settlements
from kingcuphead.pipeline._stages import Admitted, ChatWork, Placed
from kingcuphead.placement import AnswerResult
from kingcuphead.queueing import RequestArrived
from kingcuphead.relay import Relay, Timeouts
from kingcuphead.verdict import Execution, Outcome, Reason


@dataclasses.dataclass(frozen=True, slots=True)
class ChatTimes:
    """Time limits of a chat request."""

    #: Seconds that a request may wait for credit.
    hold_timeout: float
    #: Limits towards targets.
    target: Timeouts


@dataclasses.dataclass(frozen=True, slots=True)
class ChatResources:
    """What the path of a chat request works with."""

    #: Credit.
    holds: Holds
    #: Bills.
    settlements: Settlements
    #: Slots on targets.
    targets: Targets
    #: The way to targets.
    relay: Relay
    #: Time limits.
    times: ChatTimes


class ChatPath:
    """Serves chat requests.

    Parameters
    ----------
    resources
        What the path works with.
    """

    def __init__(self, resources: ChatResources) -> None:
        self._resources = resources

    async def serve(
        self,
        admitted: Admitted,
        work: ChatWork,
        permit: Permit,
        delivery: Delivery,
        observer: Observer,
    ) -> Outcome[None]:
        """Serve one request.

        Returns
        -------
        Outcome
            Nothing if the caller has its whole answer, else the verdict that it
            must be told.
        """
        held = await self._hold(admitted, work)
        observer.end_phase(Phase.HOLD)
        match held:
            case Result(tag="ok", ok=hold_id):
                run = _ChatRun(
                    self._resources, admitted, work, permit, delivery, observer, hold_id
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
            timeout=self._resources.times.hold_timeout,
        )
        return await self._resources.holds.hold(terms)


class _ChatRun:
    """One held request, from its first attempt to its settlement."""

    def __init__(
        self,
        resources: ChatResources,
        admitted: Admitted,
        work: ChatWork,
        permit: Permit,
        delivery: Delivery,
        observer: Observer,
        hold_id: str,
    ) -> None:
        self._resources = resources
        self._admitted = admitted
        self._work = work
        self._permit = permit
        self._delivery = delivery
        self._observer = observer
        self._hold_id = hold_id
        self._sent = False
        self._settled = False
        self._started = False
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
        """Try targets until one gives a whole answer or no retry is allowed."""
        while True:
            match await self._resources.targets.place(arrival):
                case Result(tag="ok", ok=placed):
                    self._observer.end_phase(Phase.QUEUE)
                    end = await self._run_attempt(placed)
                case Result(error=verdict):
                    return Error(verdict)
            match end:
                case WholeAnswer(answer_end):
                    return Ok(answer_end)
                case FailedAttempt(verdict) if not self._may_retry(end):
                    return Error(include_history(arrival, verdict))
                case FailedAttempt(verdict):
                    arrival = exclude_target(arrival, placed.target, verdict)
                    self._delivery.reset()

    async def _run_attempt(self, placed: Placed) -> WholeAnswer | FailedAttempt:
        attempt = ChatAttempt(
            self._resources.relay,
            self._admitted,
            self._work,
            self._resources.times.target,
        )
        self._last_attempt = attempt
        self._started = False
        result = AnswerResult.CANCELLED
        try:
            self._permit.start_dispatch()
            end = await attempt.run(placed, self._deliver)
            if not attempt.sent:
                self._permit.cancel_dispatch()
            result = _judge(end)
            return end
        finally:
            self._sent = self._sent or attempt.sent
            self._resources.targets.finish(
                self._admitted.received.operation_id, placed.target, result
            )

    async def _deliver(self, block: bytes) -> None:
        if not self._started:
            self._started = True
            self._resources.targets.start(self._admitted.received.operation_id)
        self._observer.take_piece()
        await self._delivery.deliver(block)

    def _may_retry(self, failure: FailedAttempt) -> bool:
        if self._delivery.begun or failure.verdict.reason is Reason.INVALID_REQUEST:
            return False
        if failure.verdict.execution is Execution.NOT_RUN:
            return True
        return self._admitted.idempotent

    async def _complete(self, end: AnswerEnd) -> Outcome[None]:
        self._settled = True
        self._observer.take_usage(end.usage)
        settled = await self._resources.settlements.settle(
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
        """Release the hold if nothing can have run, else charge what is known."""
        if self._settled:
            return
        self._settled = True
        if not self._sent:
            self._resources.settlements.release(self._hold_id)
            return
        usage = self._last_attempt.usage if self._last_attempt else None
        self._resources.settlements.start(self._hold_id, usage, self._work.bound_tokens)

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
            is_idempotent=admitted.idempotent,
        )


def _judge(end: WholeAnswer | FailedAttempt) -> AnswerResult:
    match end:
        case WholeAnswer():
            return AnswerResult.WHOLE
        case FailedAttempt(result=result):
            return result

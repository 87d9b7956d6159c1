"""Runs a second attempt beside one that takes long, where the operator allows it."""

import asyncio
import math
from collections.abc import Iterable

from kingcuphead.dispatch import (
    AttemptResult,
    HedgeConditions,
    HedgeDenial,
    HedgingPolicy,
    Placement,
    RequestClass,
)
from kingcuphead.forwarding._attempt import (
    Answered,
    AttemptEnd,
    AttemptFailed,
    StreamDelivered,
    classify_end,
)
from kingcuphead.forwarding._attempt_driver import AttemptDriver
from kingcuphead.forwarding._clock import get_time
from kingcuphead.forwarding._context import HedgeRecord, RequestContext
from kingcuphead.forwarding._dependencies import Dependencies
from kingcuphead.forwarding._memory import Holding
from kingcuphead.forwarding._stream import AnswerStream
from kingcuphead.forwarding._target_choice import TargetChoice
from kingcuphead.routing import RequestKind
from kingcuphead.verdict import Execution


class HedgedAttempts:
    """Runs attempts; the first usable end of two wins and the other is cancelled.

    Parameters
    ----------
    dependencies
        Objects shared by all requests.
    attempts
        Sends requests to chosen targets.
    targets
        Chooses the target of a second attempt.
    """

    def __init__(
        self, dependencies: Dependencies, attempts: AttemptDriver, targets: TargetChoice
    ) -> None:
        self._dependencies = dependencies
        self._attempts = attempts
        self._targets = targets

    async def run(
        self,
        context: RequestContext,
        placement: Placement,
        holding: Holding,
        stream: AnswerStream | None,
    ) -> AttemptEnd:
        """Send a request to the chosen target, and to another one if that takes long.

        Parameters
        ----------
        context
            Request, which keeps what the attempts show.
        placement
            Choice of the first target.
        holding
            Counts the bytes held for the request.
        stream
            Receives the events; None for an answer that is returned when complete.
        """
        policy = self._dependencies.hedging
        is_idempotent = context.route.kind is RequestKind.IDEMPOTENT
        if policy is None or not policy.is_enabled or not is_idempotent:
            return await self._attempts.run(context, placement, holding, stream)
        race = _Race(self._attempts, policy, context, holding)
        delay = policy.get_delay(race.request_class)
        if context.hedge is not None or math.isinf(delay):
            return await race.run_attempt(placement)
        try:
            first = race.start(placement)
            if await self._has_passed(policy, first, delay):
                policy.record_late(placement.target.name, get_time())
                second = await self._place_second(policy, context)
                if second is not None and not first.done():
                    race.start(second, is_second=True)
                elif second is not None:
                    self._targets.withdraw(second)
            return await race.wait()
        finally:
            await race.cancel()

    async def _has_passed(
        self, policy: HedgingPolicy, first: asyncio.Task[AttemptEnd], delay: float
    ) -> bool:
        """Wait for the first attempt; return whether the delay passed meanwhile."""
        due = get_time() + delay
        await asyncio.wait((first,), timeout=delay)
        if first.done():
            return False
        now = get_time()
        policy.record_lag(now - due, now)
        return True

    async def _place_second(
        self, policy: HedgingPolicy, context: RequestContext
    ) -> Placement | None:
        """Choose the target of a second attempt, and record why there is none."""
        denial = policy.find_denial(self._describe(context), get_time())
        placement = None
        if denial is None:
            placement = await self._targets.place_second(
                context, lambda target: policy.is_slow(target.name, get_time())
            )
            denial = self._claim(policy, context, placement)
        context.hedge = HedgeRecord(denial)
        if denial is None:
            return placement
        if placement is not None:
            self._targets.withdraw(placement)
        return None

    def _claim(
        self,
        policy: HedgingPolicy,
        context: RequestContext,
        placement: Placement | None,
    ) -> HedgeDenial | None:
        if placement is None:
            return HedgeDenial.NO_TARGET
        now = get_time()
        wait = placement.expected_wait * placement.state.latency_ratio
        if wait >= _get_time_left(context, now):
            return HedgeDenial.NO_TIME
        return policy.claim(context.service, now)

    def _describe(self, context: RequestContext) -> HedgeConditions:
        targets = self._targets.list_eligible(context)
        load = self._dependencies.dispatcher.describe_load(
            context.make_placement_request(), targets
        )
        remaining = self._dependencies.quarantine.get_remaining(context.identity)
        return HedgeConditions(
            context.service,
            has_attempts_left=len(context.tried) < context.route.max_attempts,
            is_quarantined=remaining > 0,
            queue_seconds=context.queue_seconds,
            running=load.total,
            slots=sum(target.slots for target in targets),
        )


class _Race:
    """The attempts of one request that run at the same time."""

    def __init__(
        self,
        attempts: AttemptDriver,
        policy: HedgingPolicy,
        context: RequestContext,
        holding: Holding,
    ) -> None:
        self._attempts = attempts
        self._policy = policy
        self._context = context
        self._holding = holding
        self._tasks: list[asyncio.Task[AttemptEnd]] = []
        self._second: asyncio.Task[AttemptEnd] | None = None
        #: Class of the request, by which attempts are measured.
        self.request_class = _classify(context)

    def start(
        self, placement: Placement, is_second: bool = False
    ) -> asyncio.Task[AttemptEnd]:
        """Start an attempt at a target."""
        task = asyncio.create_task(self.run_attempt(placement))
        self._tasks.append(task)
        if is_second:
            self._second = task
        return task

    async def run_attempt(self, placement: Placement) -> AttemptEnd:
        """Run an attempt at a target and measure it."""
        result = AttemptResult.CANCELLED
        started_at = get_time()
        try:
            end = await self._attempts.run(
                self._context, placement, self._holding, None
            )
            result = classify_end(end)
            return end
        finally:
            now = get_time()
            seconds = now - started_at
            self._policy.record_end(
                self.request_class, placement.target.name, result, seconds, now
            )

    async def wait(self) -> AttemptEnd:
        """Return the first usable end; without one, the end that tells most."""
        running = set(self._tasks)
        while running:
            done, running = await asyncio.wait(
                running, return_when=asyncio.FIRST_COMPLETED
            )
            for task in self._tasks:
                if task in done and _is_usable(task.result()):
                    self._record_winner(task, has_loser=bool(running))
                    return task.result()
        best = max(self._tasks, key=lambda task: _rate_end(task.result()))
        self._release_bodies(task for task in self._tasks if task is not best)
        return best.result()

    async def cancel(self) -> None:
        """End the attempts that still run; their connections are closed."""
        running = [task for task in self._tasks if not task.done()]
        for task in running:
            task.cancel()
        if running:
            await asyncio.wait(running)
        for task in self._tasks:
            if not task.cancelled():
                # Marks an error as seen; the request ends with that of the other one.
                task.exception()

    def _record_winner(self, winner: asyncio.Task[AttemptEnd], has_loser: bool) -> None:
        hedge = self._context.hedge
        if hedge is None or self._second is None:
            return
        hedge.is_won = winner is self._second
        hedge.is_cancelled = has_loser
        self._release_bodies(task for task in self._tasks if task is not winner)

    def _release_bodies(self, losers: Iterable[asyncio.Task[AttemptEnd]]) -> None:
        """Give back the bytes of complete answers that aren't used."""
        for task in losers:
            match task.result() if task.done() else None:
                case Answered(body=body):
                    self._holding.release_request_bytes(len(body))


def _classify(context: RequestContext) -> RequestClass:
    size = context.request.size
    amount = len(context.request.body)
    if size is not None:
        amount = size.prompt_tokens + size.output_tokens
    return RequestClass(context.service, context.route.kind.value, amount.bit_length())


def _get_time_left(context: RequestContext, now: float) -> float:
    """Return the seconds until the objective, or until the deadline after that."""
    objective_ends_at = context.request.arrived_at + context.route.objective
    if now < objective_ends_at:
        return objective_ends_at - now
    return context.deadline - now


def _is_usable(end: AttemptEnd) -> bool:
    return classify_end(end) is AttemptResult.ANSWERED


def _rate_end(end: AttemptEnd) -> int:
    """Return how much an end tells, of attempts none of which was usable.

    After an abandoned attempt a retry has been counted, which is then used.
    """
    match end:
        case Answered() | StreamDelivered():
            return 3
        case AttemptFailed(result=AttemptResult.SILENT):
            return 2
        case AttemptFailed(execution=Execution.MAY_HAVE_RUN):
            return 1
        case AttemptFailed():
            return 0

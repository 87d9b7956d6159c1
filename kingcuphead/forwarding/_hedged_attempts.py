"""Runs hedged requests: a second attempt beside one that takes long, if allowed."""

import math

from kingcuphead.dispatch import (
    HedgeConditions,
    HedgeDenial,
    HedgingPolicy,
    Placement,
)
from kingcuphead.forwarding._attempt import AttemptEnd
from kingcuphead.forwarding._attempt_driver import AttemptDriver
from kingcuphead.forwarding._attempt_race import AttemptRace
from kingcuphead.forwarding._context import HedgeRecord, RequestContext
from kingcuphead.forwarding._dependencies import Dependencies
from kingcuphead.forwarding._memory import MemoryReservation
from kingcuphead.forwarding._stream import AnswerStream
from kingcuphead.forwarding._target_choice import TargetChoice
from kingcuphead.timing import get_time


class HedgedAttempts:
    """Runs attempts; the first answer or event of two wins, the other is cancelled.

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
        reservation: MemoryReservation,
        stream: AnswerStream | None,
    ) -> AttemptEnd:
        """Send a request to the chosen target, and to another one if that takes long.

        Parameters
        ----------
        context
            Request, which keeps what the attempts show.
        placement
            Choice of the first target.
        reservation
            Counts the bytes held for the request.
        stream
            Receives the events; None for an answer that is returned when complete.
        """
        policy = self._dependencies.hedging
        has_begun = stream is not None and stream.has_begun
        if policy is None or not policy.covers(context.route, has_begun):
            return await self._attempts.run(context, placement, reservation, stream)
        race = AttemptRace(
            self._attempts, policy, context, reservation, stream, self._targets.withdraw
        )
        delay = policy.get_delay(race.request_class)
        if context.hedge is not None or math.isinf(delay):
            return await race.run_attempt(placement)
        try:
            race.start(placement)
            if await self._has_passed(policy, race, delay):
                policy.record_late(placement.target.name, get_time())
                second = await self._place_second(policy, context, race)
                if second is not None:
                    race.start(second, is_second=True)
            return await race.wait()
        finally:
            await race.cancel()

    async def _has_passed(
        self, policy: HedgingPolicy, race: AttemptRace, delay: float
    ) -> bool:
        """Wait for the delay; return whether there is no answer or event by then."""
        due = get_time() + delay
        if await race.wait_until_decided(delay):
            return False
        now = get_time()
        policy.record_lag(now - due, now)
        return True

    async def _place_second(
        self, policy: HedgingPolicy, context: RequestContext, race: AttemptRace
    ) -> Placement | None:
        """Choose the target of a second attempt, and record why there is none."""
        denial = policy.find_denial(self._describe(context), get_time())
        placement = None
        if denial is None:
            placement = await self._targets.place_second(
                context, lambda target: policy.is_slow(target.name, get_time())
            )
            if placement is not None and race.is_decided:
                # The first attempt ended or sent an event while a permit was asked for.
                self._targets.withdraw(placement)
                return None
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


def _get_time_left(context: RequestContext, now: float) -> float:
    """Return the seconds until the objective, or until the deadline after that."""
    objective_ends_at = context.request.arrived_at + context.route.objective
    if now < objective_ends_at:
        return objective_ends_at - now
    return context.deadline - now

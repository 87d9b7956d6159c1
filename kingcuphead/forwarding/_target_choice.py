"""Chooses the target of an attempt among those that take the request now."""

from collections.abc import Callable

from loguru import logger

from kingcuphead.dispatch import (
    Dispatcher,
    MemoryDenial,
    Placement,
    PlacementRequest,
)
from kingcuphead.forwarding._context import RequestContext
from kingcuphead.permits import Decision, MemoryClaim, PermitExchange
from kingcuphead.targets import Target, TargetDirectory
from kingcuphead.timing import get_time

#: Number of targets that a request claims a permit of before it is refused.
MAX_CLAIMS = 8
#: Number of denied permits after which targets that need none are preferred.
MAX_DENIALS = 2
#: Number of engines whose memory is asked for before a request waits again.
MAX_MEMORY_CLAIMS = 3
#: Seconds after which an engine may have memory for a request again.
MEMORY_RETRY_AFTER = 0.3


class TargetChoice:
    """Chooses targets of which a permit can be had.

    Parameters
    ----------
    directory
        Lists the targets that accept requests.
    dispatcher
        Chooses the target with the lowest cost.
    permits
        What targets take from the whole fleet.
    """

    def __init__(
        self,
        directory: TargetDirectory,
        dispatcher: Dispatcher,
        permits: PermitExchange,
    ) -> None:
        self._directory = directory
        self._dispatcher = dispatcher
        self._permits = permits

    async def place(self, context: RequestContext) -> Placement | None:
        """Choose a target of which a permit can be had; None if there is none."""
        request = context.make_placement_request()
        # Targets whose memory has no room for the request.
        full: list[str] = []
        for denials in range(MAX_CLAIMS):
            placement = self._dispatcher.place(
                request,
                self._list_candidates(context, denials),
                [*context.tried, *full],
                get_time(),
            )
            if placement is None:
                break
            decision = await self._claim_permit(placement)
            if decision.is_granted:
                context.lacks_memory = False
                return placement
            if decision.is_full:
                full.append(placement.target.name)
                if len(full) == MAX_MEMORY_CLAIMS:
                    break
        self._record_shortage(context, request, full)
        return None

    async def place_second(
        self, context: RequestContext, is_slow: Callable[[Target], bool]
    ) -> Placement | None:
        """Choose a target for an attempt beside a running one; None if there is none.

        Parameters
        ----------
        context
            Request, whose attempts' targets are excluded.
        is_slow
            Returns whether a target is too slow for that.
        """
        candidates = [
            target
            for target in self._permits.select_free(self.list_open(context))
            if not self._directory.is_cold(target) and not is_slow(target)
        ]
        placement = self._dispatcher.place(
            context.make_placement_request(), candidates, context.tried, get_time()
        )
        if placement is None:
            return None
        decision = await self._claim_permit(placement)
        return placement if decision.is_granted else None

    def withdraw(self, placement: Placement) -> None:
        """Give up a choice for which a permit was had; nothing was sent."""
        self._dispatcher.withdraw(placement)
        self._permits.release(placement.target, was_rejected=False)

    def _record_shortage(
        self, context: RequestContext, request: PlacementRequest, full: list[str]
    ) -> None:
        """Record whether a request found no target for want of memory."""
        eligible = self.list_eligible(context)
        lacked_before = context.lacks_memory
        context.lacks_memory = bool(full) or self._dispatcher.memory.is_full(
            request, eligible, get_time()
        )
        if context.lacks_memory and not lacked_before:
            logger.bind(
                request_id=context.request.request_id,
                service=context.service,
                tokens=request.prompt_tokens + request.output_tokens,
                denied_by=full,
            ).info("no engine has memory for the request")

    def is_too_large(self, context: RequestContext) -> bool:
        """Whether no target of the service can ever run a request."""
        request = context.make_placement_request()
        size = context.request.size
        exceeds_all = size is not None and size.exceeds_all_targets
        is_too_large = exceeds_all or self._dispatcher.memory.is_too_large(request)
        if is_too_large:
            self._dispatcher.record_denial(request, MemoryDenial.TOO_LARGE)
        return is_too_large

    def get_delay(self, context: RequestContext) -> float | None:
        """Return the seconds until a target may take a request.

        Returns
        -------
        float or None
            The time; None if no target is closed, or if there is none.
        """
        if context.lacks_memory:
            return MEMORY_RETRY_AFTER
        return self._permits.get_delay(self.list_eligible(context))

    def _list_candidates(
        self, context: RequestContext, denials: int
    ) -> tuple[Target, ...]:
        """Return the targets to choose from, after some were denied."""
        targets = self.list_open(context)
        if denials < MAX_DENIALS:
            return targets
        untried = (each for each in targets if each.name not in context.tried)
        return self._permits.select_free(untried) or targets

    async def _claim_permit(self, placement: Placement) -> Decision:
        decision = Decision(False)
        try:
            decision = await self._permits.claim(
                placement.target, _make_memory_claim(placement)
            )
        finally:
            if not decision.is_granted:
                self._dispatcher.withdraw(placement)
            elif placement.needs_permit:
                self._dispatcher.confirm(placement)
        if decision.is_full:
            self._dispatcher.record_full(placement, decision.wait, get_time())
        return decision

    def list_open(self, context: RequestContext) -> tuple[Target, ...]:
        """Return the targets that may run a request now."""
        return self._permits.select_open(self.list_eligible(context))

    def list_eligible(self, context: RequestContext) -> tuple[Target, ...]:
        """Return the targets that may run a request, closed ones included."""
        usable = self._directory.list_usable(context.service)
        return context.select_eligible(usable)


def _make_memory_claim(placement: Placement) -> MemoryClaim | None:
    """Return what to ask the coordinator for; None if memory is certainly left."""
    memory = placement.memory
    if memory is None or not placement.needs_permit:
        return None
    return MemoryClaim(
        memory.held_tokens,
        memory.capacity,
        memory.fits_unasked,
        memory.fits_isolated,
    )

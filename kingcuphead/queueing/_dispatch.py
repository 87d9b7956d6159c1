"""Placement of waiting requests on targets with free slots."""

import dataclasses
import itertools
from collections import Counter
from collections.abc import Iterator

from kingcuphead.placement import PlacementQuery
from kingcuphead.queueing._backlog import ClassQueue, get_lane
from kingcuphead.queueing._fairness import WaitingRequest
from kingcuphead.queueing._messages import RequestPlaced
from kingcuphead.queueing._state import SchedulerState
from kingcuphead.records import Target


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """A waiting request and the target that can run it now."""

    #: Waiting request.
    waiting: WaitingRequest
    #: Requirements on the target.
    query: PlacementQuery
    #: Target with a free slot.
    target: Target


class Dispatcher:
    """Places requests from the backlog on targets, the most urgent class first.

    Parameters
    ----------
    state : SchedulerState
        State machines that dispatching reads and updates.
    """

    def __init__(self, state: SchedulerState) -> None:
        self._state = state
        self._skips: Counter[str] = Counter()

    def dispatch(self, now: float) -> Iterator[RequestPlaced]:
        """Place waiting requests until no class has both a request and a slot."""
        while True:
            placed = next(self._iterate_placements(now), None)
            if placed is None:
                return
            yield placed

    def discard(self, request_id: str) -> None:
        """Discard the skip count of a request that left the queue."""
        self._skips.pop(request_id, None)

    def _iterate_placements(self, now: float) -> Iterator[RequestPlaced]:
        for entry in self._state.sort_queues(now):
            if not self._has_class_slot(entry, now):
                continue
            placed = self._place_next(entry, now)
            if placed is not None:
                yield placed

    def _has_class_slot(self, entry: ClassQueue, now: float) -> bool:
        """Return whether the class may occupy one more of the lane's slots."""
        state = self._state
        if state.is_top_class(entry.work_class):
            # Only the limits of the targets bound the top class.
            return True
        slots = state.count_slots(entry, now)
        lane = entry.lane
        if state.placement.count_in_flight(lane.service, lane.model) >= slots:
            return False
        return state.occupancy.has_slot(lane, entry.work_class, slots, state.classes)

    def _place_next(self, entry: ClassQueue, now: float) -> RequestPlaced | None:
        """Place one request near the head of the queue, a cached prefix first."""
        lookahead = self._state.settings.lookahead
        heads = tuple(itertools.islice(entry.queue.iterate(), lookahead))
        for candidates in (
            self._find_cache_hits(heads, now),
            self._find_free_slots(heads, now),
        ):
            candidate = next(candidates, None)
            if candidate is not None:
                self._count_skips(heads, candidate.waiting)
                return self._place(candidate, now)
        return None

    def _find_cache_hits(
        self, heads: tuple[WaitingRequest, ...], now: float
    ) -> Iterator[Candidate]:
        """Yield requests whose preferred target is free.

        The search ends at a request that was skipped `max_skips` times.
        """
        for waiting in heads:
            query = self._state.build_query(waiting.request)
            target = self._state.placement.choose_preferred(query, now)
            if target is not None:
                yield Candidate(waiting, query, target)
            if self._has_max_skips(waiting):
                return

    def _find_free_slots(
        self, heads: tuple[WaitingRequest, ...], now: float
    ) -> Iterator[Candidate]:
        """Yield requests for which any target has a slot."""
        for waiting in heads:
            query = self._state.build_query(waiting.request)
            target = self._state.placement.choose(query, now)
            if target is not None:
                yield Candidate(waiting, query, target)

    def _has_max_skips(self, waiting: WaitingRequest) -> bool:
        skips = self._skips[waiting.request.request_id]
        return skips >= self._state.settings.max_skips

    def _count_skips(
        self, heads: tuple[WaitingRequest, ...], chosen: WaitingRequest
    ) -> None:
        for waiting in itertools.takewhile(lambda head: head is not chosen, heads):
            self._skips[waiting.request.request_id] += 1

    def _place(self, candidate: Candidate, now: float) -> RequestPlaced:
        state = self._state
        request = candidate.waiting.request
        target = candidate.target
        self.discard(request.request_id)
        state.placement.start_attempt(
            request.request_id, target.name, candidate.query, now
        )
        state.backlog.serve(request.request_id)
        state.occupancy.add(get_lane(request), request.work_class)
        state.running[request.request_id] = request
        return RequestPlaced(
            request.request_id, target.name, target.address, candidate.query.priority
        )

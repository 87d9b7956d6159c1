"""Placement of waiting requests while targets have slots."""

import dataclasses
import itertools
from collections import Counter
from collections.abc import Iterator

from kingcuphead.placement import PlacementQuery
from kingcuphead.queueing._backlog import ClassQueue, get_lane
from kingcuphead.queueing._fairness import Waiting
from kingcuphead.queueing._messages import RequestPlaced
from kingcuphead.queueing._state import SchedulerState
from kingcuphead.records import Target


@dataclasses.dataclass(frozen=True, slots=True)
class Choice:
    """A waiting request and the target that can run it now."""

    #: The request.
    waiting: Waiting
    #: What it needs.
    query: PlacementQuery
    #: Where it goes.
    target: Target


class Dispatcher:
    """Takes requests from the backlog to targets, the most urgent class first.

    Parameters
    ----------
    state : SchedulerState
        The machines.
    """

    def __init__(self, state: SchedulerState) -> None:
        self._state = state
        self._skips: Counter[str] = Counter()

    def dispatch(self, now: float) -> Iterator[RequestPlaced]:
        """Place waiting requests until no class finds a slot."""
        while True:
            placed = next(self._place_each(now), None)
            if placed is None:
                return
            yield placed

    def forget(self, request_id: str) -> None:
        """Drop what is kept of a request that no longer waits."""
        self._skips.pop(request_id, None)

    def _place_each(self, now: float) -> Iterator[RequestPlaced]:
        for entry in self._state.sort_queues(now):
            if not self._has_class_slot(entry, now):
                continue
            placed = self._place_one(entry, now)
            if placed is not None:
                yield placed

    def _has_class_slot(self, entry: ClassQueue, now: float) -> bool:
        """Tell whether the class may take one more of the lane's slots."""
        state = self._state
        if state.is_top_class(entry.work_class):
            # The limits of the targets alone bound the first class.
            return True
        slots = state.count_slots(entry, now)
        lane = entry.lane
        if state.placement.count_in_flight(lane.service, lane.model) >= slots:
            return False
        return state.occupancy.has_slot(lane, entry.work_class, slots, state.classes)

    def _place_one(self, entry: ClassQueue, now: float) -> RequestPlaced | None:
        """Place the request that suits a free target best, near the queue's head."""
        lookahead = self._state.settings.lookahead
        heads = tuple(itertools.islice(entry.queue.iterate(), lookahead))
        for choices in (self._find_cached(heads, now), self._find_free(heads, now)):
            choice = next(choices, None)
            if choice is not None:
                self._count_skips(heads, choice.waiting)
                return self._place(choice, now)
        return None

    def _find_cached(self, heads: tuple[Waiting, ...], now: float) -> Iterator[Choice]:
        """Yield requests whose prefix a free target caches, up to a skipped one."""
        for waiting in heads:
            query = self._state.build_query(waiting.request)
            target = self._state.placement.choose_preferred(query, now)
            if target is not None:
                yield Choice(waiting, query, target)
            if self._is_skipped_enough(waiting):
                return

    def _find_free(self, heads: tuple[Waiting, ...], now: float) -> Iterator[Choice]:
        """Yield requests that some target has room for."""
        for waiting in heads:
            query = self._state.build_query(waiting.request)
            target = self._state.placement.choose(query, now)
            if target is not None:
                yield Choice(waiting, query, target)

    def _is_skipped_enough(self, waiting: Waiting) -> bool:
        skips = self._skips[waiting.request.request_id]
        return skips >= self._state.settings.longest_skip

    def _count_skips(self, heads: tuple[Waiting, ...], chosen: Waiting) -> None:
        for waiting in itertools.takewhile(lambda head: head is not chosen, heads):
            self._skips[waiting.request.request_id] += 1

    def _place(self, choice: Choice, now: float) -> RequestPlaced:
        state = self._state
        request = choice.waiting.request
        target = choice.target
        self.forget(request.request_id)
        state.placement.start_attempt(
            request.request_id, target.name, choice.query, now
        )
        state.backlog.serve(request.request_id)
        state.occupancy.add(get_lane(request), request.work_class)
        state.running[request.request_id] = request
        return RequestPlaced(
            request.request_id, target.name, target.address, choice.query.priority
        )

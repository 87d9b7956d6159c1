"""Weighted fair queue between the organisations of one class."""

import dataclasses
import heapq
from collections import Counter
from collections.abc import Iterator

from kingcuphead.invariants import ensure
from kingcuphead.queueing._messages import RequestArrived


@dataclasses.dataclass(frozen=True, slots=True)
class Waiting:
    """A request that waits for a target."""

    #: The request.
    request: RequestArrived
    #: When it began to wait, in seconds.
    arrived_at: float
    #: Share of its organisation relative to others in the class.
    weight: int = 1

    @property
    def cost(self) -> float:
        """Virtual time that it takes, in tokens per unit of weight."""
        return max(1, self.request.size) / max(1, self.weight)


class FairQueue:
    """Start-time fair queueing by tokens.

    Each organisation has a virtual time that advances by the cost of its served
    requests; the one that is furthest behind goes next. A request that leaves
    unserved costs its organisation nothing.
    """

    def __init__(self) -> None:
        self._queues: dict[str, dict[str, Waiting]] = {}
        self._virtual_times: dict[str, float] = {}
        self._sizes: Counter[str] = Counter()
        self._now = 0.0
        self._length = 0

    def __len__(self) -> int:
        return self._length

    @property
    def size(self) -> int:
        """Tokens of all requests."""
        return sum(self._sizes.values())

    def count_due(self, deadline: float) -> int:
        """Return the tokens of the requests whose deadline comes no later."""
        return sum(
            waiting.request.size
            for queue in self._queues.values()
            for waiting in queue.values()
            if waiting.request.deadline <= deadline
        )

    def count_ahead(self, waiting: Waiting) -> float:
        """Return the tokens served before a request that was pushed last.

        Organisations share the time to its turn by their weights, which are taken
        to be equal to its own.
        """
        name = waiting.request.organisation
        own = self._sizes[name] - waiting.request.size
        turn = self._virtual_times[name] + own / max(1, waiting.weight)
        others = (
            min(size, max(0.0, turn - self._virtual_times[other]) * waiting.weight)
            for other, size in self._sizes.items()
            if other != name
        )
        return own + sum(others)

    def push(self, waiting: Waiting) -> None:
        """Add a request behind those of its organisation; a retry goes before them."""
        request = waiting.request
        queue = self._queues.get(request.organisation, {})
        entry = {request.request_id: waiting}
        queue = entry | queue if request.is_retry else queue | entry
        if request.organisation not in self._queues:
            before = self._virtual_times.get(request.organisation, self._now)
            self._virtual_times[request.organisation] = max(before, self._now)
        self._queues[request.organisation] = queue
        self._sizes[request.organisation] += request.size
        self._length += 1

    def iterate(self) -> Iterator[Waiting]:
        """Yield the requests in the order in which they would be served."""
        heap = [
            (self._virtual_times[name], name, iter(tuple(queue.values())))
            for name, queue in self._queues.items()
        ]
        heapq.heapify(heap)
        while heap:
            virtual_time, name, queue = heapq.heappop(heap)
            waiting = next(queue, None)
            if waiting is None:
                continue
            yield waiting
            heapq.heappush(heap, (virtual_time + waiting.cost, name, queue))

    def remove(self, waiting: Waiting) -> None:
        """Take out a request that is not served."""
        name = waiting.request.organisation
        queue = self._queues[name]
        del queue[waiting.request.request_id]
        self._sizes[name] -= waiting.request.size
        self._length -= 1
        if not queue:
            del self._queues[name]
            del self._sizes[name]
        ensure(self._length >= 0, "a queue's length counts its requests", name=name)

    def serve(self, waiting: Waiting) -> None:
        """Take out a request that goes to a target, and charge its organisation."""
        name = waiting.request.organisation
        start = self._virtual_times[name]
        self._now = max(self._now, start)
        self._virtual_times[name] = start + waiting.cost
        self.remove(waiting)
        self._forget_idle()

    def _forget_idle(self) -> None:
        self._virtual_times = {
            name: time
            for name, time in self._virtual_times.items()
            if time > self._now or name in self._queues
        }

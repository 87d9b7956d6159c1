"""Weighted fair queueing between the organisations of one class."""

import dataclasses
import heapq
from collections import Counter
from collections.abc import Iterator

from kingcuphead.invariants import ensure
from kingcuphead.queueing._messages import RequestArrived


@dataclasses.dataclass(frozen=True, slots=True)
class WaitingRequest:
    """A queued request with its arrival time and weight."""

    #: Message with which the request arrived.
    request: RequestArrived
    #: When it was queued, in seconds on the monotonic clock.
    arrived_at: float
    #: Weight of its organisation relative to others in the class.
    weight: int = 1

    @property
    def cost(self) -> float:
        """Virtual time charged for it, in tokens per unit of weight."""
        return max(1, self.request.size) / max(1, self.weight)


class FairQueue:
    """Start-time fair queueing by tokens.

    Each organisation has a virtual time that advances by the cost of its served
    requests; the one with the lowest virtual time is served next. A request that
    leaves unserved is not charged.
    """

    def __init__(self) -> None:
        self._queues: dict[str, dict[str, WaitingRequest]] = {}
        self._virtual_times: dict[str, float] = {}
        self._sizes: Counter[str] = Counter()
        self._virtual_now = 0.0
        self._length = 0

    def __len__(self) -> int:
        return self._length

    @property
    def total_tokens(self) -> int:
        """Sum of the sizes of all requests, in tokens."""
        return sum(self._sizes.values())

    def count_tokens_due(self, deadline: float) -> int:
        """Return the tokens of the requests with this deadline or an earlier one."""
        return sum(
            waiting.request.size
            for queue in self._queues.values()
            for waiting in queue.values()
            if waiting.request.deadline <= deadline
        )

    def count_tokens_ahead(self, waiting: WaitingRequest) -> float:
        """Return the tokens served before the request that was pushed last.

        The estimate assumes that every other organisation has the same weight as
        the organisation of the request.
        """
        name = waiting.request.organisation
        own_tokens = self._sizes[name] - waiting.request.size
        virtual_start = self._virtual_times[name] + own_tokens / max(1, waiting.weight)
        others = (
            min(
                size,
                max(0.0, virtual_start - self._virtual_times[other]) * waiting.weight,
            )
            for other, size in self._sizes.items()
            if other != name
        )
        return own_tokens + sum(others)

    def push(self, waiting: WaitingRequest) -> None:
        """Append a request to those of its organisation; prepend a retry."""
        request = waiting.request
        queue = self._queues.get(request.organisation, {})
        entry = {request.request_id: waiting}
        queue = entry | queue if request.is_retry else queue | entry
        if request.organisation not in self._queues:
            before = self._virtual_times.get(request.organisation, self._virtual_now)
            self._virtual_times[request.organisation] = max(before, self._virtual_now)
        self._queues[request.organisation] = queue
        self._sizes[request.organisation] += request.size
        self._length += 1

    def iterate(self) -> Iterator[WaitingRequest]:
        """Yield the requests in the order of service."""
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

    def remove(self, waiting: WaitingRequest) -> None:
        """Remove a request without charging its organisation."""
        name = waiting.request.organisation
        queue = self._queues[name]
        del queue[waiting.request.request_id]
        self._sizes[name] -= waiting.request.size
        self._length -= 1
        if not queue:
            del self._queues[name]
            del self._sizes[name]
        ensure(self._length >= 0, "the length of a queue is not negative", name=name)

    def serve(self, waiting: WaitingRequest) -> None:
        """Remove a request that was placed, and charge its organisation."""
        name = waiting.request.organisation
        start = self._virtual_times[name]
        self._virtual_now = max(self._virtual_now, start)
        self._virtual_times[name] = start + waiting.cost
        self.remove(waiting)
        self._drop_idle()

    def _drop_idle(self) -> None:
        self._virtual_times = {
            name: time
            for name, time in self._virtual_times.items()
            if time > self._virtual_now or name in self._queues
        }

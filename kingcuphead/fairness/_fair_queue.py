"""Start-time fair queueing by tokens."""

import dataclasses
import heapq
from collections import Counter
from collections.abc import Callable, Iterator
from typing import Generic, Protocol, TypeVar

from kingcuphead.invariants import ensure


class QueuedRequest(Protocol):
    """The properties of a request on which its place in a queue depends."""

    @property
    def request_id(self) -> str:
        """Id of the request, unique within the queue."""
        ...

    @property
    def organisation(self) -> str:
        """Name of the organisation that sent it."""
        ...

    @property
    def size(self) -> int:
        """Size in tokens, the unit of fairness between organisations."""
        ...

    @property
    def deadline(self) -> float:
        """Deadline in seconds on the queue's clock."""
        ...

    @property
    def is_retry(self) -> bool:
        """Whether it goes ahead of the other requests of its organisation."""
        ...


R = TypeVar("R", bound=QueuedRequest)


@dataclasses.dataclass(frozen=True, slots=True)
class WaitingRequest(Generic[R]):
    """A queued request with its arrival time and weight."""

    #: The request.
    request: R
    #: When it was queued, in seconds on the queue's clock.
    arrived_at: float
    #: Weight of its organisation relative to others in the queue.
    weight: int = 1

    @property
    def cost(self) -> float:
        """Virtual time charged for it, in tokens per unit of weight."""
        return max(1, self.request.size) / max(1, self.weight)


class FairQueue(Generic[R]):
    """Weighted fair queue of the requests of several organisations.

    Each organisation has a virtual time that advances by the cost of its served
    requests; the one with the lowest virtual time is served next. A request that
    leaves unserved is not charged.

    Parameters
    ----------
    get_urgency
        Orders the requests of one organisation, and organisations of an equal virtual
        time, the lowest value first; by default the order of arrival, and of names.
    """

    def __init__(self, get_urgency: Callable[[R], float] = lambda request: 0.0) -> None:
        self._get_urgency = get_urgency
        self._queues: dict[str, dict[str, WaitingRequest[R]]] = {}
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

    def count_tokens_ahead(self, waiting: WaitingRequest[R]) -> float:
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

    def push(self, waiting: WaitingRequest[R]) -> None:
        """Add a request to those of its organisation by urgency; prepend a retry."""
        request = waiting.request
        queue = self._queues.get(request.organisation, {})
        entry = {request.request_id: waiting}
        if request.is_retry:
            queue = entry | queue
        else:
            queue = _insert(queue, entry, self._compute_urgency)
        if request.organisation not in self._queues:
            before = self._virtual_times.get(request.organisation, self._virtual_now)
            self._virtual_times[request.organisation] = max(before, self._virtual_now)
        self._queues[request.organisation] = queue
        self._sizes[request.organisation] += request.size
        self._length += 1

    def iterate(self) -> Iterator[WaitingRequest[R]]:
        """Yield the requests in the order in which they would be served."""
        queues = {name: tuple(queue.values()) for name, queue in self._queues.items()}
        if len(queues) == 1:
            yield from next(iter(queues.values()))
            return
        heap = [
            (self._virtual_times[name], self._compute_urgency(queue[0]), name, 0)
            for name, queue in queues.items()
        ]
        heapq.heapify(heap)
        while heap:
            virtual_time, _, name, index = heapq.heappop(heap)
            waiting = queues[name][index]
            yield waiting
            if index + 1 < len(queues[name]):
                following = queues[name][index + 1]
                start = virtual_time + waiting.cost
                urgency = self._compute_urgency(following)
                heapq.heappush(heap, (start, urgency, name, index + 1))

    def remove(self, waiting: WaitingRequest[R]) -> None:
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

    def serve(self, waiting: WaitingRequest[R]) -> None:
        """Remove a request that was placed, and charge its organisation."""
        name = waiting.request.organisation
        start = self._virtual_times[name]
        self._virtual_now = max(self._virtual_now, start)
        self._virtual_times[name] = start + waiting.cost
        self.remove(waiting)
        self._drop_idle()

    def _compute_urgency(self, waiting: WaitingRequest[R]) -> float:
        return self._get_urgency(waiting.request)

    def _drop_idle(self) -> None:
        self._virtual_times = {
            name: time
            for name, time in self._virtual_times.items()
            if time > self._virtual_now or name in self._queues
        }


def _insert(
    queue: dict[str, WaitingRequest[R]],
    entry: dict[str, WaitingRequest[R]],
    compute_urgency: Callable[[WaitingRequest[R]], float],
) -> dict[str, WaitingRequest[R]]:
    """Return a copy with one more request, placed after those that are as urgent."""
    (waiting,) = entry.values()
    urgency = compute_urgency(waiting)
    last = next(reversed(queue.values()), None)
    if last is None or compute_urgency(last) <= urgency:
        return queue | entry
    combined = queue | entry
    ordered = sorted(combined.items(), key=lambda item: compute_urgency(item[1]))
    return dict(ordered)

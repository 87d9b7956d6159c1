"""Waiting requests of one daemon, by lane and work class."""

import dataclasses
import math
from collections.abc import Iterator, Mapping

from kingcuphead import fairness
from kingcuphead.invariants import ensure
from kingcuphead.queueing._fairness import FairQueue, WaitingRequest
from kingcuphead.queueing._messages import RequestArrived
from kingcuphead.records import WorkClass

#: Lower bound of a class's ageing, in seconds of waiting per gained rank.
MIN_AGEING_SECONDS = 0.1


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Lane:
    """Service and model of requests that the same targets can run."""

    #: Name of the service.
    service: str
    #: Name of the model; empty for plain services.
    model: str


@dataclasses.dataclass(frozen=True, slots=True)
class ClassQueue:
    """The requests of one class in one lane."""

    #: Lane of the requests.
    lane: Lane
    #: Configured class, or the substitute for one that is not configured.
    work_class: WorkClass
    #: Waiting requests, in weighted fair order between organisations.
    queue: FairQueue

    def compute_urgency(self, now: float) -> "Urgency":
        """Return the urgency of the next request, raised by its time in the queue."""
        head = next(self.queue.iterate())
        ageing = max(self.work_class.ageing, MIN_AGEING_SECONDS)
        gained_ranks = math.floor((now - head.arrived_at) / ageing)
        return Urgency(self.work_class.rank - gained_ranks, head.request.deadline)


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Urgency:
    """Sort key of classes: rank, then deadline among equal ranks.

    Without the deadline, a class with late deadlines could take the slots until
    requests of an equal rank with early deadlines are refused.
    """

    #: Rank of the class minus the ranks gained by ageing; lower is more urgent.
    rank: int
    #: Deadline of the next request, in seconds on the monotonic clock.
    deadline: float


class Backlog:
    """Waiting requests in one fair queue per lane and class."""

    def __init__(self) -> None:
        self._queues: dict[tuple[Lane, str], FairQueue] = {}
        self._waiting: dict[str, WaitingRequest] = {}

    def __len__(self) -> int:
        return len(self._waiting)

    def get(self, request_id: str) -> WaitingRequest | None:
        """Return a waiting request, or None if it is not queued."""
        return self._waiting.get(request_id)

    def push(self, request: RequestArrived, weight: int, now: float) -> None:
        """Add a request to the queue of its lane and class."""
        ensure(
            request.request_id not in self._waiting,
            "a request is queued at most once",
            request_id=request.request_id,
        )
        waiting = fairness.WaitingRequest(request, now, weight)
        self._waiting[request.request_id] = waiting
        self._get_queue(request).push(waiting)

    def remove(self, request_id: str) -> WaitingRequest | None:
        """Remove a request that leaves unserved; return None if it is not queued."""
        waiting = self._waiting.pop(request_id, None)
        if waiting is not None:
            self._get_queue(waiting.request).remove(waiting)
        return waiting

    def serve(self, request_id: str) -> WaitingRequest:
        """Remove a request that was placed, and charge its organisation."""
        waiting = self._waiting.pop(request_id)
        self._get_queue(waiting.request).serve(waiting)
        return waiting

    def iterate(self) -> Iterator[WaitingRequest]:
        """Yield every waiting request, in order of arrival."""
        yield from tuple(self._waiting.values())

    def sort_queues(
        self, classes: Mapping[str, WorkClass], now: float
    ) -> list[ClassQueue]:
        """Return the non-empty queues, the most urgent first."""
        queues = [
            ClassQueue(lane, get_work_class(classes, name), queue)
            for (lane, name), queue in self._queues.items()
            if len(queue)
        ]
        return sorted(queues, key=lambda entry: entry.compute_urgency(now))

    def _get_queue(self, request: RequestArrived) -> FairQueue:
        key = (get_lane(request), request.work_class)
        return self._queues.setdefault(key, FairQueue())


def get_lane(request: RequestArrived) -> Lane:
    """Return the lane of a request."""
    return Lane(request.service, request.model)


def get_work_class(classes: Mapping[str, WorkClass], name: str) -> WorkClass:
    """Return a class by name; one that is not configured gets the lowest rank."""
    configured = classes.get(name)
    if configured is not None:
        return configured
    lowest_rank = max((work_class.rank for work_class in classes.values()), default=0)
    return WorkClass(name, rank=lowest_rank + 1, deadline=float("inf"))

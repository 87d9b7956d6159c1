"""Every waiting request of one daemon, by kind of work and class."""

import dataclasses
import math
from collections.abc import Iterator, Mapping

from kingcuphead.invariants import ensure
from kingcuphead.queueing._fairness import FairQueue, Waiting
from kingcuphead.queueing._messages import RequestArrived
from kingcuphead.records import WorkClass

#: Least time of waiting that raises a request by one rank, in seconds.
LEAST_AGEING_SECONDS = 0.1


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Lane:
    """Requests that the same targets can run."""

    #: Service that does the work.
    service: str
    #: Model; empty for plain services.
    model: str


@dataclasses.dataclass(frozen=True, slots=True)
class ClassQueue:
    """The requests of one class in one lane."""

    #: Kind of work.
    lane: Lane
    #: Class as configured.
    work_class: WorkClass
    #: The requests.
    queue: FairQueue

    def compute_urgency(self, now: float) -> "Urgency":
        """Return the urgency of the next request."""
        head = next(self.queue.iterate())
        ageing = max(self.work_class.ageing, LEAST_AGEING_SECONDS)
        raised = math.floor((now - head.arrived_at) / ageing)
        return Urgency(self.work_class.rank - raised, head.request.deadline)


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Urgency:
    """Order between classes: by rank, and by deadline where ranks are equal.

    Deadlines keep a class that can wait longer from filling the queue until one
    of the same rank that can't is refused.
    """

    #: Rank of the class, less the ranks that waiting has earned.
    rank: int
    #: Deadline of the next request, in seconds.
    deadline: float


class Backlog:
    """The waiting requests, in queues that are fair inside a class."""

    def __init__(self) -> None:
        self._queues: dict[tuple[Lane, str], FairQueue] = {}
        self._waiting: dict[str, Waiting] = {}

    def __len__(self) -> int:
        return len(self._waiting)

    def get(self, request_id: str) -> Waiting | None:
        """Return a waiting request."""
        return self._waiting.get(request_id)

    def push(self, request: RequestArrived, weight: int, now: float) -> None:
        """Add a request."""
        ensure(
            request.request_id not in self._waiting,
            "a request waits once",
            request_id=request.request_id,
        )
        waiting = Waiting(request, now, weight)
        self._waiting[request.request_id] = waiting
        self._get_queue(request).push(waiting)

    def remove(self, request_id: str) -> Waiting | None:
        """Take out a request that is not served."""
        waiting = self._waiting.pop(request_id, None)
        if waiting is not None:
            self._get_queue(waiting.request).remove(waiting)
        return waiting

    def serve(self, request_id: str) -> Waiting:
        """Take out a request that goes to a target."""
        waiting = self._waiting.pop(request_id)
        self._get_queue(waiting.request).serve(waiting)
        return waiting

    def iterate(self) -> Iterator[Waiting]:
        """Yield every waiting request."""
        yield from tuple(self._waiting.values())

    def sort_queues(
        self, classes: Mapping[str, WorkClass], now: float
    ) -> list[ClassQueue]:
        """Return the queues that hold requests, the most urgent first."""
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
    """Return the kind of work that a request is."""
    return Lane(request.service, request.model)


def get_work_class(classes: Mapping[str, WorkClass], name: str) -> WorkClass:
    """Return a class by name; one that the configuration lacks goes last."""
    found = classes.get(name)
    if found is not None:
        return found
    last = max((work_class.rank for work_class in classes.values()), default=0)
    return WorkClass(name, rank=last + 1, deadline=float("inf"))

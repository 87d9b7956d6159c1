"""What operators and metrics see of a scheduler."""

import dataclasses
from collections import Counter
from collections.abc import Iterator

from kingcuphead.placement import TargetState, TargetView
from kingcuphead.quarantine import QuarantineEntry
from kingcuphead.queueing._backlog import get_lane
from kingcuphead.queueing._state import SchedulerState


@dataclasses.dataclass(frozen=True, slots=True)
class QueueSnapshot:
    """The requests of one class for one kind of work."""

    #: Service that does the work.
    service: str
    #: Model; empty for plain services.
    model: str
    #: Name of the class.
    work_class: str
    #: Requests that wait.
    waiting: int
    #: Requests in flight.
    running: int
    #: Longest wait so far, in seconds.
    longest_wait: float


@dataclasses.dataclass(frozen=True, slots=True)
class TargetSnapshot:
    """One target as this daemon sees it."""

    #: Its name.
    target: str
    #: Whether it takes new work.
    state: TargetState
    #: Own requests in flight.
    running: int
    #: Own requests that may run there at once.
    slots: int
    #: Requests of other daemons, by its last report.
    reported_others: int


@dataclasses.dataclass(frozen=True, slots=True)
class SchedulerSnapshot:
    """The whole of one daemon's scheduler."""

    #: Name of the daemon's instance.
    instance: str
    #: Queues that hold or run requests.
    queues: tuple[QueueSnapshot, ...]
    #: Known targets.
    targets: tuple[TargetSnapshot, ...]
    #: Requests that are held back.
    quarantined: tuple[QuarantineEntry, ...]


def build_snapshot(
    instance: str, state: SchedulerState, now: float
) -> SchedulerSnapshot:
    """Return what there is to see at `now` seconds."""
    return SchedulerSnapshot(
        instance,
        tuple(describe_queues(state, now)),
        tuple(describe_target(view) for view in state.placement.views),
        state.quarantine.describe(now),
    )


def describe_queues(state: SchedulerState, now: float) -> Iterator[QueueSnapshot]:
    """Yield each queue."""
    waiting = {
        (entry.lane, entry.work_class.name): entry.queue
        for entry in state.sort_queues(now)
    }
    running = Counter(
        (get_lane(request), request.work_class) for request in state.running.values()
    )
    for lane, name in sorted(waiting.keys() | running.keys()):
        queue = waiting.get((lane, name))
        arrivals = [entry.arrived_at for entry in queue.iterate()] if queue else []
        yield QueueSnapshot(
            lane.service,
            lane.model,
            name,
            len(arrivals),
            running[lane, name],
            now - min(arrivals, default=now),
        )


def describe_target(view: TargetView) -> TargetSnapshot:
    """Return one target."""
    return TargetSnapshot(
        view.target.name,
        view.liveness.state,
        view.load.own,
        view.slots,
        view.load.others,
    )

"""Snapshot of a scheduler for operators and metrics."""

import dataclasses
from collections import Counter
from collections.abc import Iterator

from kingcuphead.placement import TargetState, TargetView
from kingcuphead.quarantine import QuarantineEntry
from kingcuphead.queueing._backlog import get_lane
from kingcuphead.queueing._state import SchedulerState


@dataclasses.dataclass(frozen=True, slots=True)
class QueueSnapshot:
    """Requests of one class in one lane."""

    #: Name of the service.
    service: str
    #: Name of the model; empty for plain services.
    model: str
    #: Name of the class.
    work_class: str
    #: Number of waiting requests.
    waiting: int
    #: Number of requests in flight.
    running: int
    #: Time since the oldest waiting request was queued, in seconds.
    longest_wait: float


@dataclasses.dataclass(frozen=True, slots=True)
class TargetSnapshot:
    """State of one target in this daemon."""

    #: Name of the target.
    target: str
    #: Whether it accepts new requests, and if not, why.
    state: TargetState
    #: Number of own requests in flight.
    running: int
    #: Limit on own requests in flight.
    slots: int
    #: Number of requests of other daemons, by its last load report.
    reported_others: int


@dataclasses.dataclass(frozen=True, slots=True)
class SchedulerSnapshot:
    """State of one daemon's scheduler."""

    #: Name of the daemon's instance.
    instance: str
    #: Queues with waiting or running requests.
    queues: tuple[QueueSnapshot, ...]
    #: All targets.
    targets: tuple[TargetSnapshot, ...]
    #: Quarantined fingerprints.
    quarantined: tuple[QuarantineEntry, ...]


def build_snapshot(
    instance: str, state: SchedulerState, now: float
) -> SchedulerSnapshot:
    """Return a snapshot at `now` seconds on the monotonic clock."""
    return SchedulerSnapshot(
        instance,
        tuple(describe_queues(state, now)),
        tuple(describe_target(view) for view in state.placement.views),
        state.quarantine.describe(now),
    )


def describe_queues(state: SchedulerState, now: float) -> Iterator[QueueSnapshot]:
    """Yield a snapshot of each queue with waiting or running requests."""
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
    """Return a snapshot of one target."""
    return TargetSnapshot(
        view.target.name,
        view.liveness.state,
        view.load.own,
        view.slots,
        view.load.others,
    )

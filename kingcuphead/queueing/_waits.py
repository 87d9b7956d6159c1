"""Estimate of how long each waiting request still waits."""

import dataclasses
import heapq
import itertools
from collections.abc import Iterator, Mapping

from kingcuphead.queueing._backlog import ClassQueue, Lane
from kingcuphead.queueing._estimates import ServiceEstimate
from kingcuphead.queueing._fairness import Waiting
from kingcuphead.queueing._occupancy import Occupancy
from kingcuphead.records import WorkClass

#: Least part of a lane's slots that a class is assumed to get in the end.
LEAST_PART = 0.25


@dataclasses.dataclass(frozen=True, slots=True)
class ExpectedWait:
    """A waiting request with the time that it is expected to take."""

    #: The request.
    waiting: Waiting
    #: Seconds until it gets a slot.
    wait: float
    #: Seconds until its first token.
    first_token: float


@dataclasses.dataclass(frozen=True, slots=True)
class Queued:
    """A waiting request with what its class can expect."""

    #: The request.
    waiting: Waiting
    #: Service times of its class.
    estimate: ServiceEstimate
    #: Slots that its class can count on.
    slots: float


@dataclasses.dataclass(frozen=True, slots=True)
class LaneState:
    """What the estimate needs to know of one lane."""

    #: Kind of work.
    lane: Lane
    #: Slots of this daemon over the accepting targets.
    slots: int
    #: Classes in force.
    classes: Mapping[str, WorkClass]
    #: Service times by class.
    estimates: Mapping[str, ServiceEstimate]
    #: Slots that are held.
    occupancy: Occupancy

    def estimate_slots(self, work_class: WorkClass) -> float:
        """Return the slots that a class can count on."""
        rank = work_class.rank
        above = self.occupancy.count_above(self.lane, rank, self.classes)
        # Long work of the classes below gives its slots back too late to count on.
        below = self.occupancy.count_below(self.lane, rank, self.classes)
        left = min(work_class.share * self.slots, self.slots - above) - below
        return max(LEAST_PART, LEAST_PART * self.slots, left)


def estimate_arrival(
    state: LaneState, queues: list[ClassQueue], waiting: Waiting, now: float
) -> ExpectedWait:
    """Return the wait of a request that was queued last, from sums alone.

    Parameters
    ----------
    state : LaneState
        Slots and service times.
    queues : list of ClassQueue
        The lane's queues, the most urgent first.
    waiting : Waiting
        The request.
    now : float
        Seconds on the monotonic clock.
    """
    request = waiting.request
    own = next(e for e in queues if e.work_class.name == request.work_class)
    rank = own.work_class.rank
    estimate = state.estimates[request.work_class]
    work = estimate.estimate_hold(own.queue.count_ahead(waiting))
    work_above = 0.0
    for entry in queues:
        if entry is own:
            continue
        others = state.estimates[entry.work_class.name]
        if entry.compute_urgency(now).rank < rank:
            work_above += others.estimate_hold(entry.queue.size)
        elif entry.work_class.rank == rank:
            work += others.estimate_hold(entry.queue.count_due(request.deadline))
    slots = state.estimate_slots(own.work_class)
    wait = work_above / state.slots + (work + estimate.hold) / slots
    return ExpectedWait(waiting, wait, wait + estimate.first_token)


def find_late(
    state: LaneState, queues: list[ClassQueue], now: float, margin: float
) -> Iterator[ExpectedWait]:
    """Yield the lane's requests whose first token would come after the deadline.

    Requests are taken in the order of service; one that is yielded delays none
    behind it.

    Parameters
    ----------
    state : LaneState
        Slots and service times.
    queues : list of ClassQueue
        The lane's queues, the most urgent first.
    now : float
        Seconds on the monotonic clock.
    margin : float
        Ratio of expected time to time left that is put up with.
    """
    work_above = 0.0
    for _, group in itertools.groupby(
        queues, key=lambda entry: entry.compute_urgency(now).rank
    ):
        work = 0.0
        for queued in merge_by_deadline(state, list(group)):
            estimate = queued.estimate
            # Every slot is taken, so the next one frees after a part of a hold.
            wait = work_above / state.slots + (work + estimate.hold) / queued.slots
            first_token = wait + estimate.first_token
            request = queued.waiting.request
            if first_token > (request.deadline - now) * margin:
                yield ExpectedWait(queued.waiting, wait, first_token)
            else:
                work += estimate.estimate_hold(request.size)
        work_above += work


def merge_by_deadline(state: LaneState, queues: list[ClassQueue]) -> Iterator[Queued]:
    """Yield the requests of classes of one rank in the order of service."""
    streams = [iterate_queued(state, entry) for entry in queues]
    if len(streams) == 1:
        return streams[0]
    return heapq.merge(*streams, key=lambda queued: queued.waiting.request.deadline)


def iterate_queued(state: LaneState, entry: ClassQueue) -> Iterator[Queued]:
    """Yield the requests of one class in the order of service."""
    estimate = state.estimates[entry.work_class.name]
    slots = state.estimate_slots(entry.work_class)
    for waiting in entry.queue.iterate():
        yield Queued(waiting, estimate, slots)

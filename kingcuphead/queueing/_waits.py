"""Estimate of how long each waiting request still waits."""

import dataclasses
import heapq
import itertools
from collections.abc import Callable, Iterator, Mapping

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
    """A waiting request with its class."""

    #: The request.
    waiting: Waiting
    #: Class as configured.
    work_class: WorkClass


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
        above = self.occupancy.count_above(self.lane, work_class.rank, self.classes)
        left = max(self.slots - above, LEAST_PART * self.slots)
        return max(LEAST_PART, min(work_class.share * self.slots, left))


def find_late(
    state: LaneState,
    queues: list[ClassQueue],
    now: float,
    get_margin: Callable[[Waiting], float],
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
    get_margin : callable
        Returns the ratio of expected time to time left that is put up with.
    """
    work_above = 0.0
    for _, group in itertools.groupby(
        queues, key=lambda entry: entry.compute_urgency(now).rank
    ):
        work = 0.0
        for queued in merge_by_deadline(list(group)):
            estimate = state.estimates[queued.work_class.name]
            slots = state.estimate_slots(queued.work_class)
            # Every slot is taken, so the next one frees after a part of a hold.
            wait = work_above / state.slots + (work + estimate.hold) / slots
            first_token = wait + estimate.first_token
            left = queued.waiting.request.deadline - now
            if first_token > left * get_margin(queued.waiting):
                yield ExpectedWait(queued.waiting, wait, first_token)
            else:
                work += estimate.estimate_hold(queued.waiting.request.size)
        work_above += work


def merge_by_deadline(queues: list[ClassQueue]) -> Iterator[Queued]:
    """Yield the requests of classes of one rank in the order of service."""
    streams = [
        (Queued(waiting, entry.work_class) for waiting in entry.queue.iterate())
        for entry in queues
    ]
    return heapq.merge(*streams, key=lambda queued: queued.waiting.request.deadline)

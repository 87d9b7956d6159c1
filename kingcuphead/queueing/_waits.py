"""Estimates of the remaining wait of queued requests."""

import dataclasses
import heapq
import itertools
from collections.abc import Iterator, Mapping

from kingcuphead.queueing._backlog import ClassQueue, Lane
from kingcuphead.queueing._estimates import ServiceEstimate
from kingcuphead.queueing._fairness import WaitingRequest
from kingcuphead.queueing._occupancy import Occupancy
from kingcuphead.records import WorkClass

#: Minimum share of a lane's slots that a class is assumed to get eventually.
MIN_SLOT_SHARE = 0.25


@dataclasses.dataclass(frozen=True, slots=True)
class ExpectedWait:
    """A waiting request with its expected wait."""

    #: Waiting request.
    waiting: WaitingRequest
    #: Expected seconds until it gets a slot.
    wait: float
    #: Expected seconds until its first token.
    first_token_seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class EstimatedRequest:
    """A waiting request with the estimates for its class."""

    #: Waiting request.
    waiting: WaitingRequest
    #: Service estimate of its class.
    estimate: ServiceEstimate
    #: Slots that its class is expected to get; may be fractional.
    slots: float


@dataclasses.dataclass(frozen=True, slots=True)
class LaneState:
    """Inputs for estimating waits in one lane."""

    #: Service and model.
    lane: Lane
    #: Slots of this daemon over the accepting targets.
    slots: int
    #: Configured classes by name.
    classes: Mapping[str, WorkClass]
    #: Service estimates by class name.
    estimates: Mapping[str, ServiceEstimate]
    #: Slots occupied by each class.
    occupancy: Occupancy

    def estimate_slots(self, work_class: WorkClass) -> float:
        """Return the slots that a class is expected to get."""
        rank = work_class.rank
        above = self.occupancy.count_above(self.lane, rank, self.classes)
        # Long requests of less urgent classes free their slots too late to be counted.
        below = self.occupancy.count_below(self.lane, rank, self.classes)
        remaining = min(work_class.share * self.slots, self.slots - above) - below
        return max(MIN_SLOT_SHARE, MIN_SLOT_SHARE * self.slots, remaining)


def estimate_wait(
    state: LaneState, queues: list[ClassQueue], waiting: WaitingRequest, now: float
) -> ExpectedWait:
    """Estimate the wait of the request that was queued last.

    Unlike `find_late`, it does not iterate over the requests in the order of service.

    Parameters
    ----------
    state : LaneState
        Slots and service times.
    queues : list of ClassQueue
        The lane's queues, the most urgent first.
    waiting : WaitingRequest
        Request to estimate.
    now : float
        Seconds on the monotonic clock.
    """
    request = waiting.request
    own = next(e for e in queues if e.work_class.name == request.work_class)
    rank = own.work_class.rank
    estimate = state.estimates[request.work_class]
    work = estimate.estimate_slot_seconds(own.queue.count_tokens_ahead(waiting))
    work_above = 0.0
    for entry in queues:
        if entry is own:
            continue
        others = state.estimates[entry.work_class.name]
        if entry.compute_urgency(now).rank < rank:
            work_above += others.estimate_slot_seconds(entry.queue.total_tokens)
        elif entry.work_class.rank == rank:
            work += others.estimate_slot_seconds(
                entry.queue.count_tokens_due(request.deadline)
            )
    slots = state.estimate_slots(own.work_class)
    wait = work_above / state.slots + (work + estimate.slot_seconds) / slots
    return ExpectedWait(waiting, wait, wait + estimate.first_token_seconds)


def find_late(
    state: LaneState, queues: list[ClassQueue], now: float, margin: float
) -> Iterator[ExpectedWait]:
    """Yield the lane's requests that are expected to miss their deadlines.

    Requests are evaluated in the order of service. A yielded request is not counted
    in the wait of those behind it.

    Parameters
    ----------
    state : LaneState
        Slots and service times.
    queues : list of ClassQueue
        The lane's queues, the most urgent first.
    now : float
        Seconds on the monotonic clock.
    margin : float
        Maximum ratio of the expected time to first token to the remaining time.
    """
    work_above = 0.0
    for _, group in itertools.groupby(
        queues, key=lambda entry: entry.compute_urgency(now).rank
    ):
        work = 0.0
        for estimated in merge_by_deadline(state, list(group)):
            estimate = estimated.estimate
            # All slots are occupied: on average, one is freed every slot time / slots.
            wait = (
                work_above / state.slots
                + (work + estimate.slot_seconds) / estimated.slots
            )
            first_token_seconds = wait + estimate.first_token_seconds
            request = estimated.waiting.request
            if first_token_seconds > (request.deadline - now) * margin:
                yield ExpectedWait(estimated.waiting, wait, first_token_seconds)
            else:
                work += estimate.estimate_slot_seconds(request.size)
        work_above += work


def merge_by_deadline(
    state: LaneState, queues: list[ClassQueue]
) -> Iterator[EstimatedRequest]:
    """Yield the requests of classes of one rank in the order of service."""
    streams = [iterate_estimated(state, entry) for entry in queues]
    if len(streams) == 1:
        return streams[0]
    return heapq.merge(
        *streams, key=lambda estimated: estimated.waiting.request.deadline
    )


def iterate_estimated(
    state: LaneState, entry: ClassQueue
) -> Iterator[EstimatedRequest]:
    """Yield the requests of one class in the order of service."""
    estimate = state.estimates[entry.work_class.name]
    slots = state.estimate_slots(entry.work_class)
    for waiting in entry.queue.iterate():
        yield EstimatedRequest(waiting, estimate, slots)

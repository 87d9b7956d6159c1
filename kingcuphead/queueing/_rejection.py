"""Rejection of waiting requests: late, overflow, no target, quarantined."""

from collections.abc import Iterator

from kingcuphead.invariants import ensure
from kingcuphead.placement import Prospect
from kingcuphead.queueing._backlog import ClassQueue, Lane, get_lane
from kingcuphead.queueing._fairness import WaitingRequest
from kingcuphead.queueing._messages import RequestRejected
from kingcuphead.queueing._refusals import Refusals
from kingcuphead.queueing._state import SchedulerState
from kingcuphead.queueing._waits import ExpectedWait, estimate_wait, find_late
from kingcuphead.verdict import Verdict


class Rejector:
    """Removes requests from the backlog and rejects each with a verdict.

    Parameters
    ----------
    state : SchedulerState
        State machines that rejection reads and updates.
    refusals : Refusals
        Builds the verdicts.
    """

    def __init__(self, state: SchedulerState, refusals: Refusals) -> None:
        self._state = state
        self._refusals = refusals

    def reject_late_arrival(
        self, request_id: str, now: float
    ) -> Iterator[RequestRejected]:
        """Reject a newly queued request that is expected to miss its deadline."""
        waiting = self._state.backlog.get(request_id)
        if waiting is None:
            return
        lane = get_lane(waiting.request)
        queues = [entry for entry in self._state.sort_queues(now) if entry.lane == lane]
        lane_state = self._state.describe_lane(lane)
        if not lane_state.slots:
            return
        expected = estimate_wait(lane_state, queues, waiting, now)
        remaining = waiting.request.deadline - now
        if (
            expected.first_token_seconds
            > remaining * self._state.settings.admission_margin
        ):
            yield self._reject_late(expected, queues, now)

    def reject_late(self, now: float) -> Iterator[RequestRejected]:
        """Reject the waiting requests that are expected to miss their deadlines."""
        queues = self._state.sort_queues(now)
        for lane in dict.fromkeys(entry.lane for entry in queues):
            lane_queues = [entry for entry in queues if entry.lane == lane]
            yield from self._reject_late_in(lane, lane_queues, now)

    def reject_overflow(self, now: float) -> Iterator[RequestRejected]:
        """Reject the last request of the lowest class while over capacity."""
        while len(self._state.backlog) > self._state.settings.capacity:
            queues = self._state.sort_queues(now)
            lowest = max(queues, key=lambda entry: entry.work_class.rank)
            *_, waiting = lowest.queue.iterate()
            rate = self._state.compute_service_rate(lowest)
            verdict = self._refusals.refuse_full(waiting.request, rate, now)
            yield self._reject(waiting, verdict)

    def reject_quarantined(self, now: float) -> Iterator[RequestRejected]:
        """Reject the waiting requests whose fingerprint is quarantined."""
        quarantine = self._state.quarantine
        for waiting in self._state.backlog.iterate():
            if quarantine.is_quarantined(waiting.request.fingerprint, now):
                verdict = self._refusals.refuse_quarantined(waiting.request)
                yield self._reject(waiting, verdict)

    def _reject_late_in(
        self, lane: Lane, queues: list[ClassQueue], now: float
    ) -> Iterator[RequestRejected]:
        lane_state = self._state.describe_lane(lane)
        if not lane_state.slots:
            yield from self._reject_without_target(queues, now)
            return
        margin = self._state.settings.late_margin
        for late in tuple(find_late(lane_state, queues, now, margin)):
            yield self._reject_late(late, queues, now)

    def _reject_late(
        self, late: ExpectedWait, queues: list[ClassQueue], now: float
    ) -> RequestRejected:
        name = late.waiting.request.work_class
        own = next(entry for entry in queues if entry.work_class.name == name)
        rate = self._state.compute_service_rate(own)
        verdict = self._refusals.refuse_late(late, rate, now)
        return self._reject(late.waiting, verdict)

    def _reject_without_target(
        self, queues: list[ClassQueue], now: float
    ) -> Iterator[RequestRejected]:
        requests = [
            waiting for entry in queues for waiting in tuple(entry.queue.iterate())
        ]
        for waiting in requests:
            request = waiting.request
            prospect = self._state.placement.assess(self._state.build_query(request))
            if prospect is Prospect.NONE or now >= request.deadline:
                verdict = self._refusals.refuse_without_target(request)
                yield self._reject(waiting, verdict)

    def _reject(self, waiting: WaitingRequest, verdict: Verdict) -> RequestRejected:
        request_id = waiting.request.request_id
        removed = self._state.backlog.remove(request_id)
        ensure(
            removed is not None,
            "each arrival is answered exactly once",
            request_id=request_id,
            verdict=verdict,
        )
        return RequestRejected(request_id, verdict)

"""The waiting requests of one service, in the order in which they are admitted."""

import dataclasses
import itertools
from collections import Counter
from collections.abc import Callable, Iterator

from kingcuphead.admission._messages import AdmissionRequest, Standing
from kingcuphead.fairness import FairQueue, WaitingRequest

#: Number of waiting requests that are examined for one admission.
LOOKAHEAD = 16
#: Times that a request is skipped before it holds back the requests behind it.
MAX_SKIPS = 16
#: Seconds for which a request that was skipped too often holds back others.
HOLD_BACK_SECONDS = 0.15
#: One of this number of admissions goes to the request that has waited longest, if it
#: is aged. A larger share would make more of the timely requests late.
AGED_INTERVAL = 32


@dataclasses.dataclass(slots=True, eq=False)
class Entry:
    """A waiting request."""

    #: The request.
    request: AdmissionRequest
    #: The request as an element of a fair queue.
    waiting: WaitingRequest[AdmissionRequest]
    #: Place among the requests of its rank.
    standing: Standing
    #: Number of admissions that skipped it.
    skips: int = 0
    #: End of the time in seconds for which it holds back others; None before it does.
    holds_back_until: float | None = None

    def holds_back(self, now: float) -> bool:
        """Return whether the requests behind it have to wait for it."""
        if self.skips < MAX_SKIPS:
            return False
        if self.holds_back_until is None:
            self.holds_back_until = now + HOLD_BACK_SECONDS
        if now < self.holds_back_until:
            return True
        self.skips = 0
        self.holds_back_until = None
        return False


class ServiceQueue:
    """Orders waiting requests; does no I/O.

    The order is by rank, then by standing. Within these, organisations share by tokens;
    requests of one organisation, and organisations that have got equal shares, are
    ordered by the last time at which they start in time. Without the time that the
    answer takes, large requests would be the first to miss their objectives.
    """

    def __init__(self) -> None:
        self._entries: dict[str, Entry] = {}
        self._queues: dict[tuple[int, Standing], FairQueue[AdmissionRequest]] = {}
        self._admissions_until_aged = AGED_INTERVAL
        #: Bytes in the bodies of the waiting requests.
        self.body_bytes = 0

    def __len__(self) -> int:
        return len(self._entries)

    def __contains__(self, request_id: str) -> bool:
        return request_id in self._entries

    @property
    def late_count(self) -> int:
        """Number of waiting requests that are expected to miss their objectives."""
        return sum(
            len(queue)
            for (_, standing), queue in self._queues.items()
            if standing is Standing.LATE
        )

    @property
    def ranks(self) -> set[int]:
        """Ranks of the waiting requests."""
        return {rank for (rank, _), queue in self._queues.items() if len(queue)}

    def push(self, request: AdmissionRequest, standing: Standing, now: float) -> None:
        """Add a request."""
        entry = Entry(request, WaitingRequest(request, now), standing)
        self._entries[request.request_id] = entry
        self._get_queue(entry).push(entry.waiting)
        self.body_bytes += request.body_bytes

    def remove(self, request_id: str) -> bool:
        """Remove a request that leaves unserved; return whether it waited."""
        entry = self._entries.pop(request_id, None)
        if entry is None:
            return False
        self._get_queue(entry).remove(entry.waiting)
        self._end(entry)
        return True

    def mark_late(self, request_id: str) -> None:
        """Record that a request is expected to miss its objective."""
        entry = self._entries[request_id]
        if entry.standing is Standing.TIMELY:
            self._move(entry, Standing.LATE)

    def expedite(self, request_id: str) -> None:
        """Let a request go ahead of the others of its rank."""
        self._move(self._entries[request_id], Standing.EXPEDITED)

    def is_late(self, request_id: str) -> bool:
        """Return whether a waiting request is expected to miss its objective."""
        return self._entries[request_id].standing is Standing.LATE

    def is_expedited(self, request_id: str) -> bool:
        """Return whether a waiting request goes ahead of the others of its rank."""
        return self._entries[request_id].standing is Standing.EXPEDITED

    def refresh(self, now: float) -> None:
        """Mark the requests that can no longer start in time."""
        for entry in tuple(self._entries.values()):
            if entry.request.last_start_in_time < now:
                self.mark_late(entry.request.request_id)

    def iterate(self) -> Iterator[AdmissionRequest]:
        """Yield the requests in their order, without regard to ageing."""
        for key in sorted(self._queues):
            for waiting in self._queues[key].iterate():
                yield waiting.request

    def is_only_of_rank(self, request: AdmissionRequest) -> bool:
        """Return whether no other request of its rank waits."""
        return self._count_rank(request.rank) == 1

    def find_surplus(
        self, is_refusable: Callable[[AdmissionRequest], bool] = lambda _: True
    ) -> AdmissionRequest | None:
        """Return the request to refuse when one too many waits; None if there is none.

        It is the last one of the organisation with the most waiting requests in the
        least urgent rank. The last waiting request of a rank is refused only if there
        is no other, so that no rank is starved.

        Parameters
        ----------
        is_refusable
            Returns whether a request may be refused.
        """
        refusable = [each for each in self.iterate() if is_refusable(each)]
        ranks = {each.rank for each in refusable}
        rank = max((each for each in ranks if self._count_rank(each) > 1), default=None)
        if rank is None:
            rank = max(ranks, default=None)
        lengths = Counter(
            each.organisation for each in self.iterate() if each.rank == rank
        )
        requests = [each for each in refusable if each.rank == rank]
        longest = max((lengths[each.organisation] for each in requests), default=0)
        surplus = (each for each in requests if lengths[each.organisation] == longest)
        return next(reversed(tuple(surplus)), None)

    def _count_rank(self, rank: int) -> int:
        return sum(
            len(queue) for (other, _), queue in self._queues.items() if other == rank
        )

    def admit(
        self,
        has_room: Callable[[AdmissionRequest, bool], bool],
        may_overtake: Callable[[int], bool],
        now: float,
    ) -> Entry | None:
        """Remove and return the first request that there is room for.

        Parameters
        ----------
        has_room
            Returns whether a target has room for a request; its second argument tells
            whether the request yields to timely ones of other daemons.
        may_overtake
            Returns whether an aged request of a rank may go ahead of more urgent ones.
        now
            Current time in seconds.
        """
        self.refresh(now)
        skipped: list[Entry] = []
        aged = self._find_overtaking(may_overtake, now)
        for entry in self._list_candidates(aged):
            yields_to_timely = entry.standing is Standing.LATE and entry is not aged
            if has_room(entry.request, yields_to_timely):
                self._record_admission(entry, skipped, now)
                return entry
            skipped.append(entry)
            if entry.holds_back(now):
                return None
        return None

    def _list_candidates(self, aged: Entry | None) -> list[Entry]:
        """Return the first requests, with one that overtakes the others."""
        ordered = itertools.islice(self.iterate(), LOOKAHEAD)
        entries = [self._entries[request.request_id] for request in ordered]
        if aged is None:
            return entries
        return [aged, *(entry for entry in entries if entry is not aged)]

    def _find_overtaking(
        self, may_overtake: Callable[[int], bool], now: float
    ) -> Entry | None:
        """Return the request that has waited longest if it is aged and its turn."""
        if self._admissions_until_aged > 0 or not self._entries:
            return None
        oldest = min(self._entries.values(), key=lambda entry: entry.request.arrived_at)
        if now < oldest.request.aged_at or not may_overtake(oldest.request.rank):
            return None
        return oldest

    def _record_admission(
        self, admitted: Entry, skipped: list[Entry], now: float
    ) -> None:
        for entry in skipped:
            entry.skips += 1
        self._admissions_until_aged -= 1
        if now >= admitted.request.aged_at:
            self._admissions_until_aged = AGED_INTERVAL
        del self._entries[admitted.request.request_id]
        self._get_queue(admitted).serve(admitted.waiting)
        self._end(admitted)

    def _move(self, entry: Entry, standing: Standing) -> None:
        self._get_queue(entry).remove(entry.waiting)
        entry.standing = standing
        self._get_queue(entry).push(entry.waiting)

    def _end(self, entry: Entry) -> None:
        self.body_bytes -= entry.request.body_bytes
        if not self._entries:
            # What organisations got earlier doesn't count when nothing waits.
            self._queues.clear()

    def _get_queue(self, entry: Entry) -> FairQueue[AdmissionRequest]:
        key = (entry.request.rank, entry.standing)
        if key not in self._queues:
            self._queues[key] = FairQueue(_get_urgency)
        return self._queues[key]


def _get_urgency(request: AdmissionRequest) -> float:
    return request.last_start_in_time

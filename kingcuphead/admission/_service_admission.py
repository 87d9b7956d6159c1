"""Decides for one service which requests wait, are admitted or are refused."""

import itertools
from collections.abc import Callable, Iterator

from kingcuphead.admission._admission_times import AdmissionTimes
from kingcuphead.admission._bounds import KEPT_SHARE, LATE_SHARE
from kingcuphead.admission._concurrency import ConcurrencyLimit
from kingcuphead.admission._messages import (
    AdmissionRequest,
    QueueFigures,
    Refused,
    Rejection,
    Standing,
)
from kingcuphead.admission._rate import AdmissionRate
from kingcuphead.admission._reservations import Reservations
from kingcuphead.admission._service_queue import AGED_INTERVAL, ServiceQueue
from kingcuphead.admission._shares import Counts, RankShares, SizeShares
from kingcuphead.invariants import require
from kingcuphead.verdict import Reason

#: Lower bound of the time in seconds that is left for an answer when a request is
#: admitted.
MIN_ANSWER_SECONDS = 0.02
#: Seconds after its arrival in which a request is refused promptly. Later, it isn't
#: refused in favour of a new one, and may wait on if it is late.
MAX_REFUSAL_DELAY = 0.05
#: Factor by which the wait of a request that arrives may be longer than estimated, as
#: other daemons take a varying part of the places.
ARRIVAL_MARGIN = 1.75
#: Ratio of the expected to the remaining wait above which a request that waits already
#: is refused; the estimate varies while it waits.
WAITING_MARGIN = 1.25
#: Number of late requests that wait on after `MAX_REFUSAL_DELAY` in any case; others do
#: if they begin before their deadlines with the share of the admissions below.
MAX_KEPT_LATE = 4
#: Largest share of the admissions for late requests that go ahead of timely ones.
OVERTAKING_SHARE = 0.1
#: Lower bound of the number of admissions of which it is the share.
MIN_COUNTED_ADMISSIONS = 20
#: Largest part of the objective that an answer is expected to take before one was
#: measured. The first event of a stream comes long before its end.
MAX_UNMEASURED_PART = 0.5
#: Bound on the groups of targets whose concurrency limits are remembered.
MAX_CONCURRENCY_LIMITS = 32


class ServiceAdmission:
    """Queue of one service with its estimates; does no I/O."""

    def __init__(self) -> None:
        #: The waiting requests.
        self.queue = ServiceQueue()
        self._concurrency_limits: dict[str, ConcurrencyLimit] = {}
        self._rate = AdmissionRate()
        self._times = AdmissionTimes()
        self._shares = RankShares()
        self._sizes = SizeShares()
        #: Admissions after a wait, and those of them that were late.
        self._late = Counts()
        #: Admissions after a wait, and late requests that were put ahead of others.
        self._overtaking = Counts()
        self._reservations = Reservations()

    def get_concurrency_limit(self, group: str) -> ConcurrencyLimit:
        """Return the bound on the requests in progress at a group of targets."""
        if (
            group not in self._concurrency_limits
            and len(self._concurrency_limits) >= MAX_CONCURRENCY_LIMITS
        ):
            self._concurrency_limits.clear()
        return self._concurrency_limits.setdefault(group, ConcurrencyLimit())

    def record_direct(self, request: AdmissionRequest, now: float) -> None:
        """Record a request that was admitted on arrival, as nothing waited."""
        self._reservations.claim(request.fingerprint, now)
        self._record_arrival(request, now)
        self._record_admission(request, now)

    def push(self, request: AdmissionRequest, now: float) -> None:
        """Add a request that arrived to the queue."""
        self._record_arrival(request, now)
        has_returned = self._reservations.claim(request.fingerprint, now)
        is_expedited = has_returned or self._sizes.is_neglected(request.size)
        standing = Standing.EXPEDITED if is_expedited else Standing.TIMELY
        self.queue.push(request, standing, now)

    def admit(
        self, has_room: Callable[[AdmissionRequest, bool], bool], now: float
    ) -> AdmissionRequest | None:
        """Remove and return the next request to be admitted; None if there is none."""
        ranks = self.queue.ranks
        admitted = self.queue.admit(
            has_room,
            lambda rank: self._shares.may_overtake(rank, ranks, now),
            now,
        )
        if admitted is not None:
            self._record_admission(admitted.request, now)
            for counts in (self._late, self._overtaking):
                counts.advance(now)
                counts.arrived += 1
            self._late.admitted += admitted.standing is Standing.LATE
        # After the admission, which counts as one after a wait.
        self.track(now)
        return None if admitted is None else admitted.request

    def withdraw(self, request_id: str, now: float) -> None:
        """Remove a request whose caller is gone."""
        self.queue.remove(request_id)
        self.track(now)

    def track(self, now: float) -> None:
        """Begin or end the measurement of the rate, as requests wait or don't."""
        if len(self.queue):
            self._rate.begin(now)
        else:
            self._rate.end(now)

    def review_arrival(
        self, request: AdmissionRequest, limit: int, running: int, now: float
    ) -> Iterator[Rejection]:
        """Yield what is refused because of a request that was just added.

        Parameters
        ----------
        request
            Request that still waits after all room was used.
        limit
            Bound on the waiting requests.
        running
            Number of requests that this daemon has in progress.
        now
            Current time in seconds.
        """
        if self._is_expected_late(request, running, now):
            self.queue.mark_late(request.request_id)
        wait = self._estimate_wait(request, self._rate.get(now), now)
        if self.queue.is_only_of_rank(request):
            # Ageing lets it begin, whatever waits in more urgent ranks.
            wait = 0.0
        if now + wait > request.last_start - self._get_reserve(request):
            yield self.reject(request, Reason.DEADLINE, now)
        elif self._has_waited(request, now):
            # It was admitted before and waits again. A refusal would be late.
            return
        elif self._is_refused_less(request, now):
            yield self.reject(request, Reason.QUEUE_FULL, now)
        elif self._is_over(request, limit, now):
            surplus = self._find_surplus(limit, now)
            if surplus is not None:
                yield self.reject(surplus, Reason.QUEUE_FULL, now)

    def review(self, now: float) -> Iterator[Rejection]:
        """Yield the waiting requests that can't begin before their deadlines."""
        rate = self._rate.get(now)
        ahead = late_ahead = 0
        for request in tuple(self.queue.iterate()):
            is_late = self.queue.is_late(request.request_id)
            counted = late_ahead if is_late else ahead
            if self._is_given_up(request, counted, rate, now):
                yield self.reject(request, Reason.DEADLINE, now)
            else:
                ahead += 1
                late_ahead += is_late

    def reject_last(self, now: float) -> Rejection:
        """Remove the last request of the least urgent rank; the queue isn't empty."""
        last = require(self.queue.find_surplus(), "the queue isn't empty")
        return self.reject(last, Reason.QUEUE_FULL, now)

    def reject(
        self, request: AdmissionRequest, reason: Reason, now: float
    ) -> Rejection:
        """Remove a waiting request that is refused."""
        rate = self._rate.get(now)
        figures = QueueFigures(
            len(self.queue),
            self._count_ahead(request),
            rate,
            request.last_start - now,
        )
        self.queue.remove(request.request_id)
        self.track(now)
        self._shares.record_refusal(request.rank, now)
        retry_after = self._reservations.reserve(request, rate, now)
        return Rejection(request, Refused(reason, retry_after, figures))

    def _is_given_up(
        self, request: AdmissionRequest, ahead: int, rate: float | None, now: float
    ) -> bool:
        """Return whether a waiting request is refused, or put it ahead if it is kept.

        Parameters
        ----------
        request
            The request.
        ahead
            Number of requests ahead; of late ones if it is late.
        rate
            Requests admitted per second; None before it is measured.
        now
            Current time in seconds.
        """
        remaining = request.last_start - self._get_reserve(request) - now
        if remaining < 0:
            return True
        if rate is None or self.queue.is_only_of_rank(request):
            return False
        wait = self._compute_wait(request, ahead, rate, now)
        if wait <= remaining * WAITING_MARGIN:
            return False
        if not self._is_kept(request, ahead, rate, now):
            return True
        self._expedite_late(request)
        return False

    def _is_kept(
        self, request: AdmissionRequest, late_ahead: int, rate: float, now: float
    ) -> bool:
        """Return whether a late request is kept because a refusal would be late too."""
        if not self._has_waited(request, now) or not self.queue.is_late(
            request.request_id
        ):
            return False
        rank_rate = rate * self._shares.compute_rate_share(request.rank, now)
        begins_at = now + (late_ahead + 1) / (rank_rate * OVERTAKING_SHARE)
        return late_ahead < MAX_KEPT_LATE or begins_at < request.last_start

    def _expedite_late(self, request: AdmissionRequest) -> None:
        """Put a late request ahead of timely ones unless too many were put there."""
        admissions = max(MIN_COUNTED_ADMISSIONS, self._overtaking.arrived)
        if self._overtaking.admitted < OVERTAKING_SHARE * admissions:
            self._overtaking.admitted += 1
            self.queue.expedite(request.request_id)

    def _is_expected_late(
        self, request: AdmissionRequest, running: int, now: float
    ) -> bool:
        """Return whether a request that arrives is expected to miss its objective.

        Before anything is measured, requests are expected to take as long as the oldest
        one in progress has taken so far.
        """
        rate, answer_seconds = self._rate.get(now), request.answer_seconds
        age = self._times.get_age(running, now)
        if rate is None and age > 0:
            rate = running / age
        if not answer_seconds:
            objective = request.objective_ends_at - request.arrived_at
            answer_seconds = min(age, MAX_UNMEASURED_PART * objective)
        wait = self._estimate_wait(request, rate, now)
        return now + wait * ARRIVAL_MARGIN + answer_seconds > request.objective_ends_at

    def _find_surplus(self, limit: int, now: float) -> AdmissionRequest | None:
        """Return the request to refuse when one too many waits; None if there is none.

        One that has waited would be refused late. One that came back when it was told
        to may exceed the bound by the share of the places that are kept.
        """
        is_far_over = len(self.queue) > (1 + KEPT_SHARE) * limit
        return self.queue.find_surplus(
            lambda each: (
                not self._has_waited(each, now)
                and (is_far_over or not self.queue.is_expedited(each.request_id))
            )
        )

    @staticmethod
    def _has_waited(request: AdmissionRequest, now: float) -> bool:
        """Return whether a refusal of a request would be late."""
        return now - request.arrived_at > MAX_REFUSAL_DELAY

    def _is_refused_less(self, request: AdmissionRequest, now: float) -> bool:
        """Return whether more urgent ranks are refused a larger share."""
        if self.queue.is_only_of_rank(request):
            return False
        return self._shares.is_refused_less(request.rank, now)

    def _is_over(self, request: AdmissionRequest, limit: int, now: float) -> bool:
        """Return whether one request more waits than the bounds allow.

        A late one may always wait alone, as it may be late without a wait.
        """
        is_late = self.queue.is_late(request.request_id)
        is_alone = len(self.queue) == 1
        if is_late and not is_alone and self.queue.late_count > LATE_SHARE * limit:
            return True
        kept = self._reservations.count_places(request.rank, now)
        return len(self.queue) + min(kept, KEPT_SHARE * limit) > limit

    def _estimate_wait(
        self, request: AdmissionRequest, rate: float | None, now: float
    ) -> float:
        """Return the expected seconds until a request is admitted; 0 if unknown."""
        if rate is None:
            return 0.0
        is_late = self.queue.is_late(request.request_id)
        ahead = self._count_ahead(request, only_late=is_late)
        ahead += self._reservations.count_places(request.rank, now)
        return self._compute_wait(request, ahead, rate, now)

    def _compute_wait(
        self, request: AdmissionRequest, ahead: int, rate: float, now: float
    ) -> float:
        """Return the expected seconds by the number of requests ahead."""
        wait = (ahead + 1) / (rate * self._shares.compute_rate_share(request.rank, now))
        if not self.queue.is_late(request.request_id):
            return wait
        late_share = self._late.admitted_share
        if late_share > 1 / AGED_INTERVAL:
            return wait / late_share
        # Timely requests leave nothing but the admissions of aged ones.
        return max(0.0, request.aged_at - now) + wait * AGED_INTERVAL

    def _count_ahead(self, request: AdmissionRequest, only_late: bool = False) -> int:
        ahead = itertools.takewhile(
            lambda other: other is not request, self.queue.iterate()
        )
        return sum(
            not only_late or self.queue.is_late(other.request_id) for other in ahead
        )

    def _record_arrival(self, request: AdmissionRequest, now: float) -> None:
        self._shares.record_arrival(request.rank, now)
        self._sizes.record_arrival(request.size, now)

    def _record_admission(self, request: AdmissionRequest, now: float) -> None:
        self._rate.record_admission(now)
        self._times.record(now)
        self._shares.record_admission(request.rank, now)
        self._sizes.record_admission(request.size, now)

    @staticmethod
    def _get_reserve(request: AdmissionRequest) -> float:
        """Return the seconds by which a request has to begin earlier."""
        return max(0.0, MIN_ANSWER_SECONDS - request.answer_seconds)

"""Decides for one service which requests wait, are admitted or are refused."""

import itertools
from collections.abc import Callable, Iterator

from kingcuphead.admission._bounds import KEPT_SHARE, LATE_SHARE
from kingcuphead.admission._messages import (
    AdmissionRequest,
    QueueFigures,
    Refused,
    Rejection,
    Standing,
)
from kingcuphead.admission._pace import Pace
from kingcuphead.admission._rate import AdmissionRate
from kingcuphead.admission._reservations import Reservations
from kingcuphead.admission._service_queue import AGED_INTERVAL, ServiceQueue
from kingcuphead.admission._shares import Counts, RankShares, SizeShares
from kingcuphead.invariants import require
from kingcuphead.verdict import Reason

#: Lower bound of the time in seconds that is left for an answer when a request is
#: admitted.
MIN_ANSWER_SECONDS = 0.02
#: Seconds after which a request that waits isn't refused in favour of a new one of the
#: same organisation and rank.
MAX_REFUSAL_DELAY = 0.05
#: Factor by which the wait of a request that arrives may be longer than estimated, as
#: other daemons take a varying part of the places.
ARRIVAL_MARGIN = 1.5
#: Ratio of the expected to the remaining wait above which a request that waits already
#: is refused; the estimate varies while it waits.
WAITING_MARGIN = 1.25


class ServiceAdmission:
    """Queue of one service with its estimates; does no I/O."""

    def __init__(self) -> None:
        #: The waiting requests.
        self.queue = ServiceQueue()
        #: Bound on the requests in progress.
        self.pace = Pace()
        self._rate = AdmissionRate()
        self._shares = RankShares()
        self._sizes = SizeShares()
        #: Admissions after a wait, and those of them that were late.
        self._late = Counts()
        self._reservations = Reservations()

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
            self._late.advance(now)
            self._late.arrived += 1
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
        self, request: AdmissionRequest, limit: int, now: float
    ) -> Iterator[Rejection]:
        """Yield what is refused because of a request that was just added.

        Parameters
        ----------
        request
            Request that still waits after all room was used.
        limit
            Bound on the waiting requests.
        now
            Current time in seconds.
        """
        rate = self._rate.get(now)
        wait = self._estimate_wait(request, rate, now)
        if now + wait * ARRIVAL_MARGIN > request.last_start_in_time:
            self.queue.mark_late(request.request_id)
            wait = self._estimate_wait(request, rate, now)
        if self.queue.is_only_of_rank(request):
            # Ageing lets it begin, whatever waits in more urgent ranks.
            wait = 0.0
        if now + wait > request.last_start - self._get_reserve(request):
            yield self.reject(request, Reason.DEADLINE, now)
        elif self._is_refused_less(request, now):
            yield self.reject(request, Reason.QUEUE_FULL, now)
        elif self._is_over(request, limit, now):
            yield self.reject(
                self._choose_surplus(request, now), Reason.QUEUE_FULL, now
            )

    def review(self, now: float) -> Iterator[Rejection]:
        """Yield the waiting requests that can't begin before their deadlines."""
        rate = self._rate.get(now)
        ahead = late_ahead = 0
        for request in tuple(self.queue.iterate()):
            is_late = self.queue.is_late(request.request_id)
            remaining = request.last_start - self._get_reserve(request) - now
            wait = 0.0
            if rate is not None and not self.queue.is_only_of_rank(request):
                counted = late_ahead if is_late else ahead
                wait = self._compute_wait(request, counted, rate, now)
            if remaining < 0 or wait > remaining * WAITING_MARGIN:
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

    def _choose_surplus(
        self, request: AdmissionRequest, now: float
    ) -> AdmissionRequest:
        """Return the request to refuse when one too many waits."""
        last = require(self.queue.find_surplus(), "a queue over its bound isn't empty")
        has_equal_claim = (
            not self.queue.is_expedited(request.request_id)
            and last.rank == request.rank
            and last.organisation == request.organisation
        )
        if has_equal_claim and now - last.arrived_at > MAX_REFUSAL_DELAY:
            return request
        return last

    def _is_refused_less(self, request: AdmissionRequest, now: float) -> bool:
        """Return whether more urgent ranks are refused a larger share."""
        if self.queue.is_only_of_rank(request):
            return False
        return self._shares.is_refused_less(request.rank, now)

    def _is_over(self, request: AdmissionRequest, limit: int, now: float) -> bool:
        """Return whether one request more waits than the bounds allow."""
        is_late = self.queue.is_late(request.request_id)
        if is_late and self.queue.late_count > LATE_SHARE * limit:
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
        wait = (ahead + 1) / (rate * self._shares.compute_left(request.rank, now))
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
        self._shares.record_admission(request.rank, now)
        self._sizes.record_admission(request.size, now)

    @staticmethod
    def _get_reserve(request: AdmissionRequest) -> float:
        """Return the seconds by which a request has to begin earlier."""
        return max(0.0, MIN_ANSWER_SECONDS - request.answer_seconds)

"""Decides for one service which requests wait, are admitted or are refused."""

from collections.abc import Callable, Iterator

from kingcuphead.admission._bounds import LATE_SHARE
from kingcuphead.admission._messages import (
    AdmissionRequest,
    QueueFigures,
    Refused,
    Rejection,
    Standing,
)
from kingcuphead.admission._rate import AdmissionRate
from kingcuphead.admission._reservations import Reservations
from kingcuphead.admission._service_queue import ServiceQueue
from kingcuphead.admission._shares import RankShares
from kingcuphead.verdict import Reason

#: Lower bound of the time in seconds that is left for an answer when a request is
#: admitted.
MIN_ANSWER_SECONDS = 0.02
#: Ratio of the expected to the remaining wait above which a request that waits already
#: is refused; the estimate varies while it waits.
WAITING_MARGIN = 1.25


class ServiceAdmission:
    """Queue of one service with its estimates; does no I/O."""

    def __init__(self) -> None:
        self.queue = ServiceQueue()
        self._rate = AdmissionRate()
        self._shares = RankShares()
        self._reservations = Reservations()

    def record_direct(self, request: AdmissionRequest, now: float) -> None:
        """Record a request that was admitted on arrival, as nothing waited."""
        self._reservations.claim(request.fingerprint, now)
        self._shares.record_arrival(request.rank, now)
        self._shares.record_admission(request.rank, now)

    def push(self, request: AdmissionRequest, now: float) -> None:
        """Add a request that arrived to the queue."""
        self._shares.record_arrival(request.rank, now)
        standing = Standing.TIMELY
        if self._reservations.claim(request.fingerprint, now):
            standing = Standing.RETURNED
        self.queue.push(request, standing, now)

    def admit(
        self, has_room: Callable[[AdmissionRequest], bool], now: float
    ) -> AdmissionRequest | None:
        """Remove and return the next request to be admitted; None if there is none."""
        ranks = self.queue.ranks
        admitted = self.queue.admit(
            has_room,
            lambda rank: self._shares.may_overtake(rank, ranks, now),
            now,
        )
        if admitted is not None:
            self._rate.record_admission(now)
            self._shares.record_admission(admitted.rank, now)
        self.track(now)
        return admitted

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
        if now + wait > request.last_start_in_time:
            self.queue.mark_late(request.request_id)
            wait = self._estimate_wait(request, rate, now)
        if now + wait > request.last_start - self._get_reserve(request):
            yield self.reject(request, Reason.DEADLINE, now)
        elif self._shares.is_refused_less(request.rank, now):
            yield self.reject(request, Reason.QUEUE_FULL, now)
        elif self._is_over(request, limit, now):
            yield self.reject_last(now)

    def review(self, now: float) -> Iterator[Rejection]:
        """Yield the waiting requests that can't begin before their deadlines."""
        rate = self._rate.get(now)
        ahead = 0
        for request in tuple(self.queue.iterate()):
            remaining = request.last_start - self._get_reserve(request) - now
            wait = 0.0 if rate is None else (ahead + 1) / rate
            if remaining < 0 or wait > remaining * WAITING_MARGIN:
                yield self.reject(request, Reason.DEADLINE, now)
            else:
                ahead += 1

    def reject_last(self, now: float) -> Rejection:
        """Remove the last request of the least urgent rank; the queue isn't empty."""
        *_, last = self.queue.iterate()
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

    def _is_over(self, request: AdmissionRequest, limit: int, now: float) -> bool:
        """Return whether one request more waits than the bounds allow."""
        is_late = self.queue.is_late(request.request_id)
        if is_late and self.queue.late_count > LATE_SHARE * limit:
            return True
        kept = self._reservations.count_places(request.rank, now)
        return len(self.queue) + kept > limit

    def _estimate_wait(
        self, request: AdmissionRequest, rate: float | None, now: float
    ) -> float:
        """Return the expected seconds until a request is admitted; 0 if unknown."""
        if rate is None:
            return 0.0
        ahead = self._count_ahead(request)
        ahead += self._reservations.count_places(request.rank, now)
        return (ahead + 1) / rate

    def _count_ahead(self, request: AdmissionRequest) -> int:
        for index, other in enumerate(self.queue.iterate()):
            if other is request:
                return index
        return len(self.queue)

    @staticmethod
    def _get_reserve(request: AdmissionRequest) -> float:
        """Return the seconds by which a request has to begin earlier."""
        return max(0.0, MIN_ANSWER_SECONDS - request.answer_seconds)

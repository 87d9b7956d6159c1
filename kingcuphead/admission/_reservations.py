"""Times at which refused requests were told to come back."""

import itertools
from collections import OrderedDict, defaultdict, deque

from kingcuphead.admission._messages import AdmissionRequest
from kingcuphead.frozen import frozen

#: Lower bound in seconds of the time after which a refused caller may retry.
MIN_RETRY_AFTER = 0.05
#: Upper bound in seconds of that time.
MAX_RETRY_AFTER = 10.0
#: Share of the admissions that is left to requests that come back.
RETURNING_SHARE = 0.5
#: Seconds between two of them before the rate of admissions is measured.
DEFAULT_INTERVAL = 0.02
#: Seconds after its time for which a place in the queue is kept for a request. Most
#: callers that come back do so at once, and many go to another daemon.
PLACE_LIFETIME = 0.1
#: Seconds after its time for which a request is recognised.
LIFETIME = 5.0
#: Seconds by which a request may be early: `Retry-After` has milliseconds.
TOLERANCE = 0.005
#: Bound on the reservations of one service.
MAX_RESERVATIONS = 1_024


@frozen
class Reservation:
    """A place that is kept for a refused request."""

    #: Rank of the request.
    rank: int
    #: Time in seconds at which it may come back.
    due_at: float


class Reservations:
    """Reservations of one service by the fingerprint of the request; does no I/O."""

    def __init__(self) -> None:
        self._reservations: OrderedDict[str, Reservation] = OrderedDict()
        self._last_due_at: dict[int, float] = {}
        #: Due times and fingerprints by rank, in order of time.
        self._places: defaultdict[int, deque[tuple[float, str]]] = defaultdict(deque)

    def reserve(
        self, request: AdmissionRequest, rate: float | None, now: float
    ) -> float:
        """Return the seconds after which a refused request may come back.

        A place is kept for it unless it would come back too late to be served.

        Parameters
        ----------
        request
            Request that is refused.
        rate
            Requests admitted per second; None before it is measured.
        now
            Current time in seconds.
        """
        interval = DEFAULT_INTERVAL if rate is None else 1 / (rate * RETURNING_SHARE)
        due_at = max(now + MIN_RETRY_AFTER, self._find_last(request.rank) + interval)
        if due_at <= min(request.last_start, now + MAX_RETRY_AFTER):
            self._last_due_at[request.rank] = due_at
            self._reservations[request.fingerprint] = Reservation(request.rank, due_at)
            self._reservations.move_to_end(request.fingerprint)
            self._places[request.rank].append((due_at, request.fingerprint))
        self._expire(now)
        return min(MAX_RETRY_AFTER, max(MIN_RETRY_AFTER, due_at - now))

    def claim(self, fingerprint: str, now: float) -> bool:
        """End the reservation of a request; whether it came back when it was told."""
        reservation = self._reservations.get(fingerprint)
        if reservation is None or now < reservation.due_at - TOLERANCE:
            return False
        del self._reservations[fingerprint]
        return now <= reservation.due_at + LIFETIME

    def count_places(self, rank: int, now: float) -> int:
        """Return the places kept now for requests of a rank and more urgent ones."""
        return sum(
            self._count_places_of(places, now)
            for other, places in self._places.items()
            if other <= rank
        )

    def _count_places_of(self, places: deque[tuple[float, str]], now: float) -> int:
        while places and places[0][0] < now - PLACE_LIFETIME:
            places.popleft()
        due = itertools.takewhile(lambda place: place[0] <= now, places)
        return sum(fingerprint in self._reservations for _, fingerprint in due)

    def _find_last(self, rank: int) -> float:
        """Return the last time given to a request of a rank or a more urgent one."""
        times = (at for other, at in self._last_due_at.items() if other <= rank)
        return max(times, default=float("-inf"))

    def _expire(self, now: float) -> None:
        for fingerprint, reservation in tuple(self._reservations.items()):
            is_over = reservation.due_at + LIFETIME < now
            if not is_over and len(self._reservations) <= MAX_RESERVATIONS:
                return
            del self._reservations[fingerprint]

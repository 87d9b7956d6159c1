"""Decides about hedged requests: a second attempt starts while the first still runs."""

import dataclasses
import enum
import math
from collections import defaultdict

from kingcuphead.dispatch._answer_histogram import AnswerHistogram
from kingcuphead.dispatch._messages import AttemptResult
from kingcuphead.dispatch._retries import RetryAllowance
from kingcuphead.dispatch._sliding_window import SlidingWindowCounter
from kingcuphead.routing import RequestKind, Route

#: Share of the attempts that end before the delay of a second attempt.
DELAY_QUANTILE = 0.95
#: Weight of the observations below which the delay is unknown.
MIN_OBSERVATIONS = 50
#: Seconds over which requests and second attempts are counted.
SHARE_WINDOW = 60.0
#: Share of a service's slots above which it is busy.
MAX_BUSY_SHARE = 0.5
#: Seconds by which the event loop may run a timer late.
MAX_LOOP_LAG = 0.01
#: Seconds for which the event loop counts as late after a late timer.
LAG_LIFETIME = 1.0
#: Seconds that a request may have waited in the queue of this daemon.
MAX_QUEUE_SECONDS = 0.01
#: Seconds for which a target counts as slow after a late attempt there.
SLOW_LIFETIME = 1.0
#: Bound on the tracked classes of requests.
MAX_CLASSES = 1_024


class HedgeDenial(enum.StrEnum):
    """Reason for which no second attempt starts after the delay."""

    #: The request has had all attempts that its route allows.
    ATTEMPTS = "attempts"
    #: The request is quarantined.
    QUARANTINED = "quarantined"
    #: This daemon caused the delay.
    OWN_DELAY = "own_delay"
    #: The targets of the service are busy.
    BUSY = "busy"
    #: No other target takes the request: they are slow, cold, limited or tried.
    NO_TARGET = "no_target"
    #: Other targets wouldn't answer in the time that is left.
    NO_TIME = "no_time"
    #: The operator's share of second attempts is spent.
    SHARE = "share"
    #: The retry budget is spent.
    RETRY_BUDGET = "retry_budget"


@dataclasses.dataclass(frozen=True, slots=True)
class RequestClass:
    """Requests whose answers take similar times."""

    #: Name of the service.
    service: str
    #: Kind of the request; None for all kinds.
    kind: str | None
    #: Binary logarithm of the size, rounded up; None for all sizes.
    size_class: int | None

    def list_fallbacks(self) -> tuple["RequestClass", ...]:
        """Return the class itself, that over all sizes, and that over all kinds."""
        all_sizes = dataclasses.replace(self, size_class=None)
        return (self, all_sizes, dataclasses.replace(all_sizes, kind=None))


@dataclasses.dataclass(frozen=True, slots=True)
class HedgeConditions:
    """State of a request and its service at the end of the delay."""

    #: Name of the service.
    service: str
    #: Whether the route allows another attempt.
    has_attempts_left: bool
    #: Whether the request is quarantined.
    is_quarantined: bool
    #: Seconds that the request waited in the queue of this daemon.
    queue_seconds: float
    #: Requests that all daemons have at the service's targets.
    running: float
    #: Requests that the targets of the service run concurrently.
    slots: int


class HedgingPolicy:
    """Measures attempts and bounds the number of second attempts; does no I/O.

    Parameters
    ----------
    max_share
        Largest number of second attempts as a share of requests; 0 for none.
    retries
        Retry budget, which second attempts count against.
    covers_streams
        Whether streams may get a second attempt before their first event.
    """

    def __init__(
        self, max_share: float, retries: RetryAllowance, covers_streams: bool = False
    ) -> None:
        self._max_share = max_share
        self._covers_streams = covers_streams
        self._retries = retries
        self._histograms: dict[RequestClass, AnswerHistogram] = {}
        self._requests: defaultdict[str, SlidingWindowCounter] = defaultdict(
            lambda: SlidingWindowCounter(SHARE_WINDOW)
        )
        self._started: defaultdict[str, SlidingWindowCounter] = defaultdict(
            lambda: SlidingWindowCounter(SHARE_WINDOW)
        )
        self._slow_until: dict[str, float] = {}
        self._late_until = -math.inf

    @property
    def is_enabled(self) -> bool:
        """Whether the operator allows second attempts."""
        return self._max_share > 0

    def covers(self, route: Route, has_begun: bool) -> bool:
        """Return whether a request may get a second attempt.

        Parameters
        ----------
        route
            Route of the request.
        has_begun
            Whether the caller has events of the stream. It then goes on at one target
            at a time.
        """
        if not self.is_enabled:
            return False
        match route.kind:
            case RequestKind.IDEMPOTENT:
                return True
            case RequestKind.STREAM:
                return self._covers_streams and route.is_resumable and not has_begun
            case _:
                return False

    def count_request(self, service: str, now: float) -> None:
        """Count a request received from a caller."""
        if self.is_enabled:
            self._requests[service].add(now)

    def get_delay(self, request_class: RequestClass) -> float:
        """Return the seconds before a second attempt; infinite if they are unknown.

        A class with few observations takes the delay of a wider one.
        """
        for each in request_class.list_fallbacks():
            histogram = self._histograms.get(each)
            if histogram is not None and histogram.weight >= MIN_OBSERVATIONS:
                return histogram.estimate_quantile(DELAY_QUANTILE)
        return math.inf

    def record_end(
        self,
        request_class: RequestClass,
        target: str,
        result: AttemptResult,
        seconds: float,
        now: float,
    ) -> None:
        """Record the time that an attempt took.

        Parameters
        ----------
        request_class
            Class of the request.
        target
            Name of the target.
        result
            How the attempt ended.
        seconds
            Time from its start to its end, or to the first event of a stream.
        now
            Current time in seconds.
        """
        delay = self.get_delay(request_class)
        match result:
            case AttemptResult.ANSWERED:
                self._record_seconds(request_class, seconds)
            case AttemptResult.CANCELLED | AttemptResult.SILENT if seconds >= delay:
                # Without the attempts that were cut short, the delay would fall with
                # each second attempt.
                self._record_seconds(request_class, seconds)
        if seconds >= delay:
            self.record_late(target, now)
        elif result is AttemptResult.ANSWERED:
            self._slow_until.pop(target, None)

    def record_late(self, target: str, now: float) -> None:
        """Record that an attempt at a target takes longer than the delay."""
        self._slow_until[target] = now + SLOW_LIFETIME

    def record_lag(self, lag: float, now: float) -> None:
        """Record by how many seconds the event loop ran a timer late."""
        if lag > MAX_LOOP_LAG:
            self._late_until = now + LAG_LIFETIME

    def is_slow(self, target: str, now: float) -> bool:
        """Whether the newest attempts at a target took longer than the delay."""
        slow_until = self._slow_until.get(target)
        if slow_until is None:
            return False
        if slow_until <= now:
            del self._slow_until[target]
            return False
        return True

    def forget(self, target: str) -> None:
        """Drop the state of a target that was removed."""
        self._slow_until.pop(target, None)

    def find_denial(
        self, conditions: HedgeConditions, now: float
    ) -> HedgeDenial | None:
        """Return why no second attempt may start; None if it may."""
        if not conditions.has_attempts_left:
            return HedgeDenial.ATTEMPTS
        if conditions.is_quarantined:
            return HedgeDenial.QUARANTINED
        if now < self._late_until or conditions.queue_seconds > MAX_QUEUE_SECONDS:
            return HedgeDenial.OWN_DELAY
        if conditions.running > MAX_BUSY_SHARE * conditions.slots:
            return HedgeDenial.BUSY
        if not self._is_within_share(conditions.service, now):
            return HedgeDenial.SHARE
        return None

    def claim(self, service: str, now: float) -> HedgeDenial | None:
        """Count a second attempt if the bounds allow it; else return the bound."""
        if not self._is_within_share(service, now):
            return HedgeDenial.SHARE
        if not self._retries.try_spend(service, now):
            return HedgeDenial.RETRY_BUDGET
        self._started[service].add(now)
        return None

    def _is_within_share(self, service: str, now: float) -> bool:
        allowed = self._max_share * self._requests[service].count(now)
        return self._started[service].count(now) + 1 <= allowed

    def _record_seconds(self, request_class: RequestClass, seconds: float) -> None:
        for each in request_class.list_fallbacks():
            histogram = self._get_histogram(each)
            if histogram is not None:
                histogram.record(seconds)

    def _get_histogram(self, request_class: RequestClass) -> AnswerHistogram | None:
        """Return the histogram of a class; None if there are too many classes."""
        histogram = self._histograms.get(request_class)
        if histogram is None and len(self._histograms) < MAX_CLASSES:
            histogram = self._histograms[request_class] = AnswerHistogram()
        return histogram

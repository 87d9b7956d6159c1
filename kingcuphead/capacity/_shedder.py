"""Decides when this daemon sheds load: a state machine without I/O."""

import dataclasses
import enum
import statistics
from collections.abc import Iterator
from typing import TypeAlias

from kingcuphead.capacity._messages import Readiness
from kingcuphead.capacity._unready_time import UnreadyTime
from kingcuphead.capacity._zone_loads import ZoneLoads

#: Load above which a daemon sheds.
MAX_LOAD = 0.7
#: The same within `REPEAT_PERIOD` of the last time. The callers that it sheds may
#: overload another daemon, which sheds them to this one; with one threshold they would
#: move to and fro.
REPEATED_MAX_LOAD = 0.85
#: Seconds after shedding in which `REPEATED_MAX_LOAD` applies.
REPEAT_PERIOD = 60.0
#: Load at which shedding ends.
TARGET_LOAD = 0.5
#: Multiple of the zone's median load above which a daemon sheds.
MEDIAN_RATIO = 1.5
#: Other daemons of the zone with known load without which a daemon doesn't shed.
MIN_OTHERS = 5
#: Daemons of a zone for each one that may be unready.
DAEMONS_PER_UNREADY = 6
#: Seconds of overload after which a daemon tells the others that it will shed.
CANDIDATE_DELAY = 0.5
#: Seconds of overload after which a daemon sheds.
OVERLOAD_PERIOD = 1.0
#: Longest time of shedding in seconds.
MAX_DURATION = 4.0
#: Seconds after shedding until a daemon may shed again.
COOLDOWN = 8.0
#: Failed readiness checks after which a daemon gets no new connections.
FAILED_CHECKS = 2
#: Shortest time in seconds between two checks that count separately.
MIN_CHECK_INTERVAL = 0.5
#: Seconds for the last failed check to take effect before connections are closed.
CHECK_DELAY = 0.2


class EndReason(enum.StrEnum):
    """Why shedding ended."""

    #: The chosen connections are closed.
    CLOSED = "connections closed"
    #: The load is low enough.
    RELIEVED = "load fell"
    #: `MAX_DURATION` has passed.
    EXPIRED = "time is up"
    #: The daemon was unready for too large a part of the time.
    UNREADY_TOO_LONG = "unready for too long"
    #: Other daemons with more load shed.
    WITHDRAWN = "others shed"
    #: The daemon is unready for another reason.
    NOT_SERVING = "not serving"


@dataclasses.dataclass(frozen=True, slots=True)
class Observation:
    """What the state machine is told at each step."""

    #: Time in seconds.
    now: float
    #: Load of this daemon as a part of its capacity.
    load: float
    #: Whether this daemon is ready, shedding apart.
    is_serving: bool
    #: Number of chosen connections that are still open.
    open_connections: int


@dataclasses.dataclass(frozen=True, slots=True)
class Overload:
    """Figures by which a daemon is overloaded."""

    #: Load of this daemon.
    load: float
    #: Median load of the zone.
    median: float
    #: Load above which this daemon sheds.
    threshold: float
    #: Number of other daemons whose load is known.
    others: int


@dataclasses.dataclass(frozen=True, slots=True)
class CandidateAnnounced:
    """The other daemons should know that this one is about to shed load."""


@dataclasses.dataclass(frozen=True, slots=True)
class SheddingBegan:
    """The daemon is unready from now on."""

    #: Figures that decided it.
    overload: Overload
    #: Number of other daemons of the zone that are unready.
    unready: int
    #: Number of daemons of the zone that may be unready at once.
    allowed: int


@dataclasses.dataclass(frozen=True, slots=True)
class CloseRequested:
    """Connections should be closed after their answers."""

    #: Part of the callers' traffic that the connections should carry.
    share: float


@dataclasses.dataclass(frozen=True, slots=True)
class SheddingEnded:
    """The daemon is ready again."""

    #: Reason of the end.
    reason: EndReason
    #: Load of this daemon.
    load: float
    #: Seconds since the begin.
    seconds: float


Effect: TypeAlias = CandidateAnnounced | SheddingBegan | CloseRequested | SheddingEnded


class LoadShedder:
    """Makes this daemon unready while its load should move to others.

    Parameters
    ----------
    sender
        Identity of this incarnation of the daemon; breaks ties of equal loads.
    zone
        Loads of the other daemons of the zone.
    now
        Time of the start in seconds.
    """

    def __init__(self, sender: str, zone: ZoneLoads, now: float) -> None:
        self._sender = sender
        self._zone = zone
        self._overloaded_since: float | None = None
        self._decisive_load = 0.0
        self._began_at = now
        self._ended_at: float | None = None
        self._failed_checks = 0
        self._failed_at = now
        self._is_seen_unready = False
        self._is_closing = False
        #: Whether this daemon takes new connections.
        self.readiness = Readiness.READY
        #: Bound on unready time.
        self.unready_time = UnreadyTime(now)

    def get_reported_load(self, load: float) -> float:
        """Return the load to report to other daemons."""
        return load if self.readiness is Readiness.READY else self._decisive_load

    def record_check(self, is_ready: bool, now: float) -> None:
        """Record an answer to a readiness check.

        The platform takes this daemon for unready from the first failed check until the
        next successful one.
        """
        if is_ready:
            self._is_seen_unready = False
        elif self.readiness is Readiness.UNREADY:
            self._is_seen_unready = True
            if not self._failed_checks or now - self._failed_at >= MIN_CHECK_INTERVAL:
                self._failed_checks += 1
                self._failed_at = now

    def step(self, observation: Observation) -> Iterator[Effect]:
        """Apply an observation and yield what follows from it."""
        self.unready_time.advance(observation.now, self._is_seen_unready)
        if self.readiness is Readiness.UNREADY:
            yield from self._continue(observation)
        else:
            yield from self._consider(observation)

    def _consider(self, observation: Observation) -> Iterator[Effect]:
        overload = self._find_overload(observation)
        if overload is None or not self._may_shed(observation):
            self._overloaded_since = None
            self.readiness = Readiness.READY
            return
        if self._overloaded_since is None:
            self._overloaded_since = observation.now
        seconds = observation.now - self._overloaded_since
        if seconds >= CANDIDATE_DELAY and self.readiness is Readiness.READY:
            self.readiness = Readiness.CANDIDATE
            self._decisive_load = observation.load
            yield CandidateAnnounced()
        if seconds >= OVERLOAD_PERIOD:
            yield from self._begin_if_allowed(overload, observation.now)

    def _may_shed(self, observation: Observation) -> bool:
        is_cooling_down = (
            self._ended_at is not None and observation.now - self._ended_at < COOLDOWN
        )
        return (
            observation.is_serving
            and not is_cooling_down
            and self.unready_time.is_sufficient
        )

    def _find_overload(self, observation: Observation) -> Overload | None:
        load, now = observation.load, observation.now
        is_repeated = (
            self._ended_at is not None and now - self._ended_at < REPEAT_PERIOD
        )
        threshold = REPEATED_MAX_LOAD if is_repeated else MAX_LOAD
        if load <= threshold:
            return None
        others = [report.load for report in self._zone.list_fresh(now)]
        median = statistics.median([*others, load])
        threshold = max(threshold, MEDIAN_RATIO * median)
        if len(others) < MIN_OTHERS or load <= threshold:
            return None
        return Overload(load, median, threshold, len(others))

    def _begin_if_allowed(self, overload: Overload, now: float) -> Iterator[Effect]:
        unready = sum(1 for _ in self._zone.list_unready())
        ahead = sum(
            (report.load, report.sender) > self._rank
            for report in self._zone.list_candidates(now)
        )
        allowed = self._count_allowed()
        if unready + ahead >= allowed:
            return
        self.readiness = Readiness.UNREADY
        self._began_at = now
        self._failed_checks = 0
        self._is_closing = False
        yield SheddingBegan(overload, unready, allowed)

    def _continue(self, observation: Observation) -> Iterator[Effect]:
        reason = self._find_end(observation)
        if reason is not None:
            self.readiness = Readiness.READY
            self._overloaded_since = None
            self._ended_at = observation.now
            seconds = observation.now - self._began_at
            yield SheddingEnded(reason, observation.load, seconds)
        elif (
            not self._is_closing
            and self._failed_checks >= FAILED_CHECKS
            and observation.now - self._failed_at >= CHECK_DELAY
        ):
            self._is_closing = True
            yield CloseRequested(1 - TARGET_LOAD / observation.load)

    def _find_end(self, observation: Observation) -> EndReason | None:
        if not observation.is_serving:
            return EndReason.NOT_SERVING
        if observation.load <= TARGET_LOAD:
            return EndReason.RELIEVED
        if self._is_closing and not observation.open_connections:
            return EndReason.CLOSED
        if observation.now - self._began_at >= MAX_DURATION:
            return EndReason.EXPIRED
        if self.unready_time.is_used_up:
            return EndReason.UNREADY_TOO_LONG
        # Until the last failed check a daemon can withdraw with no effect on callers.
        if self._failed_checks < FAILED_CHECKS and self._is_outranked():
            return EndReason.WITHDRAWN
        return None

    def _is_outranked(self) -> bool:
        """Whether as many others as may be unready are so with more load.

        It happens if the reports by which they announced it were late.
        """
        ahead = sum(
            (report.load, report.sender) > self._rank
            for report in self._zone.list_unready()
        )
        return ahead >= self._count_allowed()

    def _count_allowed(self) -> int:
        return self._zone.member_count // DAEMONS_PER_UNREADY

    @property
    def _rank(self) -> tuple[float, str]:
        return self._decisive_load, self._sender

"""Decides when this daemon sheds load: a state machine without I/O."""

import enum
from collections.abc import Iterator

from kingcuphead.capacity._decisions import (
    CloseRequested,
    DeflectionBegan,
    Effect,
    EndReason,
    Observation,
    Overload,
    SheddingBegan,
    UnreadyEnded,
)
from kingcuphead.capacity._messages import Readiness
from kingcuphead.capacity._readiness_checks import ReadinessChecks
from kingcuphead.capacity._unready_budget import UnreadyBudget
from kingcuphead.capacity._zone_loads import Rank, ZoneLoads

#: Load above which a daemon sheds.
MAX_LOAD = 0.7
#: The same within `REPEAT_PERIOD` of the last time, for hysteresis.
REPEATED_MAX_LOAD = 0.85
#: Seconds after shedding in which `REPEATED_MAX_LOAD` applies.
REPEAT_PERIOD = 60.0
#: Load at which shedding ends.
TARGET_LOAD = 0.5
#: Seconds of overload after which a daemon sheds.
OVERLOAD_PERIOD = 1.0
#: Last part of this period, in which a daemon is a candidate: time for the others to
#: hear of it, so that they don't all begin at once.
ANNOUNCEMENT_PERIOD = 0.5
#: Seconds after becoming a candidate until a daemon may become one again.
CANDIDATE_INTERVAL = 2.0
#: Longest time in seconds for which a daemon is unready before it closes connections.
MAX_DURATION = 4.0
#: Longest time in seconds for which a daemon closes connections. Their callers would
#: come back to it if it were ready before they have reconnected.
CLOSE_PERIOD = 2.0
#: Seconds after shedding until a daemon may shed again.
COOLDOWN = 8.0
#: Seconds after the begin of deflection until readiness checks fail.
DEFLECTION_DELAY = 0.3
#: Seconds after deflection until a daemon may deflect again.
DEFLECTION_COOLDOWN = 2.0
#: Seconds after a daemon became unready in which those that deflect fail two checks,
#: too: a report and `DEFLECTION_DELAY` later than the first moment at which it can.
DEFLECTION_CHECK_PERIOD = 2.5


class _State(enum.Enum):
    """What this daemon does about its load."""

    #: Ready, and not going to shed.
    READY = enum.auto()
    #: Ready, and going to shed unless too many others with more load do.
    CANDIDATE = enum.auto()
    #: Unready, and closing connections of callers.
    SHEDDING = enum.auto()
    #: Unready while another daemon sheds.
    DEFLECTING = enum.auto()


#: What other daemons are told in each state. Deflection looks like any other reason for
#: which a daemon accepts no connections.
_READINESS = {
    _State.READY: Readiness.READY,
    _State.CANDIDATE: Readiness.CANDIDATE,
    _State.SHEDDING: Readiness.SHEDDING,
    _State.DEFLECTING: Readiness.UNREADY,
}


class LoadShedder:
    """Makes this daemon unready while load should move to others.

    A daemon sheds: it closes connections of callers, who connect to others. Daemons
    that have much load themselves, though less, deflect meanwhile: they are unready and
    close nothing. The balancer hashes callers, so without deflection two daemons could
    pass the same callers back and forth.

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
        self._checks = ReadinessChecks()
        self._state = _State.READY
        #: Load by which the others rank this daemon unless it is ready.
        self._decisive_load = 0.0
        #: Begin of the overload that goes on; None without one.
        self._overloaded_since: float | None = None
        #: When this daemon became a candidate for the last time.
        self._candidate_at = now
        #: When this daemon became unready for the last time.
        self._began_at = now
        #: Daemons that were unready at that time.
        self._earlier: frozenset[str] = frozenset()
        #: Since when it closes connections; None before it does.
        self._closing_since: float | None = None
        #: End of the last shedding, for hysteresis; None before it.
        self._shed_at: float | None = None
        #: End of the last deflection; None before it.
        self._deflected_at: float | None = None
        #: Bound on unready time.
        self.unready_budget = UnreadyBudget(now)

    @property
    def readiness(self) -> Readiness:
        """Whether this daemon accepts new connections, as far as load decides it."""
        return _READINESS[self._state]

    def fails_checks(self, now: float) -> bool:
        """Whether this daemon answers that it isn't ready.

        A daemon that deflects waits before it does, since others may begin to deflect
        at the same moment; those with less load are ready again by then.
        """
        match self._state:
            case _State.SHEDDING:
                return True
            case _State.DEFLECTING:
                return now - self._began_at >= DEFLECTION_DELAY
            case _:
                return False

    def get_reported_load(self, load: float) -> float:
        """Return the load to report to other daemons."""
        return load if self._state is _State.READY else self._decisive_load

    def record_check(self, is_ready: bool, now: float) -> None:
        """Record an answer to a readiness check."""
        if is_ready:
            self._checks.record_success()
        elif self._state in (_State.SHEDDING, _State.DEFLECTING):
            self._checks.record_failure(now)

    def step(self, observation: Observation) -> Iterator[Effect]:
        """Apply an observation and yield what follows from it."""
        self.unready_budget.advance(observation.now, self._checks.is_seen_unready)
        match self._state:
            case _State.READY | _State.CANDIDATE:
                yield from self._consider_shedding(observation)
                yield from self._consider_deflection(observation)
            case _State.SHEDDING:
                yield from self._shed(observation)
            case _State.DEFLECTING:
                yield from self._deflect(observation)

    def _consider_shedding(self, observation: Observation) -> Iterator[Effect]:
        load, now = observation.load, observation.now
        is_repeated = _is_within(REPEAT_PERIOD, self._shed_at, now)
        limit = REPEATED_MAX_LOAD if is_repeated else MAX_LOAD
        overload = self._zone.find_overload(load, limit, now)
        if (
            overload is None
            or not self._may_be_unready(observation)
            or _is_within(COOLDOWN, self._shed_at, now)
        ):
            self._overloaded_since = None
            self._state = _State.READY
            return
        if self._overloaded_since is None:
            self._overloaded_since = now
        if self._state is _State.CANDIDATE:
            if now - self._candidate_at >= ANNOUNCEMENT_PERIOD:
                yield from self._begin_shedding(overload, now)
        elif (
            now - self._overloaded_since >= OVERLOAD_PERIOD - ANNOUNCEMENT_PERIOD
            and now - self._candidate_at >= CANDIDATE_INTERVAL
        ):
            self._state = _State.CANDIDATE
            self._candidate_at = now
            self._decisive_load = load

    def _begin_shedding(self, overload: Overload, now: float) -> Iterator[Effect]:
        unready = len(self._zone.list_unready())
        ahead = self._zone.count_candidates_above(self._rank, now)
        allowed = self._zone.count_allowed()
        if unready + ahead < allowed:
            self._begin(_State.SHEDDING, now)
            yield SheddingBegan(overload, unready, allowed)

    def _consider_deflection(self, observation: Observation) -> Iterator[Effect]:
        load, now = observation.load, observation.now
        if (
            self._state is not _State.READY
            or self._overloaded_since is not None
            or not self._zone.is_any_shedding()
            or not self._may_be_unready(observation)
            or _is_within(DEFLECTION_COOLDOWN, self._deflected_at, now)
        ):
            return
        overload = self._zone.find_overload(load, TARGET_LOAD, now)
        if overload is None:
            return
        unready = len(self._zone.list_unready())
        ahead = self._zone.count_before_deflection((load, self._sender), now)
        allowed = self._zone.count_allowed()
        if unready + ahead < allowed:
            self._decisive_load = load
            self._begin(_State.DEFLECTING, now)
            yield DeflectionBegan(overload, unready, allowed)

    def _may_be_unready(self, observation: Observation) -> bool:
        return observation.is_serving and self.unready_budget.is_sufficient

    def _begin(self, state: _State, now: float) -> None:
        self._state = state
        self._began_at = now
        self._earlier = self._zone.list_unready()
        self._closing_since = None
        self._checks.begin()

    def _shed(self, observation: Observation) -> Iterator[Effect]:
        now = observation.now
        reason = self._find_end_reason(observation)
        is_closing = self._closing_since is not None
        if reason is None and is_closing and not observation.open_connections:
            reason = EndReason.CLOSED
        if reason is not None:
            self._shed_at = now
            yield self._end(reason, now)
        elif not is_closing and self._may_close(now):
            self._closing_since = now
            yield CloseRequested(1 - TARGET_LOAD / observation.load)

    def _deflect(self, observation: Observation) -> Iterator[Effect]:
        reason = self._find_end_reason(observation)
        if reason is None and not self._zone.is_any_shedding():
            reason = EndReason.OTHERS_ENDED
        if reason is not None:
            self._deflected_at = observation.now
            yield self._end(reason, observation.now)

    def _end(self, reason: EndReason, now: float) -> UnreadyEnded:
        was_shedding = self._state is _State.SHEDDING
        self._state = _State.READY
        self._overloaded_since = None
        return UnreadyEnded(reason, now - self._began_at, was_shedding)

    def _may_close(self, now: float) -> bool:
        """Whether the balancer sends callers to other daemons than the unready ones."""
        if not self._checks.is_in_effect(now):
            return False
        has_deflecting = bool(self._zone.list_unready())
        return not has_deflecting or now - self._began_at >= DEFLECTION_CHECK_PERIOD

    def _find_end_reason(self, observation: Observation) -> EndReason | None:
        if not observation.is_serving:
            return EndReason.NOT_SERVING
        if self._closing_since is None and observation.load <= TARGET_LOAD:
            return EndReason.RELIEVED
        if self._is_expired(observation.now):
            return EndReason.EXPIRED
        if self.unready_budget.is_used_up:
            return EndReason.UNREADY_TOO_LONG
        # Reports of others may be late. Until the last failed check there is time to
        # become ready again with no effect on callers.
        if not self._checks.is_unlisted and self._is_outranked():
            return EndReason.OUTRANKED
        return None

    def _is_expired(self, now: float) -> bool:
        if self._closing_since is not None:
            return now - self._closing_since >= CLOSE_PERIOD
        return now - self._began_at >= MAX_DURATION

    def _is_outranked(self) -> bool:
        if self._state is _State.SHEDDING:
            ahead = self._zone.count_shedding_above(self._rank)
        else:
            ahead = self._zone.count_unready_before(self._rank, self._earlier)
        return ahead >= self._zone.count_allowed()

    @property
    def _rank(self) -> Rank:
        return self._decisive_load, self._sender


def _is_within(period: float, since: float | None, now: float) -> bool:
    return since is not None and now - since < period

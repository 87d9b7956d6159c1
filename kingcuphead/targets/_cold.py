"""Tracks which targets are cold: slow after a start or a period without requests."""

import dataclasses
import time
from collections.abc import Callable, Mapping

from loguru import logger

from kingcuphead.frozen import frozen
from kingcuphead.targets._messages import Target

#: Seconds by which the clock of a target may be ahead of that of this daemon. Entries
#: that state how long the target stays cold need no such allowance.
CLOCK_TOLERANCE = 3.0
#: Seconds after which the targets of a readmitted zone count as warm, if their service
#: has a limit for cold targets, but no period.
DEFAULT_COLD_PERIOD = 5.0


@frozen
class ColdStart:
    """How the targets of a service start."""

    #: Seconds after its start for which a target is cold.
    period: float
    #: Requests per second that a cold target takes; None for no limit.
    requests_per_second: float | None


@frozen
class ColdLimit:
    """What a target takes from the whole fleet because it is, or may be, cold."""

    #: Requests per second.
    requests_per_second: float
    #: Whether the target is known to be cold, rather than of unknown state.
    is_certain: bool


#: Start of the targets of a service that states none.
NO_COLD_START = ColdStart(0.0, None)


@dataclasses.dataclass(slots=True)
class _TargetState:
    """Until when one incarnation of a target may be cold."""

    #: The target, as described by its last entry.
    target: Target
    #: Latest possible start on the clock of this daemon.
    started_at: float
    #: End of the cold period that the last entry states.
    stated_until: float = float("-inf")
    #: End of the cold period that the last answer states.
    answered_until: float = float("-inf")
    #: When the zone was readmitted, unless a later entry states whether it is cold.
    readmitted_at: float = float("-inf")


class ColdTargets:
    """Keeps track of until when each target is cold; performs no I/O.

    Parameters
    ----------
    read_unix_time
        Returns the Unix time in seconds.
    """

    def __init__(self, read_unix_time: Callable[[], float] = time.time) -> None:
        self._read_unix_time = read_unix_time
        self._starts: Mapping[str, ColdStart] = {}
        self._states: dict[str, _TargetState] = {}
        #: Names of the targets that were cold at the last update.
        self._cold: set[str] = set()

    @property
    def cold_count(self) -> int:
        """Number of targets that are known to be cold."""
        return len(self._cold)

    @property
    def has_limits(self) -> bool:
        """Whether cold targets of any service have a limit."""
        return any(
            start.requests_per_second is not None for start in self._starts.values()
        )

    def apply_starts(self, starts: Mapping[str, ColdStart], now: float) -> None:
        """Replace the cold starts of all services, by service."""
        self._starts = starts
        for state in self._states.values():
            self._update(state, now)

    def record_entry(self, target: Target, now: float) -> None:
        """Apply the entry of a target; the same entry read again changes nothing."""
        state = self._states.get(target.name)
        if state is None or state.target.incarnation != target.incarnation:
            state = _TargetState(target, self._bound_start(target, now))
            self._apply_statement(state, target, now)
            self._states[target.name] = state
        elif _is_newer(target, state.target):
            self._apply_statement(state, target, now)
            state.target = target
        self._update(state, now)

    def record_answer(self, target: Target, seconds: float, now: float) -> None:
        """Apply the cold period that a target's answer states; the last one counts."""
        state = self._states.get(target.name)
        if state is not None and state.target.incarnation == target.incarnation:
            state.answered_until = now + seconds
            self._update(state, now)

    def record_readmission(self, target: Target, now: float) -> None:
        """Count a target as cold until its next entry states whether it is."""
        state = self._states.get(target.name)
        if state is not None:
            state.readmitted_at = now
            self._update(state, now)

    def is_cold(self, target: Target, now: float) -> bool:
        """Whether a target is known to be cold."""
        if target.name not in self._cold:
            return False
        state = self._states[target.name]
        return (
            state.target.started_at_ms == target.started_at_ms
            and self._get_end(state) > now
        )

    def get_limit(self, service: str) -> float | None:
        """Return the requests per second of a cold target; None for no limit."""
        return self._starts.get(service, NO_COLD_START).requests_per_second

    def forget(self, target: Target) -> None:
        """Drop the state of a target that was removed."""
        self._states.pop(target.name, None)
        self._cold.discard(target.name)

    def tick(self, now: float) -> None:
        """Update the cold targets, and log those that have become warm."""
        for name in tuple(self._cold):
            self._update(self._states[name], now)

    def _bound_start(self, target: Target, now: float) -> float:
        """Return the latest start that the Unix times of two clocks allow."""
        if not target.started_at_ms:
            return float("-inf")
        age = self._read_unix_time() - target.started_at_ms / 1000
        tolerance = CLOCK_TOLERANCE if target.cold_left is None else 0.0
        return now - max(0.0, age - tolerance)

    def _apply_statement(self, state: _TargetState, target: Target, now: float) -> None:
        if target.cold_left is not None:
            state.stated_until = now + target.cold_left
            state.readmitted_at = float("-inf")

    def _get_end(self, state: _TargetState) -> float:
        start = self._starts.get(state.target.service, NO_COLD_START)
        end = max(
            state.stated_until,
            state.started_at + start.period,
            state.readmitted_at + _get_readmission_period(start),
        )
        if start.requests_per_second is None:
            # Without a limit for cold targets, answers don't count.
            return end
        return max(end, state.answered_until)

    def _update(self, state: _TargetState, now: float) -> None:
        name = state.target.name
        remaining = self._get_end(state) - now
        if (remaining > 0) == (name in self._cold):
            return
        bound = logger.bind(target=name, service=state.target.service)
        if remaining > 0:
            self._cold.add(name)
            bound.bind(seconds=round(remaining, 3)).info("target is cold")
        else:
            self._cold.discard(name)
            bound.info("target is warm")


def _get_readmission_period(start: ColdStart) -> float:
    if start.period or start.requests_per_second is None:
        return start.period
    return DEFAULT_COLD_PERIOD


def _is_newer(target: Target, previous: Target) -> bool:
    """Whether an entry was written after another one of the same incarnation."""
    if target.sequence == previous.sequence:
        return target.cold_left != previous.cold_left
    return target.sequence > previous.sequence

"""Choice of a target for a request, within each target's limit."""

import dataclasses
import enum
import math
import random
from collections.abc import Iterator
from typing import Any

from kingcuphead.placement._affinity import compute_score
from kingcuphead.placement._invariants import ensure
from kingcuphead.placement._limit import AdaptiveLimit
from kingcuphead.placement._liveness import Liveness
from kingcuphead.placement._load import TargetLoad
from kingcuphead.placement._messages import (
    PlacementEffect,
    PlacementQuery,
    ProbeRequested,
    TargetStateChanged,
)
from kingcuphead.placement._settings import PlacementSettings
from kingcuphead.placement._states import AnswerResult, SignSource, TargetState
from kingcuphead.records import Configuration, Target


class Prospect(enum.Enum):
    """Whether a request can expect a target."""

    #: At least one target takes new work.
    ACCEPTING = enum.auto()
    #: A target is being checked, which ends within seconds.
    CHECKING = enum.auto()
    #: Every target is leaving or silent, or there is none.
    NONE = enum.auto()


@dataclasses.dataclass(frozen=True, slots=True)
class Attempt:
    """One request that runs on a target."""

    #: Target that runs it.
    target: str
    #: When it was placed, in seconds.
    placed_at: float
    #: Its size in tokens.
    size: int
    #: Whether an earlier run may have crashed a target.
    is_suspect: bool = False
    #: When its first token came; None before.
    started_at: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class TargetView:
    """Everything that placement knows of one target."""

    #: Its record; the last one where the configuration has dropped it.
    target: Target
    #: Whether it may be given new work.
    liveness: Liveness
    #: How much it runs.
    load: TargetLoad
    #: How much this daemon may run on it.
    limit: AdaptiveLimit
    #: Requests in flight that may have crashed a target before.
    suspects: int = 0

    def with_changes(self, **changes: Any) -> "TargetView":
        """Return a copy with the named fields replaced."""
        return dataclasses.replace(self, **changes)

    @property
    def slots(self) -> int:
        """Most requests of this daemon that may run on the target."""
        return max(1, math.ceil(self.limit.value))

    def serves(self, service: str, model: str) -> bool:
        """Tell whether the target does this work."""
        is_model_served = not model or model in self.target.models
        return self.target.service == service and is_model_served


class Placement:
    """The targets, their load, limits and states, as one daemon sees them.

    Parameters
    ----------
    settings : PlacementSettings
        Settings of placement.
    random_source : random.Random
        Breaks ties.
    """

    def __init__(
        self, settings: PlacementSettings, random_source: random.Random
    ) -> None:
        self._settings = settings
        self._random = random_source
        self._views: dict[str, TargetView] = {}
        self._attempts: dict[str, Attempt] = {}
        self._peers = 1

    @property
    def views(self) -> tuple[TargetView, ...]:
        """Every known target."""
        return tuple(self._views.values())

    def get_attempt(self, request_id: str) -> Attempt | None:
        """Return the attempt of a request in flight."""
        return self._attempts.get(request_id)

    def apply(
        self, configuration: Configuration, now: float
    ) -> tuple[PlacementEffect, ...]:
        """Put the targets of a configuration in force."""
        for target in configuration.targets.values():
            self._put_target(target)
        names = tuple(self._views)
        return tuple(
            effect
            for name in names
            for effect in self._apply_draining(name, configuration, now)
        )

    def count_peers(self, daemons: int) -> None:
        """Set the number of daemons that share the targets, this one included."""
        self._peers = max(1, daemons)
        for name, view in self._views.items():
            limit = view.limit.with_bounds(*self._compute_bounds(view.target))
            self._views[name] = view.with_changes(limit=limit)

    def count_slots(self, service: str, model: str) -> int:
        """Return the slots of this daemon over the accepting targets."""
        total = sum(
            view.limit.value
            for view in self._views.values()
            if view.serves(service, model) and view.liveness.is_accepting
        )
        return max(1, math.floor(total + 1e-9)) if total else 0

    def count_in_flight(self, service: str, model: str) -> int:
        """Return own requests in flight on the targets that do this work."""
        return sum(
            view.load.own
            for view in self._views.values()
            if view.serves(service, model)
        )

    def assess(self, query: PlacementQuery) -> Prospect:
        """Tell whether a target may take the request, now or soon."""
        states = {view.liveness.state for view in self._filter_eligible(query)}
        if TargetState.LIVE in states:
            return Prospect.ACCEPTING
        if TargetState.CHECKING in states:
            return Prospect.CHECKING
        return Prospect.NONE

    def choose(self, query: PlacementQuery, now: float) -> Target | None:
        """Return the target that suits the request best; None where none is free."""
        eligible = [
            view for view in self._filter_eligible(query) if view.liveness.is_accepting
        ]
        free = [view for view in eligible if self._has_slot(view, query, now)]
        if not free:
            return None
        if query.affinity_key:
            near = self._choose_by_affinity(query, eligible, free, now)
            if near is not None:
                return near.target
        return min(free, key=lambda view: self._rate(view, now)).target

    def begin(
        self, request_id: str, target: str, size: int, is_suspect: bool, now: float
    ) -> None:
        """Take a slot of `target` for a request."""
        view = self._views[target]
        ensure(
            request_id not in self._attempts,
            "a request is placed at most once at a time",
            request_id=request_id,
            target=target,
        )
        ensure(
            view.liveness.is_accepting,
            "a target that takes no new work is given none",
            target=target,
            state=view.liveness.state,
        )
        ensure(
            view.load.own < view.slots,
            "requests in flight stay within the target's limit",
            target=target,
            in_flight=view.load.own,
            slots=view.slots,
        )
        self._attempts[request_id] = Attempt(target, now, size, is_suspect)
        self._views[target] = view.with_changes(
            load=view.load.with_own(view.load.own + 1, now),
            suspects=view.suspects + is_suspect,
        )

    def start(self, request_id: str, now: float) -> None:
        """Note the first token of a request."""
        attempt = self._attempts.get(request_id)
        if attempt is None or attempt.started_at is not None:
            return
        self._attempts[request_id] = dataclasses.replace(attempt, started_at=now)
        view = self._views[attempt.target]
        limit = view.limit.with_first_token(
            now - attempt.placed_at, attempt.size, view.load.own, now, self._settings
        )
        liveness = view.liveness.with_changes(heard_at=now)
        self._views[attempt.target] = view.with_changes(limit=limit, liveness=liveness)

    def finish(
        self, request_id: str, target: str, result: AnswerResult, now: float
    ) -> tuple[PlacementEffect, ...]:
        """Free the slot of a request; a request that is not in flight is ignored."""
        attempt = self._attempts.get(request_id)
        if attempt is None:
            return ()
        ensure(
            attempt.target == target,
            "an answer ends on the target that runs the request",
            request_id=request_id,
            target=target,
            placed_on=attempt.target,
        )
        del self._attempts[request_id]
        view = self._views[target]
        ensure(
            view.load.own > 0 and view.suspects >= attempt.is_suspect,
            "a freed slot was taken",
            target=target,
        )
        limit = view.limit
        if result is AnswerResult.REFUSED:
            limit = limit.with_congestion(now, self._settings)
        self._views[target] = view.with_changes(
            load=view.load.with_own(view.load.own - 1, now),
            limit=limit,
            suspects=view.suspects - attempt.is_suspect,
        )
        liveness = view.liveness.with_answer(result, now, self._settings)
        return tuple(self._set_liveness(target, liveness, SignSource.ANSWER))

    def report_load(
        self, target: str, running: int, waiting: int, observed_at: float, now: float
    ) -> None:
        """Take in a load report of a target."""
        view = self._views.get(target)
        if view is None or observed_at <= view.load.reported_at:
            return
        load = view.load.with_report(running, waiting, observed_at)
        limit = view.limit
        if waiting > 0 and running + waiting > view.target.concurrency:
            limit = limit.with_congestion(now, self._settings)
        self._views[target] = view.with_changes(load=load, limit=limit)

    def report_state(
        self, target: str, state: TargetState, source: SignSource, now: float
    ) -> tuple[PlacementEffect, ...]:
        """Take in a statement about a target's state."""
        view = self._views.get(target)
        if view is None:
            return ()
        liveness = view.liveness.with_report(state, source, now)
        return tuple(self._set_liveness(target, liveness, source))

    def answer_probe(
        self, target: str, is_healthy: bool, now: float
    ) -> tuple[PlacementEffect, ...]:
        """Take in the answer to a probe."""
        view = self._views.get(target)
        if view is None:
            return ()
        liveness = view.liveness.with_probe(is_healthy, now, self._settings)
        return tuple(self._set_liveness(target, liveness, SignSource.PROBE))

    def tick(self, now: float) -> tuple[PlacementEffect, ...]:
        """Time probes out and ask for those that are due."""
        names = tuple(self._views)
        return tuple(
            effect for name in names for effect in self._watch_target(name, now)
        )

    def _watch_target(self, name: str, now: float) -> Iterator[PlacementEffect]:
        liveness = self._views[name].liveness.with_timeout(now, self._settings)
        yield from self._set_liveness(name, liveness, SignSource.PROBE)
        view = self._views[name]
        interval = self._settings.quiet_interval
        if not view.load.own:
            # The fleet together probes an idle target about once in each interval.
            interval *= self._peers
        if not view.liveness.is_probe_due(now, interval, self._settings):
            return
        probed = view.liveness.with_probe_sent(now)
        self._views[name] = view.with_changes(liveness=probed)
        yield ProbeRequested(name, view.target.address)

    def _put_target(self, target: Target) -> None:
        floor, ceiling = self._compute_bounds(target)
        view = self._views.get(target.name)
        if view is None:
            limit = AdaptiveLimit(ceiling / self._peers, floor, ceiling)
            view = TargetView(target, Liveness(), TargetLoad(), limit)
        limit = view.limit.with_bounds(floor, ceiling)
        self._views[target.name] = view.with_changes(target=target, limit=limit)

    def _compute_bounds(self, target: Target) -> tuple[float, float]:
        ceiling = float(max(1, target.concurrency))
        return ceiling / (2 * self._peers), ceiling

    def _apply_draining(
        self, name: str, configuration: Configuration, now: float
    ) -> Iterator[PlacementEffect]:
        view = self._views[name]
        target = configuration.targets.get(name)
        if target is None and not view.load.own:
            del self._views[name]
            return
        is_draining = target is None or target.draining
        state = TargetState.LEAVING if is_draining else TargetState.LIVE
        yield from self.report_state(name, state, SignSource.CONFIGURATION, now)

    def _set_liveness(
        self, name: str, liveness: Liveness, source: SignSource
    ) -> Iterator[PlacementEffect]:
        view = self._views[name]
        before = view.liveness.state
        limit = view.limit
        if before is TargetState.SILENT and liveness.is_accepting:
            limit = limit.with_restart()
        self._views[name] = view.with_changes(liveness=liveness, limit=limit)
        if liveness.state is not before:
            yield TargetStateChanged(name, liveness.state, source)

    def _filter_eligible(self, query: PlacementQuery) -> Iterator[TargetView]:
        return (
            view
            for view in self._views.values()
            if view.serves(query.service, query.model)
            and view.target.name not in query.excluded
        )

    def _has_slot(self, view: TargetView, query: PlacementQuery, now: float) -> bool:
        if view.load.own >= view.slots:
            return False
        if query.is_suspect and view.suspects:
            return False
        fair_share = view.limit.ceiling / self._peers
        others = view.load.estimate_others(now, self._settings.report_decay)
        return view.load.own < fair_share or (
            view.load.own + others < view.limit.ceiling
        )

    def _compute_load(self, view: TargetView, now: float) -> float:
        others = view.load.estimate_others(now, self._settings.report_decay)
        return (view.load.own + others) / view.limit.ceiling

    def _rate(self, view: TargetView, now: float) -> tuple[float, bool, float]:
        is_far = view.target.zone != self._settings.zone
        return self._compute_load(view, now), is_far, self._random.random()

    def _choose_by_affinity(
        self,
        query: PlacementQuery,
        eligible: list[TargetView],
        free: list[TargetView],
        now: float,
    ) -> TargetView | None:
        loads = [self._compute_load(view, now) for view in eligible]
        mean = sum(loads) / len(loads)
        allowed = (
            view
            for view in free
            if self._compute_load(view, now)
            <= self._settings.affinity_load_factor * mean + 1 / view.limit.ceiling
        )
        return max(
            allowed,
            key=lambda view: compute_score(query.affinity_key, view.target.name),
            default=None,
        )

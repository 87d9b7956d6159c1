"""State machine for the targets of one daemon: states, limits, load and choice."""

import enum
import math
import random
from collections.abc import Iterator

from kingcuphead.invariants import ensure
from kingcuphead.placement._choice import TargetChooser
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
from kingcuphead.placement._states import AnswerResult, StateSource, TargetState
from kingcuphead.placement._views import EPSILON_SLOTS, Attempt, TargetView
from kingcuphead.records import Configuration, Target


class Prospect(enum.Enum):
    """Whether a target can run a request, now or soon."""

    #: At least one eligible target accepts new requests.
    ACCEPTING = enum.auto()
    #: No eligible target accepts; at least one is being probed, which takes seconds.
    CHECKING = enum.auto()
    #: Every eligible target is leaving or unresponsive, or there is none.
    NONE = enum.auto()


class Placement:
    """State machine for the targets of one daemon, their load, limits and states.

    Parameters
    ----------
    settings : PlacementSettings
        Affinity, limit and probe parameters.
    rng : random.Random
        Breaks ties.
    """

    def __init__(self, settings: PlacementSettings, rng: random.Random) -> None:
        self._settings = settings
        self._views: dict[str, TargetView] = {}
        self._attempts: dict[str, Attempt] = {}
        self._chooser = TargetChooser(settings, rng, self._attempts)
        self._daemon_count = 1

    @property
    def views(self) -> tuple[TargetView, ...]:
        """All targets, including those dropped from the configuration while in use."""
        return tuple(self._views.values())

    def get_attempt(self, request_id: str) -> Attempt | None:
        """Return the attempt of a request in flight, or None."""
        return self._attempts.get(request_id)

    def apply_configuration(
        self, configuration: Configuration, now: float
    ) -> tuple[PlacementEffect, ...]:
        """Apply the targets of a configuration."""
        self._chooser.clear_preferred_targets()
        for target in configuration.targets.values():
            self._put_target(target)
        names = tuple(self._views)
        return tuple(
            effect
            for name in names
            for effect in self._apply_draining(name, configuration, now)
        )

    def set_daemon_count(self, daemons: int) -> None:
        """Set the number of daemons that share the targets, this one included."""
        self._daemon_count = max(1, daemons)
        self._chooser.daemon_count = self._daemon_count
        for name, view in self._views.items():
            limit = view.limit.with_bounds(*self._compute_bounds(view.target))
            self._views[name] = view.with_changes(limit=limit)

    def count_slots(self, service: str, model: str) -> int:
        """Return the slots of this daemon over the accepting targets."""
        total = sum(
            view.limit.value
            for view in self._views.values()
            if view.supports(service, model) and view.liveness.is_accepting
        )
        return max(1, math.floor(total + EPSILON_SLOTS)) if total else 0

    def count_in_flight(self, service: str, model: str) -> int:
        """Return own requests in flight on the targets of a service and model."""
        return sum(
            view.load.own
            for view in self._views.values()
            if view.supports(service, model)
        )

    def assess(self, query: PlacementQuery) -> Prospect:
        """Return whether an eligible target can run the request, now or soon."""
        states = {view.liveness.state for view in self._filter_eligible(query)}
        if TargetState.LIVE in states:
            return Prospect.ACCEPTING
        if TargetState.CHECKING in states:
            return Prospect.CHECKING
        return Prospect.NONE

    def choose_preferred(self, query: PlacementQuery, now: float) -> Target | None:
        """Return the preferred target of the request's prefix, unless overloaded."""
        return self._chooser.choose_preferred(query, self._list_accepting(query), now)

    def choose(self, query: PlacementQuery, now: float) -> Target | None:
        """Return the best target for the request, or None if no target has a slot."""
        accepting = self._list_accepting(query)
        preferred = self._chooser.choose_preferred(query, accepting, now)
        return preferred or self._chooser.choose_least_loaded(query, accepting, now)

    def start_attempt(
        self, request_id: str, target: str, query: PlacementQuery, now: float
    ) -> None:
        """Occupy a slot of `target` for a request."""
        view = self._views[target]
        ensure(
            request_id not in self._attempts,
            "a request has at most one attempt at a time",
            request_id=request_id,
            target=target,
        )
        ensure(
            view.liveness.is_accepting,
            "new requests go to accepting targets only",
            target=target,
            state=view.liveness.state,
        )
        ensure(
            view.has_capacity(query),
            "requests in flight stay within the target's limit",
            target=target,
            in_flight=view.load.own,
            slots=view.slots,
        )
        self._attempts[request_id] = Attempt(target, query, now)
        self._views[target] = view.with_attempt_added(request_id, query, now)

    def record_first_token(self, request_id: str, now: float) -> None:
        """Record the first token of a request, and adapt the target's limit."""
        attempt = self._attempts.get(request_id)
        if attempt is None or attempt.first_token_at is not None:
            return
        self._attempts[request_id] = attempt.with_changes(first_token_at=now)
        view = self._views[attempt.target]
        limit = view.limit.with_first_token(
            now - attempt.placed_at,
            attempt.query.size,
            view.load.own,
            now,
            self._settings,
        )
        self._views[attempt.target] = view.with_changes(
            limit=limit,
            liveness=view.liveness.with_changes(answered_at=now),
            awaiting_first_token=view.awaiting_first_token - {request_id},
        )

    def finish_attempt(
        self, request_id: str, target: str, result: AnswerResult, now: float
    ) -> tuple[PlacementEffect, ...]:
        """Free the slot of a request; ignore a request that is not in flight."""
        attempt = self._attempts.get(request_id)
        if attempt is None:
            return ()
        ensure(
            attempt.target == target,
            "an attempt ends on the target on which it was started",
            request_id=request_id,
            target=target,
            placed_on=attempt.target,
        )
        del self._attempts[request_id]
        view = self._views[target]
        ensure(
            view.load.own > 0 and view.suspect_requests >= attempt.query.is_suspect,
            "a freed slot was occupied",
            target=target,
        )
        ended = view.with_attempt_removed(request_id, attempt.query, now)
        if result is AnswerResult.REFUSED:
            limit = ended.limit.with_congestion(now, self._settings)
            ended = ended.with_changes(limit=limit)
        self._views[target] = ended
        liveness = view.liveness.with_answer(result, now, self._settings)
        return tuple(self._set_liveness(target, liveness, StateSource.ANSWER))

    def report_load(
        self, target: str, running: int, waiting: int, observed_at: float, now: float
    ) -> None:
        """Apply a load report of a target."""
        view = self._views.get(target)
        if view is None or observed_at <= view.load.reported_at:
            return
        load = view.load.with_report(running, waiting, observed_at)
        limit = view.limit
        load_ratio = (running + waiting) / (
            view.concurrency * self._settings.limit_fill
        )
        if waiting > 0 and load_ratio > 1:
            limit = limit.with_overload(load_ratio, now, self._settings)
        self._views[target] = view.with_changes(load=load, limit=limit)

    def report_state(
        self, target: str, state: TargetState, source: StateSource, now: float
    ) -> tuple[PlacementEffect, ...]:
        """Apply a report of a target's state."""
        view = self._views.get(target)
        if view is None:
            return ()
        liveness = view.liveness.with_report(state, source, now)
        return tuple(self._set_liveness(target, liveness, source))

    def handle_probe_reply(
        self, target: str, is_healthy: bool, now: float
    ) -> tuple[PlacementEffect, ...]:
        """Apply the result of a probe."""
        view = self._views.get(target)
        if view is None:
            return ()
        liveness = view.liveness.with_probe(is_healthy, now, self._settings)
        return tuple(self._set_liveness(target, liveness, StateSource.PROBE))

    def tick(self, now: float) -> tuple[PlacementEffect, ...]:
        """Time out outstanding probes and request those that are due."""
        names = tuple(self._views)
        return tuple(
            effect for name in names for effect in self._maintain_target(name, now)
        )

    def _maintain_target(self, name: str, now: float) -> Iterator[PlacementEffect]:
        liveness = self._views[name].liveness.with_timeout(now, self._settings)
        yield from self._set_liveness(name, liveness, StateSource.PROBE)
        view = self._views[name]
        interval = self._settings.max_answer_age
        if not view.load.own:
            # All daemons together probe an idle target about once per interval.
            interval *= self._daemon_count
        if not view.liveness.is_probe_due(now, interval, self._settings):
            return
        probed = view.liveness.with_probe_sent(now)
        self._views[name] = view.with_changes(liveness=probed)
        yield ProbeRequested(name, view.target.address)

    def _put_target(self, target: Target) -> None:
        floor, ceiling = self._compute_bounds(target)
        view = self._views.get(target.name)
        if view is None:
            limit = AdaptiveLimit(2 * floor, floor, ceiling)
            view = TargetView(target, Liveness(), TargetLoad(), limit)
        limit = view.limit.with_bounds(floor, ceiling)
        self._views[target.name] = view.with_changes(target=target, limit=limit)

    def _compute_bounds(self, target: Target) -> tuple[float, float]:
        concurrency = max(1, target.concurrency)
        fair_share = concurrency / self._daemon_count
        # Independent arrivals deviate from the fair share by about its square root.
        return fair_share / 2, min(concurrency, fair_share + math.sqrt(fair_share))

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
        yield from self.report_state(name, state, StateSource.CONFIGURATION, now)

    def _set_liveness(
        self, name: str, liveness: Liveness, source: StateSource
    ) -> Iterator[PlacementEffect]:
        view = self._views[name]
        if liveness is view.liveness:
            return
        before = view.liveness.state
        limit = view.limit
        if before is TargetState.SILENT and liveness.is_accepting:
            limit = limit.with_reset()
        self._views[name] = view.with_changes(liveness=liveness, limit=limit)
        if liveness.state is not before:
            self._chooser.clear_preferred_targets()
            yield TargetStateChanged(name, liveness.state, source)

    def _filter_eligible(self, query: PlacementQuery) -> Iterator[TargetView]:
        return (
            view
            for view in self._views.values()
            if view.supports(query.service, query.model)
            and view.target.name not in query.excluded
        )

    def _list_accepting(self, query: PlacementQuery) -> list[TargetView]:
        eligible = self._filter_eligible(query)
        return [view for view in eligible if view.liveness.is_accepting]

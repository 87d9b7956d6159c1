"""The targets as one daemon sees them: states, limits, load and choice."""

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
from kingcuphead.placement._states import AnswerResult, SignSource, TargetState
from kingcuphead.placement._views import EPSILON_SLOTS, Attempt, TargetView
from kingcuphead.records import Configuration, Target


class Prospect(enum.Enum):
    """Whether a request can expect a target."""

    #: At least one target takes new work.
    ACCEPTING = enum.auto()
    #: A target is being checked, which ends within seconds.
    CHECKING = enum.auto()
    #: Every target is leaving or silent, or there is none.
    NONE = enum.auto()


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
        self._views: dict[str, TargetView] = {}
        self._attempts: dict[str, Attempt] = {}
        self._chooser = TargetChooser(settings, random_source, self._attempts)
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
        self._chooser.forget_homes()
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
        self._chooser.peers = self._peers
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
        return max(1, math.floor(total + EPSILON_SLOTS)) if total else 0

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

    def choose_home(self, query: PlacementQuery, now: float) -> Target | None:
        """Return the target that caches the request's prefix, if it has room."""
        return self._chooser.choose_home(query, self._list_accepting(query), now)

    def choose(self, query: PlacementQuery, now: float) -> Target | None:
        """Return the target that suits the request best; None where none is free."""
        accepting = self._list_accepting(query)
        home = self._chooser.choose_home(query, accepting, now)
        return home or self._chooser.choose_least(query, accepting, now)

    def begin(
        self, request_id: str, target: str, query: PlacementQuery, now: float
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
            view.has_room(query),
            "requests in flight stay within the target's limit",
            target=target,
            in_flight=view.load.own,
            slots=view.slots,
        )
        self._attempts[request_id] = Attempt(target, query, now)
        self._views[target] = view.with_begun(request_id, query, now)

    def start(self, request_id: str, now: float) -> None:
        """Note the first token of a request."""
        attempt = self._attempts.get(request_id)
        if attempt is None or attempt.started_at is not None:
            return
        self._attempts[request_id] = attempt.with_changes(started_at=now)
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
            liveness=view.liveness.with_changes(heard_at=now),
            unstarted=view.unstarted - {request_id},
        )

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
            view.load.own > 0 and view.suspects >= attempt.query.is_suspect,
            "a freed slot was taken",
            target=target,
        )
        ended = view.with_ended(request_id, attempt.query, now)
        if result is AnswerResult.REFUSED:
            limit = ended.limit.with_congestion(now, self._settings)
            ended = ended.with_changes(limit=limit)
        self._views[target] = ended
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
        excess = (running + waiting) / (view.concurrency * self._settings.limit_fill)
        if waiting > 0 and excess > 1:
            limit = limit.with_excess(excess, now, self._settings)
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
            limit = AdaptiveLimit(2 * floor, floor, ceiling)
            view = TargetView(target, Liveness(), TargetLoad(), limit)
        limit = view.limit.with_bounds(floor, ceiling)
        self._views[target.name] = view.with_changes(target=target, limit=limit)

    def _compute_bounds(self, target: Target) -> tuple[float, float]:
        concurrency = max(1, target.concurrency)
        fair = concurrency / self._peers
        # Independent arrivals at the daemons deviate by the square root.
        return fair / 2, min(concurrency, fair + math.sqrt(fair))

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
        if liveness is view.liveness:
            return
        before = view.liveness.state
        limit = view.limit
        if before is TargetState.SILENT and liveness.is_accepting:
            limit = limit.with_restart()
        self._views[name] = view.with_changes(liveness=liveness, limit=limit)
        if liveness.state is not before:
            self._chooser.forget_homes()
            yield TargetStateChanged(name, liveness.state, source)

    def _filter_eligible(self, query: PlacementQuery) -> Iterator[TargetView]:
        return (
            view
            for view in self._views.values()
            if view.serves(query.service, query.model)
            and view.target.name not in query.excluded
        )

    def _list_accepting(self, query: PlacementQuery) -> list[TargetView]:
        eligible = self._filter_eligible(query)
        return [view for view in eligible if view.liveness.is_accepting]

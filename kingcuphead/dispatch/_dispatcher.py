"""Chooses the target of each attempt.

Every daemon ranks the targets for a shared prefix by rendezvous hashing, so requests
with the same prefix go to the same preferred target, which processes the prefix once.
A cost function moves a request to another target when the preferred one has many
tokens pending prefill, counting the requests of this daemon and those that other
daemons report, or when this daemon observes high latency or failures there.
"""

import dataclasses
import random
from collections import defaultdict
from collections.abc import Callable, Collection, Iterable, Iterator, Mapping

from kingcuphead.addresses import Address
from kingcuphead.dispatch._chooser import OptionChooser
from kingcuphead.dispatch._cold_costs import ColdCosts
from kingcuphead.dispatch._costs import CostFunction
from kingcuphead.dispatch._memory_estimator import MemoryEstimator
from kingcuphead.dispatch._messages import (
    AttemptResult,
    DispatchSettings,
    PlacementRequest,
)
from kingcuphead.dispatch._observer import EngineObserver, MemoryDenial
from kingcuphead.dispatch._options import Option, keeps_waiting
from kingcuphead.dispatch._prefill import PrefillPlanner
from kingcuphead.dispatch._room import RoomEstimator, ServiceLoad
from kingcuphead.dispatch._speed import ServiceSpeed, TargetSpeed
from kingcuphead.dispatch._subset import EngineSubset
from kingcuphead.dispatch._target_state import Placement, TargetState
from kingcuphead.loads import PeerLoads, TargetLoad
from kingcuphead.routing import Service
from kingcuphead.targets import Target


class Dispatcher:
    """Chooses targets and tracks their load; does no I/O.

    Parameters
    ----------
    settings
        Weights of the cost function.
    peer_loads
        Loads that other daemons report.
    rng
        Orders the targets for requests without a shared prefix.
    """

    def __init__(
        self, settings: DispatchSettings, peer_loads: PeerLoads, rng: random.Random
    ) -> None:
        self._settings = settings
        self._peer_loads = peer_loads
        self._rng = rng
        self._states: dict[str, TargetState] = {}
        self._speeds: defaultdict[str, ServiceSpeed] = defaultdict(
            lambda: ServiceSpeed(settings)
        )
        self._planner = PrefillPlanner(settings, self._get_state, rng)
        self._costs = CostFunction(settings, peer_loads, self._get_state)
        self._subset = EngineSubset(settings.subset_size)
        #: What is known of the memory of engines.
        self.memory = MemoryEstimator(
            settings.has_contended_engines and settings.bounds_engine_memory,
            peer_loads,
            self._get_state,
            self._subset,
        )
        self._rooms = RoomEstimator(
            peer_loads,
            self._get_state,
            self._planner,
            self._costs,
            self.memory.has_room,
        )
        self._chooser = OptionChooser(settings, self._rooms, rng)
        #: Called after a prompt of at least `min_announced_tokens` is placed, to
        #: report the new load to other daemons at once.
        self.announce: Callable[[], None] | None = None
        #: Called instead of `announce`, with what the prompt adds to its target, where
        #: many daemons compete for engines.
        self.announce_placement: Callable[[TargetLoad], None] | None = None
        #: Records what placements on engines show.
        self.observer: EngineObserver | None = None
        #: Called with the tokens that this daemon holds in a target's memory, after a
        #: change.
        self.report_memory: Callable[[Target, int], None] | None = None
        #: Costs of cold targets.
        self.cold_costs = ColdCosts(settings)

    @property
    def daemons(self) -> int:
        """Number of daemons that share the targets, this one included; 1 if unknown."""
        return self._rooms.daemons

    @daemons.setter
    def daemons(self, daemons: int) -> None:
        self._rooms.daemons = daemons

    def apply_daemons(self, own: Address, peers: Iterable[Address]) -> None:
        """Replace the known daemons of the fleet: this one, and the others."""
        self._subset.apply_daemons(own, peers)

    def apply_services(self, services: Mapping[str, Service]) -> None:
        """Replace the properties of the services."""
        self.memory.apply_services(services)

    def place(
        self,
        request: PlacementRequest,
        candidates: Iterable[Target],
        excluded: Collection[str],
        now: float,
    ) -> Placement | None:
        """Choose the target with the lowest cost and count the request there.

        Targets that are backing off are used only if there are no others.

        Parameters
        ----------
        request
            Properties of the request to place.
        candidates
            Targets that accept new requests.
        excluded
            Names of targets that earlier attempts of the request used.
        now
            Current time in seconds.

        Returns
        -------
        Placement or None
            The choice; None if every candidate is excluded or has no memory left.
        """
        available = self._select_available(candidates, excluded, now)
        if not available:
            return None
        option = self._choose(request, available, now)
        if option is None:
            self.record_denial(request, MemoryDenial.KNOWN_LOAD)
            return None
        placement = self._make_placement(request, option, now)
        option.state.add(placement, request, now)
        self.cold_costs.record(option.target)
        if not placement.needs_permit:
            self.confirm(placement)
        return placement

    def has_room(
        self, request: PlacementRequest, candidates: Iterable[Target], now: float
    ) -> bool:
        """Return whether some target has room for a request; see `RoomCheck`."""
        available = self._select_available(candidates, (), now)
        return self._rooms.has_room(request, available, now)

    def accepts_on_old_reports(
        self, request: PlacementRequest, candidates: Iterable[Target], now: float
    ) -> bool:
        """Return whether a request has waited so long that it may ignore reports."""
        return self._rooms.accepts_on_old_reports(request, candidates, now)

    def describe_load(
        self, request: PlacementRequest, candidates: Collection[Target]
    ) -> ServiceLoad:
        """Return the load of all daemons on some targets."""
        return self._rooms.describe_load(request, candidates)

    def count_own(self, candidates: Iterable[Target]) -> int:
        """Return the number of requests that this daemon has at some targets."""
        return self._rooms.count_own(candidates)

    def confirm(self, placement: Placement) -> None:
        """Record that a request is sent to the chosen target.

        A placement that needs a permit is confirmed after it got one.
        """
        self._report_memory(placement)
        self._announce_if_large(placement)
        if placement.memory is not None and self.observer is not None:
            self.observer.record_engine_memory(
                placement.target.service, placement.memory.used_share
            )

    def record_denial(self, request: PlacementRequest, cause: MemoryDenial) -> None:
        """Record that a request got no memory of an engine."""
        if self.observer is not None:
            self.observer.record_memory_denial(request.service, cause)

    def record_full(self, placement: Placement, wait: float, now: float) -> None:
        """Record that a target's coordinator has denied memory for a request.

        Parameters
        ----------
        placement
            Choice of the target.
        wait
            Seconds until there may be room for the request.
        now
            Current time in seconds.
        """
        if placement.memory is None or placement.request is None:
            return
        tokens = placement.memory.added_tokens
        placement.state.denied_memory.record(tokens, now + wait, now)
        self.record_denial(placement.request, MemoryDenial.COORDINATOR)

    def withdraw(self, placement: Placement) -> None:
        """Stop counting a request that is not sent to the chosen target."""
        placement.state.remove(placement)
        self.cold_costs.withdraw(placement.target)
        self._report_memory(placement)

    def record_answer_start(self, placement: Placement, now: float) -> None:
        """Record that the answer of a request has begun; later calls do nothing."""
        if not placement.is_started:
            placement.is_started = True
            placement.state.record_answer_start(placement, now)

    def record_first_event(self, placement: Placement, now: float) -> None:
        """Record the first event of a stream, where daemons compete for engines."""
        if not self._settings.has_contended_engines or placement.is_started:
            return
        self.record_answer_start(placement, now)
        if self.observer is not None:
            self.observer.record_engine_wait(
                placement.target.service,
                placement.expected_wait,
                now - placement.placed_at,
            )

    def record_result(
        self, placement: Placement, result: AttemptResult, now: float
    ) -> None:
        """Record the end of an attempt; called once for each placement."""
        placement.state.remove(placement)
        placement.state.health.record_result(result, now)
        self._report_memory(placement)

    def list_loads(self) -> Iterator[TargetLoad]:
        """Yield this daemon's load on each target that runs requests of it."""
        for name, state in self._states.items():
            if state.running:
                memory = state.held_tokens.total if self.memory.is_enabled else 0
                yield TargetLoad(
                    name, state.running, state.pending_prefill_tokens, memory
                )

    def forget(self, target: Target) -> None:
        """Drop the state of a target that was removed."""
        self._states.pop(target.name, None)
        self.cold_costs.forget(target)
        self._subset.forget(target.name)
        self._speeds[target.service].forget(target.name)

    def _select_available(
        self, candidates: Iterable[Target], excluded: Collection[str], now: float
    ) -> list[Target]:
        """Return the candidates to choose from: those not backing off, if there are."""
        usable = [target for target in candidates if target.name not in excluded]
        available = [
            target
            for target in usable
            if not self._get_state(target).health.is_backing_off(now)
        ]
        return available or usable

    def _make_placement(
        self, request: PlacementRequest, option: Option, now: float
    ) -> Placement:
        state = option.state
        others = self._peer_loads.get_load(option.target.name)
        return Placement(
            option.target,
            state,
            option.plan,
            now,
            option.wait,
            option.is_preferred,
            option.cost,
            tokens_ahead=state.pending_prefill_tokens + others.unread_tokens,
            running_ahead=state.running + others.running,
            memory=self.memory.describe(request, option.target),
        )

    def _choose(
        self, request: PlacementRequest, available: list[Target], now: float
    ) -> Option | None:
        """Choose among the preferred engines, or among all if these are busy.

        Returns
        -------
        Option or None
            The choice; None if no target has memory left.
        """
        preferred = self._select_preferred(request, available)
        options = self._list_options(request, preferred, now)
        max_wait = self._settings.max_subset_wait * request.objective
        if len(preferred) < len(available) and keeps_waiting(options, max_wait):
            names = {target.name for target in preferred}
            others = [target for target in available if target.name not in names]
            options += [
                dataclasses.replace(
                    option,
                    cost=option.cost + self._settings.connection_cost,
                    is_preferred=False,
                )
                for option in self._list_options(request, others, now)
            ]
        return self._chooser.choose(request, options) if options else None

    def _select_preferred(
        self, request: PlacementRequest, available: list[Target]
    ) -> list[Target]:
        """Return the engines that this daemon prefers for a request.

        A long shared prefix is processed once in the fleet, so that all daemons send
        its requests to the same engine.
        """
        settings = self._settings
        is_bound = request.shared_tokens > settings.max_subset_prefix_tokens
        if not settings.has_contended_engines or not request.prompt_tokens or is_bound:
            return available
        return self._subset.select(available)

    def _list_options(
        self, request: PlacementRequest, targets: list[Target], now: float
    ) -> list[Option]:
        """Return the options of a request, in the order of its preference."""
        fitting = self.memory.select_fitting(request, targets, now)
        ranked = self._planner.rank(request, fitting)
        shortlist = self._costs.make_shortlist(ranked)
        cold_costs = self.cold_costs.compute(request, shortlist)
        options = []
        for target in shortlist:
            plan = self._planner.plan(request, target, ranked, now)
            state = self._get_state(target)
            if self._settings.has_contended_engines:
                state.refresh_latency_ratio(now)
            wait = self._costs.estimate_wait(target, plan)
            cost = self._costs.compute(request, target, plan, wait, now)
            full_cost = self._costs.compute_full_cost(target)
            cost += cold_costs.get(target.name, 0.0) + full_cost
            is_preferred = target is ranked[0]
            options.append(
                Option(target, state, plan, wait, cost, is_preferred, full_cost)
            )
        return options

    def _report_memory(self, placement: Placement) -> None:
        if placement.memory is not None and self.report_memory is not None:
            tokens = placement.state.held_tokens.total
            self.report_memory(placement.target, tokens)

    def _announce_if_large(self, placement: Placement) -> None:
        settings = self._settings
        tokens = placement.prefill.prefill_tokens
        if tokens < settings.min_announced_tokens:
            return
        if settings.has_contended_engines and self.announce_placement is not None:
            memory = 0 if placement.memory is None else placement.memory.added_tokens
            name = placement.target.name
            self.announce_placement(TargetLoad(name, 1, tokens, memory))
        elif self.announce is not None:
            self.announce()

    def _get_state(self, target: Target) -> TargetState:
        """Return the state of the target's incarnation, creating it if needed."""
        state = self._states.get(target.name)
        if state is None or state.started_at_ms != target.started_at_ms:
            speed = TargetSpeed(target.name, self._speeds[target.service])
            state = TargetState(target.started_at_ms, self._settings, speed)
            self._states[target.name] = state
        return state

"""Chooses the target of each attempt.

Every daemon ranks the targets for a shared prefix by rendezvous hashing, so requests
with the same prefix go to the same preferred target, which processes the prefix once.
A cost function moves a request to another target when the preferred one has many
tokens pending prefill, counting the requests of this daemon and those that other
daemons report, or when this daemon observes high latency or failures there.
"""

import dataclasses
import heapq
import random
from collections import defaultdict
from collections.abc import Callable, Collection, Iterable, Iterator

from kingcuphead.dispatch._cold_costs import ColdCosts
from kingcuphead.dispatch._messages import (
    AttemptResult,
    DispatchSettings,
    PlacementRequest,
)
from kingcuphead.dispatch._options import Option, choose_cheapest, choose_near_cheapest
from kingcuphead.dispatch._rankings import Rankings
from kingcuphead.dispatch._room import (
    ServiceLoad,
    TargetRoom,
    count_places,
    extrapolate,
)
from kingcuphead.dispatch._speed import ServiceSpeed, TargetSpeed
from kingcuphead.dispatch._subset import Address, EngineSubset
from kingcuphead.dispatch._target_state import (
    NETWORK_ALLOWANCE_SECONDS,
    Placement,
    PrefillPlan,
    TargetState,
)
from kingcuphead.loads import PeerLoads, TargetLoad
from kingcuphead.targets import Target

#: Targets whose cost is computed because they come first in rendezvous order.
MAX_RANKED = 4
#: Further targets whose cost is computed because of their small load.
MAX_LEAST_LOADED = 6

_NO_PREFILL = PrefillPlan(0)


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
        self._rankings = Rankings()
        self._speeds: defaultdict[str, ServiceSpeed] = defaultdict(
            lambda: ServiceSpeed(settings)
        )
        self._subset = EngineSubset(settings.subset_size)
        #: Number of daemons that share the targets, this one included; 1 if unknown.
        self.daemons = 1
        #: Called after a prompt of at least `min_announced_tokens` is placed, to
        #: report the new load to other daemons at once.
        self.announce: Callable[[], None] | None = None
        #: Called instead of `announce`, with what the prompt adds to its target, where
        #: many daemons compete for engines.
        self.announce_placement: Callable[[TargetLoad], None] | None = None
        #: Costs of cold targets.
        self.cold_costs = ColdCosts(settings)

    def apply_daemons(self, own: Address, peers: Iterable[Address]) -> None:
        """Replace the known daemons of the fleet: this one, and the others."""
        self._subset.apply_daemons(own, peers)

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
            The choice; None if every candidate is excluded.
        """
        available = self._select_available(candidates, excluded, now)
        if not available:
            return None
        option = self._choose(request, available, now)
        state = option.state
        placement = Placement(
            option.target,
            state,
            option.plan,
            now,
            option.wait,
            option.is_preferred,
            option.cost,
        )
        others = self._peer_loads.get_load(option.target.name)
        placement.tokens_ahead = state.pending_prefill_tokens + others.unread_tokens
        placement.running_ahead = state.running + others.running
        state.add(placement, request, now)
        self.cold_costs.record(option.target)
        self._announce_if_large(placement)
        return placement

    def has_room(
        self, request: PlacementRequest, candidates: Iterable[Target], now: float
    ) -> bool:
        """Return whether some target has room for a request that waits.

        Parameters
        ----------
        request
            Properties of the request.
        candidates
            Targets that accept new requests.
        now
            Current time in seconds.
        """
        available = self._select_available(candidates, (), now)
        ranked = available
        if request.prefixes and request.objective_ends_at > now:
            ranked = self._rank(request, available)
        for target in ranked:
            room = self._describe_room(request, target)
            if room.accepts_on_old_reports(request, now):
                return True
            if room.has_place and self._is_in_time(request, target, ranked, now):
                return True
        return False

    def accepts_on_old_reports(
        self, request: PlacementRequest, candidates: Iterable[Target], now: float
    ) -> bool:
        """Return whether a request has waited so long that it may ignore reports."""
        return any(
            self._describe_room(request, target).accepts_on_old_reports(request, now)
            for target in candidates
        )

    def describe_load(
        self, request: PlacementRequest, candidates: Collection[Target]
    ) -> ServiceLoad:
        """Return the load of all daemons on some targets."""
        rooms = [self._describe_room(request, target) for target in candidates]
        users = self._peer_loads.count_users({target.name for target in candidates})
        return ServiceLoad(
            sum(room.places for room in rooms),
            sum(room.own for room in rooms),
            sum(room.reported for room in rooms),
            1 + self._extrapolate(users),
        )

    def count_own(self, candidates: Iterable[Target]) -> int:
        """Return the number of requests that this daemon has at some targets."""
        return sum(self._get_state(target).running for target in candidates)

    def withdraw(self, placement: Placement) -> None:
        """Stop counting a request that is not sent to the chosen target."""
        placement.state.remove(placement)
        self.cold_costs.withdraw(placement.target)

    def record_answer_start(self, placement: Placement, now: float) -> None:
        """Record that the answer of a request has begun; later calls do nothing."""
        if not placement.is_started:
            placement.is_started = True
            placement.state.record_answer_start(placement, now)

    def record_first_event(self, placement: Placement, now: float) -> None:
        """Record the first event of a stream, where daemons compete for engines."""
        if self._settings.has_contended_engines:
            self.record_answer_start(placement, now)

    def record_result(
        self, placement: Placement, result: AttemptResult, now: float
    ) -> None:
        """Record the end of an attempt; called once for each placement."""
        placement.state.remove(placement)
        placement.state.health.record_result(result, now)

    def list_loads(self) -> Iterator[TargetLoad]:
        """Yield this daemon's load on each target that runs requests of it."""
        for name, state in self._states.items():
            if state.running:
                yield TargetLoad(name, state.running, state.pending_prefill_tokens)

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

    def _describe_room(self, request: PlacementRequest, target: Target) -> TargetRoom:
        reported = self._peer_loads.get_load(target.name).running
        others = self._extrapolate(reported)
        places = count_places(target, request)
        return TargetRoom(places, self._get_state(target).running, others)

    def _extrapolate(self, reported: int) -> float:
        return extrapolate(reported, self._peer_loads.reporters, self.daemons - 1)

    def _is_in_time(
        self,
        request: PlacementRequest,
        target: Target,
        ranked: list[Target],
        now: float,
    ) -> bool:
        """Return whether a free target is expected to meet a request's objective.

        Also true if the objective has passed, or if the request alone takes longer
        there, as waiting wouldn't help.
        """
        remaining = request.objective_ends_at - now
        if remaining <= 0:
            return True
        plan = self._plan_prefill(request, target, ranked, now)
        state = self._get_state(target)
        wait = self._estimate_wait(state, target, plan) * state.latency_ratio
        if wait < remaining:
            return True
        return self._estimate_prefill(state, plan) * state.latency_ratio >= remaining

    def _choose(
        self, request: PlacementRequest, available: list[Target], now: float
    ) -> Option:
        """Choose among the preferred engines, or among all if these are busy."""
        preferred = self._select_preferred(request, available)
        options = self._list_options(request, preferred, now)
        if len(preferred) < len(available) and self._is_busy(request, options):
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
        if self._settings.has_contended_engines and request.prompt_tokens:
            return choose_near_cheapest(
                options, self._settings.cost_tolerance, self._rng
            )
        return choose_cheapest(options)

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

    def _is_busy(self, request: PlacementRequest, options: list[Option]) -> bool:
        """Whether a request would wait for others at each of some targets."""
        wait = min(
            option.wait * option.state.latency_ratio
            - option.plan.prefill_tokens / option.state.speed.rate
            for option in options
        )
        return wait > self._settings.max_subset_wait * request.objective

    def _list_options(
        self, request: PlacementRequest, targets: list[Target], now: float
    ) -> list[Option]:
        """Return the options of a request, in the order of its preference."""
        ranked = self._rank(request, targets)
        shortlist = self._make_shortlist(ranked)
        cold_costs = self.cold_costs.compute(request, shortlist)
        options = []
        for target in shortlist:
            plan = self._plan_prefill(request, target, ranked, now)
            state = self._get_state(target)
            if self._settings.has_contended_engines:
                state.refresh_latency_ratio(now)
            cost = self._compute_cost(request, target, plan, now)
            cost += cold_costs.get(target.name, 0.0)
            wait = self._estimate_wait(state, target, plan)
            is_preferred = target is ranked[0]
            options.append(Option(target, state, plan, wait, cost, is_preferred))
        return options

    def _announce_if_large(self, placement: Placement) -> None:
        settings = self._settings
        tokens = placement.prefill.prefill_tokens
        if tokens < settings.min_announced_tokens:
            return
        if settings.has_contended_engines and self.announce_placement is not None:
            self.announce_placement(TargetLoad(placement.target.name, 1, tokens))
        elif self.announce is not None:
            self.announce()

    def _rank(self, request: PlacementRequest, targets: list[Target]) -> list[Target]:
        """Return the targets in rendezvous order of the longest shared prefix.

        The first one is the preferred target. Without a shared prefix the order is
        random.
        """
        key = request.prefixes[-1].key if request.prefixes else ""
        if not key:
            return self._rng.sample(targets, len(targets))
        return self._rankings.rank(key, targets)

    def _make_shortlist(self, ranked: list[Target]) -> list[Target]:
        """Return the targets to compute the cost of, in rendezvous order at first.

        These are the first ones in that order, and those that keep a request waiting
        least; the effort for a request doesn't grow with the fleet.
        """
        if len(ranked) <= MAX_RANKED + MAX_LEAST_LOADED:
            return ranked
        others = heapq.nsmallest(
            MAX_LEAST_LOADED, ranked[MAX_RANKED:], key=self._estimate_delay
        )
        return ranked[:MAX_RANKED] + others

    def _estimate_delay(self, target: Target) -> float:
        """Return the seconds that the load of a target adds to any request there."""
        state = self._get_state(target)
        seconds = self._estimate_wait(state, target, _NO_PREFILL)
        return (seconds + NETWORK_ALLOWANCE_SECONDS) * state.latency_ratio

    def _plan_prefill(
        self,
        request: PlacementRequest,
        target: Target,
        ranked: list[Target],
        now: float,
    ) -> PrefillPlan:
        """Return which tokens the target would process and which it would copy.

        The preferred target is assumed to have the shared prefix cached; any other
        target copies its KV cache from there. A target that can't, because it is the
        preferred one itself or has another software version, copies from a target to
        which this daemon has sent the prefix, if there is one of its own version.
        """
        cached = self._get_state(target).count_cached_tokens(request, now)
        shared = request.shared_tokens
        is_preferred = target is ranked[0]
        prefill = request.prompt_tokens - (shared if is_preferred else cached)
        if shared - cached < self._settings.min_copied_tokens:
            return PrefillPlan(prefill)
        if not is_preferred and _is_same_version(ranked[0], target):
            source: Target | None = ranked[0]
        else:
            source = self._find_source(request, target, ranked, now)
        if is_preferred or source is None:
            return PrefillPlan(prefill, 0, source)
        return PrefillPlan(request.prompt_tokens - shared, shared - cached, source)

    def _find_source(
        self,
        request: PlacementRequest,
        target: Target,
        ranked: list[Target],
        now: float,
    ) -> Target | None:
        """Return a target that has the shared prefix and can copy it to another."""
        for each in ranked:
            is_source = each is not target and _is_same_version(each, target)
            if is_source and self._has_prefix(each, request, now):
                return each
        return None

    def _has_prefix(
        self, target: Target, request: PlacementRequest, now: float
    ) -> bool:
        return (
            self._get_state(target).count_cached_tokens(request, now)
            >= request.shared_tokens
        )

    def _compute_cost(
        self, request: PlacementRequest, target: Target, plan: PrefillPlan, now: float
    ) -> float:
        """Return the cost of a target in units of the latency objective."""
        settings = self._settings
        state = self._get_state(target)
        seconds = self._estimate_wait(state, target, plan) * state.latency_ratio
        cost = self._compute_wait_cost(seconds / request.objective)
        running = state.running + self._peer_loads.get_running(target.name)
        own_tokens = request.prompt_tokens - request.shared_tokens
        cost += (
            (plan.prefill_tokens - own_tokens) / 1000 * settings.repeated_prefill_cost
        )
        cost += plan.copied_tokens / 1000 * settings.kv_copy_cost
        if running >= target.slots:
            cost += settings.failure_cost
        if target.zone != settings.zone:
            cost += settings.zone_cost
        return cost + state.health.get_failure_rate(now) * settings.failure_cost

    def _estimate_wait(
        self, state: TargetState, target: Target, plan: PrefillPlan
    ) -> float:
        """Return the expected seconds to the first byte at a latency ratio of 1."""
        others = self._peer_loads
        pending = state.pending_prefill_tokens + others.get_unread_tokens(target.name)
        running = state.running + others.get_running(target.name)
        seconds = pending / state.speed.rate + self._estimate_prefill(state, plan)
        return seconds + running * state.speed.step

    def _estimate_prefill(self, state: TargetState, plan: PrefillPlan) -> float:
        """Return the seconds that a prompt takes on an idle target."""
        seconds = plan.prefill_tokens / state.speed.rate
        return seconds + plan.copied_tokens / self._settings.kv_copy_tokens_per_second

    def _compute_wait_cost(self, wait: float) -> float:
        """Return the cost of a wait given in units of the latency objective."""
        share = self._settings.linear_share
        return share * wait + (1 - share) * wait * wait

    def _get_state(self, target: Target) -> TargetState:
        """Return the state of the target's incarnation, creating it if needed."""
        state = self._states.get(target.name)
        if state is None or state.started_at_ms != target.started_at_ms:
            speed = TargetSpeed(target.name, self._speeds[target.service])
            state = TargetState(target.started_at_ms, self._settings, speed)
            self._states[target.name] = state
        return state


def _is_same_version(first: Target, second: Target) -> bool:
    """Return whether one target can use what the other has written."""
    return first.software_version == second.software_version

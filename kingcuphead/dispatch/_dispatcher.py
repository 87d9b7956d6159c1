"""Chooses the target of each attempt.

Every daemon ranks the targets for a shared prefix by rendezvous hashing, so requests
with the same prefix go to the same preferred target, which processes the prefix once.
A cost function moves a request to another target when the preferred one has many
tokens pending prefill, counting the requests of this daemon and those that other
daemons report, or when this daemon observes high latency or failures there.
"""

import hashlib
import random
from collections.abc import Callable, Collection, Iterable, Iterator

from kingcuphead.dispatch._cold_costs import ColdCosts
from kingcuphead.dispatch._messages import (
    AttemptResult,
    DispatchSettings,
    PlacementRequest,
)
from kingcuphead.dispatch._target_state import Placement, PrefillPlan, TargetState
from kingcuphead.loads import PeerLoads, TargetLoad
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
        #: Called after a prompt of at least `min_announced_tokens` is placed, to
        #: report the new load to other daemons at once.
        self.announce: Callable[[], None] | None = None
        #: Costs of cold targets.
        self.cold_costs = ColdCosts(settings)

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
        ranked = self._rank(request, available)
        plans = [self._plan_prefill(request, each, ranked, now) for each in ranked]
        costs = self._compute_costs(request, ranked, plans, now)
        cost = min(costs)
        choice = costs.index(cost)
        best, plan = ranked[choice], plans[choice]
        state = self._get_state(best)
        wait = self._estimate_wait(state, best, plan)
        placement = Placement(best, state, plan, now, wait, choice == 0, cost)
        state.add(placement, request, now)
        self.cold_costs.record(best)
        self._announce_if_large(plan)
        return placement

    def withdraw(self, placement: Placement) -> None:
        """Stop counting a request that is not sent to the chosen target."""
        placement.state.remove(placement)
        self.cold_costs.withdraw(placement.target)

    def record_answer_start(self, placement: Placement, now: float) -> None:
        """Record that the answer of a request has begun; later calls do nothing."""
        if not placement.is_started:
            placement.is_started = True
            placement.state.record_answer_start(placement, now)

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

    def _announce_if_large(self, plan: PrefillPlan) -> None:
        is_large = plan.prefill_tokens >= self._settings.min_announced_tokens
        if is_large and self.announce is not None:
            self.announce()

    def _rank(self, request: PlacementRequest, targets: list[Target]) -> list[Target]:
        """Return the targets in rendezvous order of the longest shared prefix.

        The first one is the preferred target. Without a shared prefix the order is
        random.
        """
        key = request.prefixes[-1].key if request.prefixes else ""
        if not key:
            return self._rng.sample(targets, len(targets))
        return sorted(
            targets, key=lambda target: _score(key, target.name), reverse=True
        )

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

    def _compute_costs(
        self,
        request: PlacementRequest,
        targets: list[Target],
        plans: list[PrefillPlan],
        now: float,
    ) -> list[float]:
        cold_costs = self.cold_costs.compute(request, targets)
        return [
            self._compute_cost(request, target, plan, now)
            + cold_costs.get(target.name, 0.0)
            for target, plan in zip(targets, plans, strict=True)
        ]

    def _compute_cost(
        self, request: PlacementRequest, target: Target, plan: PrefillPlan, now: float
    ) -> float:
        """Return the cost of a target in units of the latency objective."""
        settings = self._settings
        state = self._get_state(target)
        seconds = self._estimate_wait(state, target, plan) * state.latency_ratio
        cost = self._compute_wait_cost(seconds / request.objective)
        running = state.running + self._peer_loads.get_load(target.name).running
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
        settings = self._settings
        others = self._peer_loads.get_load(target.name)
        pending = state.pending_prefill_tokens + others.unread_tokens
        running = state.running + others.running
        prefill = plan.prefill_tokens + pending
        seconds = prefill / settings.prefill_tokens_per_second
        seconds += plan.copied_tokens / settings.kv_copy_tokens_per_second
        return seconds + running * settings.wait_per_running_request

    def _compute_wait_cost(self, wait: float) -> float:
        """Return the cost of a wait given in units of the latency objective."""
        share = self._settings.linear_share
        return share * wait + (1 - share) * wait * wait

    def _get_state(self, target: Target) -> TargetState:
        """Return the state of the target's incarnation, creating it if needed."""
        state = self._states.get(target.name)
        if state is None or state.started_at_ms != target.started_at_ms:
            state = TargetState(target.started_at_ms, self._settings)
            self._states[target.name] = state
        return state


def _is_same_version(first: Target, second: Target) -> bool:
    """Return whether one target can use what the other has written."""
    return first.software_version == second.software_version


def _score(key: str, name: str) -> bytes:
    """Return the rendezvous score of a target for a prefix key."""
    return hashlib.blake2b(f"{key}\0{name}".encode(), digest_size=8).digest()

"""The cost of a target for a request, and the targets to compute it for."""

import heapq
from collections.abc import Callable

from kingcuphead.dispatch._messages import DispatchSettings, PlacementRequest
from kingcuphead.dispatch._target_state import (
    NETWORK_ALLOWANCE_SECONDS,
    PrefillPlan,
    TargetState,
)
from kingcuphead.loads import PeerLoads
from kingcuphead.targets import Target

#: Number of targets up to which all are costed.
MAX_ALL_COSTED = 16
#: Targets whose cost is computed because they come first in rendezvous order.
MAX_RANKED = 4
#: Further targets whose cost is computed because of their small load.
MAX_LEAST_LOADED = 4


class CostFunction:
    """Computes the costs of targets and the waits to expect there.

    Parameters
    ----------
    settings
        Weights of the cost function.
    peer_loads
        Loads that other daemons report.
    get_state
        Returns the state of a target.
    """

    def __init__(
        self,
        settings: DispatchSettings,
        peer_loads: PeerLoads,
        get_state: Callable[[Target], TargetState],
    ) -> None:
        self._settings = settings
        self._peer_loads = peer_loads
        self._get_state = get_state

    def make_shortlist(self, ranked: list[Target]) -> list[Target]:
        """Return the targets to compute the cost of, in rendezvous order at first.

        These are the first ones in that order, and those that keep a request waiting
        least; the effort for a request doesn't grow with the fleet.
        """
        if len(ranked) <= MAX_ALL_COSTED:
            return ranked
        others = heapq.nsmallest(
            MAX_LEAST_LOADED, ranked[MAX_RANKED:], key=self._estimate_delay
        )
        return ranked[:MAX_RANKED] + others

    def compute(
        self,
        request: PlacementRequest,
        target: Target,
        plan: PrefillPlan,
        wait: float,
        now: float,
    ) -> float:
        """Return the cost of a target in units of the latency objective.

        That of a target whose slots are all taken is left out; see `compute_full_cost`.

        Parameters
        ----------
        request
            Properties of the request.
        target
            Target for the request.
        plan
            Tokens that the target would process and copy.
        wait
            Expected seconds to the first byte, as `estimate_wait` returns them.
        now
            Current time in seconds.
        """
        settings = self._settings
        state = self._get_state(target)
        cost = self._compute_wait_cost(wait * state.latency_ratio / request.objective)
        own_tokens = request.prompt_tokens - request.shared_tokens
        cost += (
            (plan.prefill_tokens - own_tokens) / 1000 * settings.repeated_prefill_cost
        )
        cost += plan.copied_tokens / 1000 * settings.kv_copy_cost
        if target.zone != settings.zone:
            cost += settings.zone_cost
        cost += self._compute_transfer_cost(request, target)
        return cost + state.health.get_failure_rate(now) * settings.failure_cost

    def compute_full_cost(self, target: Target) -> float:
        """Return the cost of a target because its slots are all taken."""
        others = self._peer_loads.get_running(target.name)
        running = self._get_state(target).running + others
        return self._settings.failure_cost if running >= target.slots else 0.0

    def estimate_wait(self, target: Target, plan: PrefillPlan) -> float:
        """Return the expected seconds to the first byte at a latency ratio of 1."""
        state, others = self._get_state(target), self._peer_loads
        pending = state.pending_prefill_tokens + others.get_pending_prefill_tokens(
            target.name
        )
        running = state.running + others.get_running(target.name)
        seconds = pending / state.speed.rate + self.estimate_prefill(target, plan)
        return seconds + running * state.speed.step

    def estimate_prefill(self, target: Target, plan: PrefillPlan) -> float:
        """Return the seconds that a prompt takes on an idle target."""
        seconds = plan.prefill_tokens / self._get_state(target).speed.rate
        return seconds + plan.copied_tokens / self._settings.kv_copy_tokens_per_second

    def _compute_transfer_cost(
        self, request: PlacementRequest, target: Target
    ) -> float:
        """Return the cost of the bytes that a request moves between zones."""
        settings = self._settings
        if not settings.has_contended_engines or target.zone == settings.zone:
            return 0.0
        cost = settings.zone_transfer_cost * max(1.0, request.body_bytes / 1000)
        return min(cost, settings.max_zone_transfer_cost)

    def _estimate_delay(self, target: Target) -> float:
        """Return the seconds that the load of a target adds to any request there."""
        settings, others = self._settings, self._peer_loads
        state = self._get_state(target)
        pending = state.pending_prefill_tokens + others.get_pending_prefill_tokens(
            target.name
        )
        running = state.running + others.get_running(target.name)
        seconds = pending / settings.prefill_tokens_per_second
        seconds += running * settings.wait_per_running_request
        return (seconds + NETWORK_ALLOWANCE_SECONDS) * state.latency_ratio

    def _compute_wait_cost(self, wait: float) -> float:
        """Return the cost of a wait given in units of the latency objective."""
        share = self._settings.linear_share
        return share * wait + (1 - share) * wait * wait

"""Which tokens of a prompt a target processes, and which it copies."""

import random
from collections.abc import Callable

from kingcuphead.dispatch._messages import DispatchSettings, PlacementRequest
from kingcuphead.dispatch._rankings import Rankings
from kingcuphead.dispatch._target_state import PrefillPlan, TargetState
from kingcuphead.targets import Target


class PrefillPlanner:
    """Ranks targets for a shared prefix and plans the prefill on each.

    Parameters
    ----------
    settings
        Contains the size of the smallest copy.
    get_state
        Returns the state of a target.
    rng
        Orders the targets for requests without a shared prefix.
    """

    def __init__(
        self,
        settings: DispatchSettings,
        get_state: Callable[[Target], TargetState],
        rng: random.Random,
    ) -> None:
        self._settings = settings
        self._get_state = get_state
        self._rng = rng
        self._rankings = Rankings()

    def rank(self, request: PlacementRequest, targets: list[Target]) -> list[Target]:
        """Return the targets in rendezvous order of the longest shared prefix.

        The first one is the preferred target. Without a shared prefix the order is
        random.
        """
        key = request.prefixes[-1].key if request.prefixes else ""
        if not key:
            return self._rng.sample(targets, len(targets))
        return self._rankings.rank(key, targets)

    def plan(
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


def _is_same_version(first: Target, second: Target) -> bool:
    """Return whether one target can use what the other has written."""
    return first.software_version == second.software_version

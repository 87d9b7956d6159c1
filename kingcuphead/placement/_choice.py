"""Choice among targets: prefix affinity, bounded by load."""

import random
from collections.abc import Mapping

from kingcuphead.placement._affinity import compute_score
from kingcuphead.placement._messages import PlacementQuery
from kingcuphead.placement._settings import PlacementSettings
from kingcuphead.placement._views import Attempt, TargetView
from kingcuphead.records import Target

#: Maximum number of affinity keys whose preferred target is cached.
MAX_PREFERRED_TARGETS = 4096


class TargetChooser:
    """Chooses among the targets that accept a request.

    Parameters
    ----------
    settings : PlacementSettings
        Affinity and load parameters.
    rng : random.Random
        Breaks ties.
    attempts : mapping of str to Attempt
        Own requests in flight, by request id; a live view.
    """

    def __init__(
        self,
        settings: PlacementSettings,
        rng: random.Random,
        attempts: Mapping[str, Attempt],
    ) -> None:
        self._settings = settings
        self._rng = rng
        self._attempts = attempts
        self._preferred_targets: dict[tuple[str, str, bytes], str] = {}
        #: Number of daemons that share the targets, this one included.
        self.daemon_count = 1

    def clear_preferred_targets(self) -> None:
        """Drop cached preferred targets after the set of accepting targets changed."""
        self._preferred_targets.clear()

    def choose_preferred(
        self, query: PlacementQuery, accepting: list[TargetView], now: float
    ) -> Target | None:
        """Return the preferred target of the affinity key, unless it is overloaded.

        The target needs a free slot. It is overloaded if its load exceeds the mean of
        the free targets by more than `affinity_load_factor` allows, or if its tokens
        pending prefill exceed the fewest of a free target by more than the cached
        prefix is assumed to save.
        """
        if not query.affinity_key or not accepting:
            return None
        name = self._get_preferred(query, accepting)
        preferred = next((view for view in accepting if view.target.name == name), None)
        if preferred is None or not self.has_slot(preferred, query, now):
            return None
        free = [view for view in accepting if self.has_slot(view, query, now)]
        is_overloaded = self._is_overloaded(preferred, query, free, now)
        return None if is_overloaded else preferred.target

    def choose_least_loaded(
        self, query: PlacementQuery, accepting: list[TargetView], now: float
    ) -> Target | None:
        """Return the free target that is expected to send the first token soonest.

        It has the fewest tokens pending prefill; among equals, the lowest load, then
        the zone of this daemon.
        """
        free = [view for view in accepting if self.has_slot(view, query, now)]
        best = min(
            free, key=lambda view: self._build_sort_key(view, query, now), default=None
        )
        return best.target if best else None

    def has_slot(self, view: TargetView, query: PlacementQuery, now: float) -> bool:
        """Return whether the target has a slot for the request."""
        if not view.has_capacity(query):
            return False
        if query.is_suspect and view.suspect_requests:
            # A crash could not be attributed if two suspect requests were running.
            return False
        if query.is_top_class or view.load.own < view.concurrency / self.daemon_count:
            # The target schedules the top class before requests of other daemons. Below
            # this daemon's fair share, requests of other daemons do not count.
            return True
        return self._count_load(view, now) < view.concurrency

    def _count_load(self, view: TargetView, now: float) -> float:
        others = view.load.estimate_others(now, self._settings.report_decay)
        return view.load.own + others

    def _compute_load(
        self, view: TargetView, query: PlacementQuery, now: float
    ) -> float:
        """Return the load that competes with the request, per slot of the target."""
        if query.is_top_class:
            # The target runs the top class before its other requests.
            return view.top_class_requests / view.concurrency
        return self._count_load(view, now) / view.concurrency

    def _count_pending_prefill(self, view: TargetView, query: PlacementQuery) -> int:
        """Return the tokens pending prefill that precede the request."""
        pending = (
            self._attempts[request_id].query for request_id in view.awaiting_first_token
        )
        return sum(entry.size for entry in pending if entry.priority <= query.priority)

    def _is_overloaded(
        self,
        preferred: TargetView,
        query: PlacementQuery,
        free: list[TargetView],
        now: float,
    ) -> bool:
        mean = sum(self._compute_load(view, query, now) for view in free) / len(free)
        bound = self._settings.affinity_load_factor * mean + 1 / preferred.concurrency
        if self._compute_load(preferred, query, now) > bound:
            return True
        saved = self._settings.affinity_saving * query.size
        minimum = min(self._count_pending_prefill(view, query) for view in free)
        return self._count_pending_prefill(preferred, query) > minimum + saved

    def _get_preferred(self, query: PlacementQuery, accepting: list[TargetView]) -> str:
        key = (query.service, query.model, query.affinity_key)
        cached = None if query.excluded else self._preferred_targets.get(key)
        if cached is not None:
            return cached
        preferred = max(
            (view.target.name for view in accepting),
            key=lambda name: compute_score(query.affinity_key, name),
        )
        if not query.excluded:
            self._cache_preferred(key, preferred)
        return preferred

    def _cache_preferred(self, key: tuple[str, str, bytes], preferred: str) -> None:
        if len(self._preferred_targets) >= MAX_PREFERRED_TARGETS:
            del self._preferred_targets[next(iter(self._preferred_targets))]
        self._preferred_targets[key] = preferred

    def _build_sort_key(
        self, view: TargetView, query: PlacementQuery, now: float
    ) -> tuple[int, float, bool, float]:
        is_other_zone = view.target.zone != self._settings.zone
        pending = self._count_pending_prefill(view, query)
        return (
            pending,
            self._compute_load(view, query, now),
            is_other_zone,
            self._rng.random(),
        )

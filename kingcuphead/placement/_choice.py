"""Choice among targets: the cached prefix, unless it costs more than it saves."""

import random
from collections.abc import Mapping

from kingcuphead.placement._affinity import compute_score
from kingcuphead.placement._messages import PlacementQuery
from kingcuphead.placement._settings import PlacementSettings
from kingcuphead.placement._views import Attempt, TargetView
from kingcuphead.records import Target

#: Affinity keys whose target is kept at hand.
HOMES_KEPT = 4096


class TargetChooser:
    """Ranks the targets that accept a request.

    Parameters
    ----------
    settings : PlacementSettings
        Settings of placement.
    random_source : random.Random
        Breaks ties.
    attempts : mapping of str to Attempt
        Own requests in flight, by request; a live view.
    """

    def __init__(
        self,
        settings: PlacementSettings,
        random_source: random.Random,
        attempts: Mapping[str, Attempt],
    ) -> None:
        self._settings = settings
        self._random = random_source
        self._attempts = attempts
        self._homes: dict[tuple[str, str, bytes], str] = {}
        self.peers = 1

    def forget_homes(self) -> None:
        """Rank the targets anew, after one has come or gone."""
        self._homes.clear()

    def choose_home(
        self, query: PlacementQuery, accepting: list[TargetView], now: float
    ) -> Target | None:
        """Return the target that the affinity key names, if it has room.

        It has room while it has a slot and is not loaded so much more than the
        others that the prefix it caches is not worth the wait.
        """
        if not query.affinity_key or not accepting:
            return None
        name = self._find_home(query, accepting)
        home = next((view for view in accepting if view.target.name == name), None)
        if home is None or not self.has_slot(home, query, now):
            return None
        free = [view for view in accepting if self.has_slot(view, query, now)]
        is_crowded = self._is_crowded(home, query, free, now)
        return None if is_crowded else home.target

    def choose_least(
        self, query: PlacementQuery, accepting: list[TargetView], now: float
    ) -> Target | None:
        """Return the target that would give the first token soonest."""
        free = [view for view in accepting if self.has_slot(view, query, now)]
        best = min(free, key=lambda view: self._rate(view, query, now), default=None)
        return best.target if best else None

    def has_slot(self, view: TargetView, query: PlacementQuery, now: float) -> bool:
        """Tell whether the target has a slot for the request."""
        if not view.has_room(query):
            return False
        if query.is_suspect and view.suspects:
            # Two suspects on one target could not be told apart.
            return False
        if query.is_first or view.load.own < view.concurrency / self.peers:
            # A target puts the first class before what others run there.
            return True
        return self._count_load(view, now) < view.concurrency

    def _count_load(self, view: TargetView, now: float) -> float:
        others = view.load.estimate_others(now, self._settings.report_decay)
        return view.load.own + others

    def _compute_load(
        self, view: TargetView, query: PlacementQuery, now: float
    ) -> float:
        """Return the load that the request would meet, relative to the slots."""
        if query.is_first:
            # What others run makes way for the first class.
            return view.firsts / view.concurrency
        return self._count_load(view, now) / view.concurrency

    def _count_pending(self, view: TargetView, query: PlacementQuery) -> int:
        """Return the tokens that the target takes in before the request's own."""
        pending = (self._attempts[request_id].query for request_id in view.unstarted)
        return sum(entry.size for entry in pending if entry.priority <= query.priority)

    def _is_crowded(
        self,
        home: TargetView,
        query: PlacementQuery,
        free: list[TargetView],
        now: float,
    ) -> bool:
        mean = sum(self._compute_load(view, query, now) for view in free) / len(free)
        bound = self._settings.affinity_load_factor * mean + 1 / home.concurrency
        if self._compute_load(home, query, now) > bound:
            return True
        saved = self._settings.affinity_saving * query.size
        least = min(self._count_pending(view, query) for view in free)
        return self._count_pending(home, query) > least + saved

    def _find_home(self, query: PlacementQuery, accepting: list[TargetView]) -> str:
        key = (query.service, query.model, query.affinity_key)
        known = None if query.excluded else self._homes.get(key)
        if known is not None:
            return known
        home = max(
            (view.target.name for view in accepting),
            key=lambda name: compute_score(query.affinity_key, name),
        )
        if not query.excluded:
            self._remember_home(key, home)
        return home

    def _remember_home(self, key: tuple[str, str, bytes], home: str) -> None:
        if len(self._homes) >= HOMES_KEPT:
            del self._homes[next(iter(self._homes))]
        self._homes[key] = home

    def _rate(
        self, view: TargetView, query: PlacementQuery, now: float
    ) -> tuple[int, float, bool, float]:
        is_far = view.target.zone != self._settings.zone
        pending = self._count_pending(view, query)
        return (
            pending,
            self._compute_load(view, query, now),
            is_far,
            self._random.random(),
        )

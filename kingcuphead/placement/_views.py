"""What one daemon knows of each target, and of its own requests there."""

import dataclasses
import math
from typing import Any

from kingcuphead.placement._limit import AdaptiveLimit
from kingcuphead.placement._liveness import Liveness
from kingcuphead.placement._load import TargetLoad
from kingcuphead.placement._messages import PlacementQuery
from kingcuphead.records import Target

#: Guards whole numbers of slots against rounding.
EPSILON_SLOTS = 1e-9


@dataclasses.dataclass(frozen=True, slots=True)
class Attempt:
    """One request that runs on a target."""

    #: Target that runs it.
    target: str
    #: What it needs.
    query: PlacementQuery
    #: When it was placed, in seconds.
    placed_at: float
    #: When its first token came; None before.
    started_at: float | None = None

    def with_changes(self, **changes: Any) -> "Attempt":
        """Return a copy with the named fields replaced."""
        return dataclasses.replace(self, **changes)


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
    #: Own requests in flight that may have crashed a target before.
    suspects: int = 0
    #: Own requests in flight that belong to the first class.
    firsts: int = 0
    #: Own requests in flight without a first token.
    unstarted: frozenset[str] = frozenset()

    def with_changes(self, **changes: Any) -> "TargetView":
        """Return a copy with the named fields replaced."""
        return dataclasses.replace(self, **changes)

    @property
    def concurrency(self) -> int:
        """Most requests that may run on the target."""
        return max(1, self.target.concurrency)

    @property
    def most_slots(self) -> int:
        """Greatest value of `slots`, and the bound on the first class alone."""
        slots = math.ceil(self.limit.ceiling - EPSILON_SLOTS)
        return min(self.concurrency, max(1, slots))

    def has_room(self, query: PlacementQuery) -> bool:
        """Tell whether one more request stays within the target's limits."""
        if self.load.own >= self.concurrency:
            return False
        if query.is_first:
            return self.firsts < self.most_slots
        return self.load.own < self.slots

    @property
    def slots(self) -> int:
        """Most requests of this daemon outside the first class that may run there."""
        return min(self.most_slots, max(1, math.ceil(self.limit.value - EPSILON_SLOTS)))

    def serves(self, service: str, model: str) -> bool:
        """Tell whether the target does this work."""
        is_model_served = not model or model in self.target.models
        return self.target.service == service and is_model_served

    def with_begun(
        self, request_id: str, query: PlacementQuery, now: float
    ) -> "TargetView":
        """Return a copy that runs one more request."""
        return self.with_changes(
            load=self.load.with_own(self.load.own + 1, now),
            suspects=self.suspects + query.is_suspect,
            firsts=self.firsts + query.is_first,
            unstarted=self.unstarted | {request_id},
        )

    def with_ended(
        self, request_id: str, query: PlacementQuery, now: float
    ) -> "TargetView":
        """Return a copy that runs one request less."""
        return self.with_changes(
            load=self.load.with_own(self.load.own - 1, now),
            suspects=self.suspects - query.is_suspect,
            firsts=self.firsts - query.is_first,
            unstarted=self.unstarted - {request_id},
        )

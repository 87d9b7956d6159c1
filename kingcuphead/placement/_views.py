"""State of each target in one daemon, with the daemon's requests on it."""

import dataclasses
import math
from typing import Any

from kingcuphead.placement._limit import AdaptiveLimit
from kingcuphead.placement._liveness import Liveness
from kingcuphead.placement._load import TargetLoad
from kingcuphead.placement._messages import PlacementQuery
from kingcuphead.records import Target

#: Tolerance for rounding errors in fractional slots.
EPSILON_SLOTS = 1e-9


@dataclasses.dataclass(frozen=True, slots=True)
class Attempt:
    """One request in flight on a target."""

    #: Target that runs it.
    target: str
    #: Requirements under which the target was chosen.
    query: PlacementQuery
    #: When it was placed, in seconds on the monotonic clock.
    placed_at: float
    #: When its first token arrived, in seconds on the monotonic clock; None before.
    first_token_at: float | None = None

    def with_changes(self, **changes: Any) -> "Attempt":
        """Return a copy with the named fields replaced."""
        return dataclasses.replace(self, **changes)


@dataclasses.dataclass(frozen=True, slots=True)
class TargetView:
    """State of one target in this daemon."""

    #: Configuration record; the last one if the configuration dropped the target.
    target: Target
    #: State and probes, which decide whether it accepts new requests.
    liveness: Liveness
    #: Requests running on it, own and of other daemons.
    load: TargetLoad
    #: Adaptive limit on own requests in flight.
    limit: AdaptiveLimit
    #: Number of own requests in flight that may have crashed a target before.
    suspect_requests: int = 0
    #: Number of own requests in flight that belong to the top class.
    top_class_requests: int = 0
    #: Ids of own requests in flight that have no first token yet.
    awaiting_first_token: frozenset[str] = frozenset()

    def with_changes(self, **changes: Any) -> "TargetView":
        """Return a copy with the named fields replaced."""
        return dataclasses.replace(self, **changes)

    @property
    def concurrency(self) -> int:
        """Maximum requests of all daemons that run on the target at once."""
        return max(1, self.target.concurrency)

    @property
    def max_slots(self) -> int:
        """Upper bound of `slots`, and limit on the top class alone."""
        slots = math.ceil(self.limit.ceiling - EPSILON_SLOTS)
        return min(self.concurrency, max(1, slots))

    def has_capacity(self, query: PlacementQuery) -> bool:
        """Return whether one more request stays within the target's limits."""
        if self.load.own >= self.concurrency:
            return False
        if query.is_top_class:
            return self.top_class_requests < self.max_slots
        return self.load.own < self.slots

    @property
    def slots(self) -> int:
        """Limit on own requests in flight that applies to classes below the top one."""
        return min(self.max_slots, max(1, math.ceil(self.limit.value - EPSILON_SLOTS)))

    def supports(self, service: str, model: str) -> bool:
        """Return whether the target serves a service and model."""
        is_model_served = not model or model in self.target.models
        return self.target.service == service and is_model_served

    def with_attempt_added(
        self, request_id: str, query: PlacementQuery, now: float
    ) -> "TargetView":
        """Return a copy with one more request in flight."""
        return self.with_changes(
            load=self.load.with_own(self.load.own + 1, now),
            suspect_requests=self.suspect_requests + query.is_suspect,
            top_class_requests=self.top_class_requests + query.is_top_class,
            awaiting_first_token=self.awaiting_first_token | {request_id},
        )

    def with_attempt_removed(
        self, request_id: str, query: PlacementQuery, now: float
    ) -> "TargetView":
        """Return a copy with one request less in flight."""
        return self.with_changes(
            load=self.load.with_own(self.load.own - 1, now),
            suspect_requests=self.suspect_requests - query.is_suspect,
            top_class_requests=self.top_class_requests - query.is_top_class,
            awaiting_first_token=self.awaiting_first_token - {request_id},
        )

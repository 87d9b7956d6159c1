"""Load of one target: own requests first, lagging reports as a correction."""

import dataclasses
import math
from typing import Any

#: Seconds for which own counts are kept, to set against a report's time.
HISTORY_SECONDS = 10.0


@dataclasses.dataclass(frozen=True, slots=True)
class LoadSample:
    """Own requests in flight from a point in time on."""

    #: Seconds on the monotonic clock.
    at: float
    #: Requests in flight.
    count: int


@dataclasses.dataclass(frozen=True, slots=True)
class TargetLoad:
    """Requests that a target runs for this daemon and, by report, for others."""

    #: Own requests in flight.
    own: int = 0
    #: Own counts of the last seconds, oldest first.
    history: tuple[LoadSample, ...] = ()
    #: Requests of other daemons at the time of the last report.
    others: int = 0
    #: Requests that waited inside the target at the time of the last report.
    waiting: int = 0
    #: Time that the last report describes.
    reported_at: float = float("-inf")

    def with_changes(self, **changes: Any) -> "TargetLoad":
        """Return a copy with the named fields replaced."""
        return dataclasses.replace(self, **changes)

    def with_own(self, own: int, now: float) -> "TargetLoad":
        """Note a change of the own count."""
        kept = tuple(
            sample for sample in self.history if now - sample.at <= HISTORY_SECONDS
        )
        return self.with_changes(own=own, history=(*kept, LoadSample(now, own)))

    def with_report(
        self, running: int, waiting: int, observed_at: float
    ) -> "TargetLoad":
        """Take in a report, unless a later one stands already."""
        if observed_at <= self.reported_at:
            return self
        own_then = self._get_own_at(observed_at)
        return self.with_changes(
            others=max(0, running + waiting - own_then),
            waiting=waiting,
            reported_at=observed_at,
        )

    def estimate_others(self, now: float, decay: float) -> float:
        """Return the requests of other daemons, faded with the report's age."""
        age = max(0.0, now - self.reported_at)
        return self.others * math.exp(-age / decay)

    def _get_own_at(self, time: float) -> int:
        earlier = (sample.count for sample in self.history if sample.at <= time)
        *_, last = (0, *earlier)
        return last

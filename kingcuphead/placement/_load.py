"""Load of one target: exact own requests, corrected by lagging load reports."""

import dataclasses
import math
from typing import Any

#: Seconds of own counts kept, to find the count at the time of a report.
HISTORY_SECONDS = 10.0


@dataclasses.dataclass(frozen=True, slots=True)
class LoadSample:
    """Own requests in flight from a point in time until the next sample."""

    #: Seconds on the monotonic clock.
    at: float
    #: Own requests in flight on the target.
    count: int


@dataclasses.dataclass(frozen=True, slots=True)
class TargetLoad:
    """Requests of this daemon on a target, and those of others as last reported."""

    #: Own requests in flight.
    own: int = 0
    #: Own counts of the last `HISTORY_SECONDS`, oldest first.
    history: tuple[LoadSample, ...] = ()
    #: Requests of other daemons at the time of the last report.
    others: int = 0
    #: Requests queued inside the target at the time of the last report.
    waiting: int = 0
    #: Time that the last report describes, in seconds on the monotonic clock.
    reported_at: float = float("-inf")

    def with_changes(self, **changes: Any) -> "TargetLoad":
        """Return a copy with the named fields replaced."""
        return dataclasses.replace(self, **changes)

    def with_own(self, own: int, now: float) -> "TargetLoad":
        """Return a copy with a new count of own requests."""
        recent = tuple(
            sample for sample in self.history if now - sample.at <= HISTORY_SECONDS
        )
        return self.with_changes(own=own, history=(*recent, LoadSample(now, own)))

    def with_report(
        self, running: int, waiting: int, observed_at: float
    ) -> "TargetLoad":
        """Return a copy updated with a report; ignore a report that is not newer."""
        if observed_at <= self.reported_at:
            return self
        own_then = self._get_own_at(observed_at)
        return self.with_changes(
            others=max(0, running + waiting - own_then),
            waiting=waiting,
            reported_at=observed_at,
        )

    def estimate_others(self, now: float, decay: float) -> float:
        """Return the requests of other daemons, decayed by the age of the report.

        The decay is exponential, with `decay` as its time constant in seconds.
        """
        age = max(0.0, now - self.reported_at)
        return self.others * math.exp(-age / decay)

    def _get_own_at(self, time: float) -> int:
        earlier = (sample.count for sample in self.history if sample.at <= time)
        *_, last = (0, *earlier)
        return last

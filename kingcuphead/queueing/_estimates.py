"""Observed service times of one class: slot time and time to first token."""

import dataclasses
from typing import Any

#: Weight of a new observation in the means.
WEIGHT = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceEstimate:
    """Means over the requests of one class on one kind of target."""

    #: Mean time for which a request holds its slot, in seconds.
    hold: float
    #: Mean size of those requests, in tokens; 0 before the first.
    size: float = 0.0
    #: Mean time from placement to the first token, in seconds.
    first_token: float = 0.0

    def with_changes(self, **changes: Any) -> "ServiceEstimate":
        """Return a copy with the named fields replaced."""
        return dataclasses.replace(self, **changes)

    def with_finish(self, hold: float, size: int) -> "ServiceEstimate":
        """Take in a request that held its slot for `hold` seconds."""
        if not self.size:
            return self.with_changes(hold=hold, size=float(max(1, size)))
        return self.with_changes(
            hold=self.hold + WEIGHT * (hold - self.hold),
            size=self.size + WEIGHT * (max(1, size) - self.size),
        )

    def with_first_token(self, seconds: float) -> "ServiceEstimate":
        """Take in a time to first token."""
        if not self.first_token:
            return self.with_changes(first_token=seconds)
        mean = self.first_token + WEIGHT * (seconds - self.first_token)
        return self.with_changes(first_token=mean)

    def estimate_hold(self, size: float) -> float:
        """Return the seconds for which a request of `size` tokens holds a slot."""
        if not self.size:
            return self.hold
        return self.hold * size / self.size

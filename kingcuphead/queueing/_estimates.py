"""Estimates of service times: slot time and time to first token."""

import dataclasses
from typing import Any

#: Weight of a new observation in the exponential moving averages.
EWMA_WEIGHT = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceEstimate:
    """Moving averages over the requests of one class in one lane."""

    #: Mean time for which a request occupies its slot, in seconds.
    slot_seconds: float
    #: Mean size of those requests, in tokens; 0 before the first completion.
    size: float = 0.0
    #: Mean time from placement to the first token, in seconds; 0 before the first.
    first_token_seconds: float = 0.0

    def with_changes(self, **changes: Any) -> "ServiceEstimate":
        """Return a copy with the named fields replaced."""
        return dataclasses.replace(self, **changes)

    def with_completion(self, slot_seconds: float, size: int) -> "ServiceEstimate":
        """Return a copy updated with a completed request of `size` tokens."""
        if not self.size:
            return self.with_changes(
                slot_seconds=slot_seconds, size=float(max(1, size))
            )
        return self.with_changes(
            slot_seconds=self.slot_seconds
            + EWMA_WEIGHT * (slot_seconds - self.slot_seconds),
            size=self.size + EWMA_WEIGHT * (max(1, size) - self.size),
        )

    def with_first_token(self, seconds: float) -> "ServiceEstimate":
        """Return a copy updated with a time to first token."""
        if not self.first_token_seconds:
            return self.with_changes(first_token_seconds=seconds)
        mean = self.first_token_seconds + EWMA_WEIGHT * (
            seconds - self.first_token_seconds
        )
        return self.with_changes(first_token_seconds=mean)

    def estimate_slot_seconds(self, size: float) -> float:
        """Return the expected slot time of `size` tokens, in seconds."""
        if not self.size:
            return self.slot_seconds
        return self.slot_seconds * size / self.size

"""Adaptive limit on one daemon's requests in flight at one target."""

import dataclasses
from typing import Any

from kingcuphead.placement._settings import PlacementSettings

#: Weight of a sample in the fast mean of the time to first token.
FAST_WEIGHT = 0.2
#: Weight of a sample in the slow mean of the time to first token.
SLOW_WEIGHT = 0.01
#: Samples before the two means are compared.
LEAST_SAMPLES = 20
#: Tokens added to a request's size, for the part of the time that size doesn't drive.
BASE_TOKENS = 256


@dataclasses.dataclass(frozen=True, slots=True)
class AdaptiveLimit:
    """Additive increase, multiplicative decrease of a target's slots.

    The limit is a fraction where many daemons share one target: the sum over
    targets bounds the daemon, and the ceiling of each bounds the target.
    """

    #: Slots of this daemon at the target.
    value: float
    #: Least value, in slots.
    floor: float
    #: Greatest value, in slots.
    ceiling: float
    #: Fast mean of the time to first token, in seconds per token.
    fast_mean: float = 0.0
    #: Slow mean of the time to first token, in seconds per token.
    slow_mean: float = 0.0
    #: Samples seen.
    samples: int = 0
    #: When the limit last fell.
    decreased_at: float = float("-inf")

    def with_changes(self, **changes: Any) -> "AdaptiveLimit":
        """Return a copy with the named fields replaced."""
        return dataclasses.replace(self, **changes)

    def with_bounds(self, floor: float, ceiling: float) -> "AdaptiveLimit":
        """Return a copy within new bounds."""
        value = min(max(self.value, floor), ceiling)
        return self.with_changes(value=value, floor=floor, ceiling=ceiling)

    def with_first_token(
        self,
        seconds: float,
        size: int,
        in_flight: int,
        now: float,
        settings: PlacementSettings,
    ) -> "AdaptiveLimit":
        """Take in the time to the first token of a request of `size` tokens."""
        sampled = self._with_sample(seconds / (size + BASE_TOKENS))
        if sampled._is_slower(settings.congestion_ratio):
            return sampled.with_congestion(now, settings)
        # A limit that is not used says nothing about what the target can bear.
        if in_flight + 1 < self.value:
            return sampled
        return sampled._with_increase(settings)

    def with_congestion(
        self, now: float, settings: PlacementSettings
    ) -> "AdaptiveLimit":
        """Lower the limit, at most once in each cooldown."""
        if now - self.decreased_at < settings.limit_cooldown:
            return self
        value = max(self.floor, self.value * settings.limit_decrease)
        return self.with_changes(value=value, decreased_at=now)

    def with_excess(
        self, excess: float, now: float, settings: PlacementSettings
    ) -> "AdaptiveLimit":
        """Lower the limit by the ratio of a target's load to its slots.

        Every daemon that shares the target lowers its own by the same ratio.
        """
        if now - self.decreased_at < settings.limit_cooldown:
            return self
        value = max(self.floor, self.value * max(1 / excess, settings.limit_decrease))
        return self.with_changes(value=value, decreased_at=now)

    def with_restart(self) -> "AdaptiveLimit":
        """Return to the floor, as after a recovery."""
        return AdaptiveLimit(value=self.floor, floor=self.floor, ceiling=self.ceiling)

    def _with_sample(self, sample: float) -> "AdaptiveLimit":
        if not self.samples:
            return self.with_changes(fast_mean=sample, slow_mean=sample, samples=1)
        return self.with_changes(
            fast_mean=self.fast_mean + FAST_WEIGHT * (sample - self.fast_mean),
            slow_mean=self.slow_mean + SLOW_WEIGHT * (sample - self.slow_mean),
            samples=self.samples + 1,
        )

    def _is_slower(self, ratio: float) -> bool:
        if self.samples < LEAST_SAMPLES:
            return False
        return self.fast_mean > ratio * self.slow_mean

    def _with_increase(self, settings: PlacementSettings) -> "AdaptiveLimit":
        step = settings.limit_increase / max(1.0, self.value)
        return self.with_changes(value=min(self.ceiling, self.value + step))

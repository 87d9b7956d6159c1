"""Adaptive limit on one daemon's requests in flight at one target."""

import dataclasses
from typing import Any

from kingcuphead.placement._settings import PlacementSettings

#: Weight of a sample in the fast moving average of the time to first token.
FAST_WEIGHT = 0.2
#: Weight of a sample in the slow moving average of the time to first token.
SLOW_WEIGHT = 0.01
#: Samples required before the two averages are compared.
MIN_SAMPLES = 20
#: Tokens added to a request's size, for the time that does not depend on the size.
BASE_TOKENS = 256


@dataclasses.dataclass(frozen=True, slots=True)
class AdaptiveLimit:
    """Limit on a target's slots, with additive increase, multiplicative decrease.

    The limit may be fractional if many daemons share one target: the sum over all
    targets bounds the requests of the daemon, and each ceiling bounds those on one
    target.
    """

    #: Slots of this daemon on the target.
    value: float
    #: Lower bound of `value`, in slots.
    floor: float
    #: Upper bound of `value`, in slots.
    ceiling: float
    #: Fast moving average of the time to first token, in seconds per token.
    fast_mean: float = 0.0
    #: Slow moving average of the time to first token, in seconds per token.
    slow_mean: float = 0.0
    #: Number of samples in the averages.
    samples: int = 0
    #: Time of the last decrease, in seconds on the monotonic clock.
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
        """Return a copy adjusted for a time to first token.

        Parameters
        ----------
        seconds : float
            Time from placement to the first token.
        size : int
            Size of the request, in tokens.
        in_flight : int
            Own requests in flight on the target.
        now : float
            Seconds on the monotonic clock.
        settings : PlacementSettings
            Congestion threshold and step sizes.
        """
        sampled = self._with_sample(seconds / (size + BASE_TOKENS))
        if sampled._is_congested(settings.congestion_ratio):
            return sampled.with_congestion(now, settings)
        # Below the limit, a fast answer is no evidence of capacity for more requests.
        if in_flight + 1 < self.value:
            return sampled
        return sampled._with_increase(settings)

    def with_congestion(
        self, now: float, settings: PlacementSettings
    ) -> "AdaptiveLimit":
        """Return a copy with a lower limit, at most once per cooldown."""
        if now - self.decreased_at < settings.limit_cooldown:
            return self
        value = max(self.floor, self.value * settings.limit_decrease)
        return self.with_changes(value=value, decreased_at=now)

    def with_overload(
        self, load_ratio: float, now: float, settings: PlacementSettings
    ) -> "AdaptiveLimit":
        """Return a copy with the limit divided by a ratio, at most once per cooldown.

        `load_ratio` is the target's load relative to its allowed load. Every daemon
        that shares the target applies the same ratio. One step never lowers the limit
        below `limit_decrease` times its value.
        """
        if now - self.decreased_at < settings.limit_cooldown:
            return self
        value = max(
            self.floor, self.value * max(1 / load_ratio, settings.limit_decrease)
        )
        return self.with_changes(value=value, decreased_at=now)

    def with_reset(self) -> "AdaptiveLimit":
        """Return a copy at the floor and without samples, for a recovered target."""
        return AdaptiveLimit(value=self.floor, floor=self.floor, ceiling=self.ceiling)

    def _with_sample(self, sample: float) -> "AdaptiveLimit":
        if not self.samples:
            return self.with_changes(fast_mean=sample, slow_mean=sample, samples=1)
        return self.with_changes(
            fast_mean=self.fast_mean + FAST_WEIGHT * (sample - self.fast_mean),
            slow_mean=self.slow_mean + SLOW_WEIGHT * (sample - self.slow_mean),
            samples=self.samples + 1,
        )

    def _is_congested(self, ratio: float) -> bool:
        if self.samples < MIN_SAMPLES:
            return False
        return self.fast_mean > ratio * self.slow_mean

    def _with_increase(self, settings: PlacementSettings) -> "AdaptiveLimit":
        step = settings.limit_increase / max(1.0, self.value)
        return self.with_changes(value=min(self.ceiling, self.value + step))

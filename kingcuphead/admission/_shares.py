"""Shares of the demand that are admitted and refused, by rank and by size."""

import dataclasses
import math
from collections.abc import Iterable, Iterator

#: Time constant in seconds of the counts' exponential decay.
DECAY_SECONDS = 2.0
#: Seconds for which a refusal of a rank counts as beside the requests of others.
REFUSAL_LIFETIME = 0.5
#: Least share of the rate of admissions that is counted on for a rank.
MIN_RATE_SHARE = 0.05
#: Size in units of the mean size from which on a request is large.
LARGE_SIZES = 2.0
#: Weight of the newest request in the mean size.
SIZE_WEIGHT = 0.02
#: Share of the demand of large requests that is admitted, in units of the share of the
#: others, below which large ones go first.
MIN_LARGE_SHARE = 0.8


@dataclasses.dataclass(slots=True)
class Counts:
    """Requests of the last seconds; earlier ones count less."""

    #: Requests that arrived.
    arrived: float = 0.0
    #: Requests that were admitted.
    admitted: float = 0.0
    #: Requests that were refused.
    refused: float = 0.0
    #: Time in seconds of the last refusal.
    refused_at: float = float("-inf")
    #: Time in seconds of the last decay.
    updated_at: float = 0.0

    @property
    def admitted_share(self) -> float:
        """Share of the demand that was admitted."""
        return self.admitted / max(1.0, self.arrived)

    @property
    def refused_share(self) -> float:
        """Share of the demand that was refused."""
        return self.refused / max(1.0, self.arrived)

    def advance(self, now: float) -> None:
        """Let earlier requests count less."""
        decay = math.exp(-max(0.0, now - self.updated_at) / DECAY_SECONDS)
        self.arrived *= decay
        self.admitted *= decay
        self.refused *= decay
        self.updated_at = now


class RankShares:
    """Compares what the ranks of one service get; does no I/O."""

    def __init__(self) -> None:
        self._counts: dict[int, Counts] = {}

    def record_arrival(self, rank: int, now: float) -> None:
        """Count a request that arrived."""
        self._get(rank, now).arrived += 1

    def record_admission(self, rank: int, now: float) -> None:
        """Count a request that was admitted."""
        self._get(rank, now).admitted += 1

    def record_refusal(self, rank: int, now: float) -> None:
        """Count a request that was refused."""
        counts = self._get(rank, now)
        counts.refused += 1
        counts.refused_at = now

    def may_overtake(self, rank: int, waiting: Iterable[int], now: float) -> bool:
        """Return whether a rank is admitted less than each more urgent one that waits.

        Only then may one of its requests go ahead of those.
        """
        own = self._get(rank, now).admitted_share
        return all(
            self._get(other, now).admitted_share > own
            for other in waiting
            if other < rank
        )

    def is_refused_less(self, rank: int, now: float) -> bool:
        """Return whether a more urgent rank is refused a larger share of its demand."""
        own = self._get(rank, now).refused_share
        return any(
            counts.refused_share > own
            for counts in self._iterate_above(rank, now)
            if now - counts.refused_at < REFUSAL_LIFETIME
        )

    def compute_rate_share(self, rank: int, now: float) -> float:
        """Return the share of the admissions that more urgent ranks leave to a rank."""
        above = sum(counts.admitted for counts in self._iterate_above(rank, now))
        total = sum(counts.admitted for counts in self._counts.values())
        return max(MIN_RATE_SHARE, 1 - above / max(1.0, total))

    def _iterate_above(self, rank: int, now: float) -> Iterator[Counts]:
        for other in self._counts:
            if other < rank:
                yield self._get(other, now)

    def _get(self, rank: int, now: float) -> Counts:
        counts = self._counts.setdefault(rank, Counts(updated_at=now))
        counts.advance(now)
        return counts


class SizeShares:
    """Compares what large requests of one service get with the others; does no I/O."""

    def __init__(self) -> None:
        self._mean_size = 0.0
        self._large = Counts()
        self._others = Counts()

    def record_arrival(self, size: int, now: float) -> None:
        """Count a request that arrived."""
        weight = SIZE_WEIGHT if self._mean_size else 1.0
        self._mean_size += weight * (size - self._mean_size)
        self._get(size, now).arrived += 1

    def record_admission(self, size: int, now: float) -> None:
        """Count a request that was admitted."""
        self._get(size, now).admitted += 1

    def is_neglected(self, size: int) -> bool:
        """Return whether a request is large and large ones are admitted too seldom."""
        if not self._is_large(size):
            return False
        share = MIN_LARGE_SHARE * self._others.admitted_share
        return self._large.admitted_share < share

    def _is_large(self, size: int) -> bool:
        return size > LARGE_SIZES * self._mean_size

    def _get(self, size: int, now: float) -> Counts:
        self._large.advance(now)
        self._others.advance(now)
        return self._large if self._is_large(size) else self._others

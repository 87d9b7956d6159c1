"""Shares of the demand of each rank that are admitted and refused."""

import dataclasses
import math
from collections.abc import Iterable

#: Time constant in seconds of the counts' exponential decay.
DECAY_SECONDS = 2.0
#: Seconds for which a refusal of a rank counts as beside the requests of others.
REFUSAL_LIFETIME = 0.5


@dataclasses.dataclass(slots=True)
class _Counts:
    arrived: float = 0.0
    admitted: float = 0.0
    refused: float = 0.0
    refused_at: float = float("-inf")
    updated_at: float = 0.0

    def advance(self, now: float) -> None:
        decay = math.exp(-max(0.0, now - self.updated_at) / DECAY_SECONDS)
        self.arrived *= decay
        self.admitted *= decay
        self.refused *= decay
        self.updated_at = now


class RankShares:
    """Compares what the ranks of one service get; does no I/O."""

    def __init__(self) -> None:
        self._counts: dict[int, _Counts] = {}

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
        own = self._compute_admitted(rank, now)
        return all(
            self._compute_admitted(other, now) > own
            for other in waiting
            if other < rank
        )

    def is_refused_less(self, rank: int, now: float) -> bool:
        """Return whether a more urgent rank is refused a larger share of its demand."""
        own = self._compute_refused(rank, now)
        return any(
            self._compute_refused(other, now) > own
            for other, counts in self._counts.items()
            if other < rank and now - counts.refused_at < REFUSAL_LIFETIME
        )

    def _compute_admitted(self, rank: int, now: float) -> float:
        counts = self._get(rank, now)
        return counts.admitted / max(1.0, counts.arrived)

    def _compute_refused(self, rank: int, now: float) -> float:
        counts = self._get(rank, now)
        return counts.refused / max(1.0, counts.arrived)

    def _get(self, rank: int, now: float) -> _Counts:
        counts = self._counts.setdefault(rank, _Counts(updated_at=now))
        counts.advance(now)
        return counts

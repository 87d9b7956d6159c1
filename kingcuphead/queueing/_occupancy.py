"""Slots occupied by each class, and limits on them."""

import dataclasses
import math
from collections import Counter
from collections.abc import Mapping

from kingcuphead.queueing._backlog import Lane, get_work_class
from kingcuphead.records import WorkClass


@dataclasses.dataclass(frozen=True, slots=True)
class OccupancyKey:
    """Key under which occupied slots are counted."""

    #: Lane of the requests.
    lane: Lane
    #: Name of the work class.
    work_class: str


class Occupancy:
    """Requests in flight by lane and class.

    A class is limited by its share. The classes of its rank and of less urgent ranks
    (higher numbers) together are limited by the largest share among them, so that the
    remaining slots stay free for more urgent classes.
    """

    def __init__(self) -> None:
        self._counts: Counter[OccupancyKey] = Counter()

    def add(self, lane: Lane, work_class: str) -> None:
        """Count a request that occupies a slot."""
        self._counts[OccupancyKey(lane, work_class)] += 1

    def remove(self, lane: Lane, work_class: str) -> None:
        """Count a request that freed its slot."""
        self._counts[OccupancyKey(lane, work_class)] -= 1
        self._counts += Counter()

    def count(self, lane: Lane) -> int:
        """Return the requests in flight in a lane."""
        return sum(n for entry, n in self._counts.items() if entry.lane == lane)

    def count_above(
        self, lane: Lane, rank: int, classes: Mapping[str, WorkClass]
    ) -> int:
        """Return the requests in flight of the classes more urgent than a rank."""
        return sum(
            number
            for entry, number in self._counts.items()
            if entry.lane == lane
            and get_work_class(classes, entry.work_class).rank < rank
        )

    def count_below(
        self, lane: Lane, rank: int, classes: Mapping[str, WorkClass]
    ) -> int:
        """Return the requests in flight of the classes less urgent than a rank."""
        return self.count(lane) - self.count_above(lane, rank + 1, classes)

    def has_slot(
        self,
        lane: Lane,
        work_class: WorkClass,
        slots: int,
        classes: Mapping[str, WorkClass],
    ) -> bool:
        """Return whether a class may occupy one more of the lane's slots."""
        own = self._counts[OccupancyKey(lane, work_class.name)]
        if own >= count_share(work_class.share, slots):
            return False
        all_classes = [work_class, *classes.values()]
        ranks = {entry.rank for entry in all_classes if entry.rank <= work_class.rank}
        total = self.count(lane)
        # The request also counts in the groups that start at a more urgent rank.
        return all(
            total - self.count_above(lane, rank, classes)
            < count_share(max(e.share for e in all_classes if e.rank >= rank), slots)
            for rank in ranks
        )


def count_share(share: float, slots: int) -> int:
    """Return the number of whole slots in a share, at least one."""
    return max(1, math.floor(share * slots + 1e-9))

"""Slots that classes hold, and how many more each may take."""

import dataclasses
import math
from collections import Counter
from collections.abc import Mapping

from kingcuphead.queueing._backlog import Lane, get_work_class
from kingcuphead.records import WorkClass


@dataclasses.dataclass(frozen=True, slots=True)
class Occupant:
    """A request that holds a slot."""

    #: Kind of work.
    lane: Lane
    #: Name of its class.
    work_class: str


class Occupancy:
    """Requests in flight by lane and class.

    A class is bounded by its share. The classes of its rank and below together
    are bounded by the largest share among them, so that what is left over stays
    free for the classes above.
    """

    def __init__(self) -> None:
        self._counts: Counter[Occupant] = Counter()

    def add(self, lane: Lane, work_class: str) -> None:
        """Count a request that took a slot."""
        self._counts[Occupant(lane, work_class)] += 1

    def remove(self, lane: Lane, work_class: str) -> None:
        """Count a request that freed its slot."""
        self._counts[Occupant(lane, work_class)] -= 1
        self._counts += Counter()

    def count(self, lane: Lane) -> int:
        """Return the requests in flight in a lane."""
        return sum(n for entry, n in self._counts.items() if entry.lane == lane)

    def count_above(
        self, lane: Lane, rank: int, classes: Mapping[str, WorkClass]
    ) -> int:
        """Return the requests in flight of the classes above a rank."""
        return sum(
            number
            for entry, number in self._counts.items()
            if entry.lane == lane
            and get_work_class(classes, entry.work_class).rank < rank
        )

    def count_below(
        self, lane: Lane, rank: int, classes: Mapping[str, WorkClass]
    ) -> int:
        """Return the requests in flight of the classes below a rank."""
        return self.count(lane) - self.count_above(lane, rank + 1, classes)

    def has_slot(
        self,
        lane: Lane,
        work_class: WorkClass,
        slots: int,
        classes: Mapping[str, WorkClass],
    ) -> bool:
        """Tell whether a class may take one more of the lane's slots."""
        own = self._counts[Occupant(lane, work_class.name)]
        if own >= count_share(work_class.share, slots):
            return False
        known = [work_class, *classes.values()]
        ranks = {entry.rank for entry in known if entry.rank <= work_class.rank}
        total = self.count(lane)
        # One more request also counts in the groups of the ranks above its own.
        return all(
            total - self.count_above(lane, rank, classes)
            < count_share(max(e.share for e in known if e.rank >= rank), slots)
            for rank in ranks
        )


def count_share(share: float, slots: int) -> int:
    """Return the whole slots in a share, at least one."""
    return max(1, math.floor(share * slots + 1e-9))

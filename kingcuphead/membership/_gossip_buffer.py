"""Selection of the items that heartbeats carry as gossip."""

import math
from collections.abc import Hashable, Iterable
from typing import Generic, TypeVar

Item = TypeVar("Item")

#: Transmissions of an item for each doubling of the number of members.
TRANSMISSIONS_PER_DOUBLING = 4


class GossipBuffer(Generic[Item]):
    """Bounded buffer of items, each of which is transmitted a limited number of times.

    The limit grows with the logarithm of the number of members, as in SWIM.

    Parameters
    ----------
    capacity
        Maximum number of items. Above it, the item with the most transmissions is
        evicted.
    """

    def __init__(self, capacity: int) -> None:
        self._capacity = capacity
        self._items: dict[Hashable, Item] = {}
        self._transmissions: dict[Hashable, int] = {}

    def add(self, key: Hashable, item: Item) -> None:
        """Add an item with no transmissions, replacing one with the same key."""
        self._items[key] = item
        self._transmissions[key] = 0
        if len(self._items) > self._capacity:
            self._remove(max(self._transmissions, key=self._transmissions.__getitem__))

    def select_batch(self, max_items: int, member_count: int) -> tuple[Item, ...]:
        """Return the items with the fewest transmissions and count one more for each.

        Items that reach the transmission limit are removed.

        Parameters
        ----------
        max_items
            Maximum number of items to return.
        member_count
            Number of members that each item has to reach.
        """
        max_transmissions = TRANSMISSIONS_PER_DOUBLING * max(
            1, math.ceil(math.log2(member_count + 1))
        )
        keys = sorted(self._transmissions, key=self._transmissions.__getitem__)[
            :max_items
        ]
        items = tuple(self._items[key] for key in keys)
        self._count_transmissions(keys, max_transmissions)
        return items

    def _count_transmissions(
        self, keys: Iterable[Hashable], max_transmissions: int
    ) -> None:
        for key in keys:
            self._transmissions[key] += 1
            if self._transmissions[key] >= max_transmissions:
                self._remove(key)

    def _remove(self, key: Hashable) -> None:
        del self._items[key]
        del self._transmissions[key]

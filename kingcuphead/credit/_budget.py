"""One organisation's budget in the store, divided into shards.

Many daemons allocate credit of one budget at the same time. Each transaction changes
one shard, or few, so that it seldom conflicts with those of other daemons.
"""

import dataclasses
import functools
import math
import random
from collections.abc import Iterator, Mapping

import msgspec

from kingcuphead.credit._messages import ShardRow
from kingcuphead.frozen import frozen
from kingcuphead.storage import ABSENT

#: Number of shards of each budget. The transaction that replaces all shard rows of an
#: earlier era has about four entries per shard, and the store allows 100.
SHARD_COUNT = 24


@frozen
class Shard:
    """A cached shard row."""

    #: Contents of the row.
    row: ShardRow = ShardRow()
    #: Version of the row; `ABSENT` if it does not exist.
    version: int = ABSENT


@frozen
class Limit:
    """Prepaid tokens of a configuration version."""

    #: Tokens.
    tokens: int
    #: Version of the configuration.
    version: int
    #: Tokens of it that are not allocated.
    margin: int = 0

    def get_share(self, index: int) -> int:
        """Return the tokens of one shard; those of all shards add up to the limit."""
        return (self.tokens + index) // SHARD_COUNT

    def get_allocatable_share(self, index: int) -> int:
        """Return the tokens of one shard that may be allocated."""
        return self.get_share(index) - math.ceil(self.margin / SHARD_COUNT)


# Without slots, because `cached_property` needs a dictionary.
@dataclasses.dataclass(frozen=True)
class Budget:
    """Cached shards of a budget; totals are added up once."""

    #: The shards, by index.
    shards: tuple[Shard, ...] = (Shard(),) * SHARD_COUNT

    @functools.cached_property
    def charged(self) -> int:
        """Tokens allocated to daemons, spent ones included, less those returned."""
        return sum(shard.row.charged for shard in self.shards)

    @functools.cached_property
    def settled(self) -> int:
        """Tokens recorded as spent."""
        return sum(shard.row.settled for shard in self.shards)

    @functools.cached_property
    def opened_ms(self) -> int:
        """Store's time at which the rows replaced those of an earlier era; or 0."""
        return max(shard.row.opened_ms for shard in self.shards)

    @functools.cached_property
    def newest(self) -> ShardRow:
        """The row with the newest limit."""
        return max(
            (each.row for each in self.shards), key=lambda row: row.limit_version
        )

    @functools.cached_property
    def exists(self) -> bool:
        """Whether any row of the budget exists in the current era."""
        return any(shard.version != ABSENT for shard in self.shards)

    def with_shards(self, changed: Mapping[int, Shard]) -> "Budget":
        """Return a copy with some shards replaced."""
        return Budget(
            tuple(changed.get(index, each) for index, each in enumerate(self.shards))
        )

    def count_unallocated(self, limit: Limit) -> int:
        """Return the tokens that may be allocated."""
        unallocated = self._unallocated.get(limit)
        if unallocated is None:
            room = sum(self._get_room(index, limit) for index in range(SHARD_COUNT))
            unallocated = max(0, min(room, limit.tokens - limit.margin - self.charged))
            self._unallocated[limit] = unallocated
        return unallocated

    @functools.cached_property
    def _unallocated(self) -> dict[Limit, int]:
        """Results of `count_unallocated`."""
        return {}

    def has_overdrawn_shard(self, limit: Limit) -> bool:
        """Whether a shard has more allocated than its share, after a lowered limit.

        The room in the other shards is then not independent of it.
        """
        return any(
            shard.row.charged > limit.get_share(index)
            for index, shard in enumerate(self.shards)
        )

    def change(
        self, allocated: int, settled: int, limit: Limit, rng: random.Random
    ) -> dict[int, ShardRow]:
        """Return the shard rows that a transaction writes, by index.

        Parameters
        ----------
        allocated
            Tokens allocated to the daemon; negative if they are returned.
        settled
            Tokens recorded as spent.
        limit
            Prepaid tokens.
        rng
            Chooses among shards that are equally suitable.
        """
        changes = dict(self._divide(allocated, limit, rng))
        first = next(iter(changes))
        return {
            index: msgspec.structs.replace(
                self.shards[index].row,
                charged=self.shards[index].row.charged + tokens,
                settled=self.shards[index].row.settled
                + (settled if index == first else 0),
                limit=limit.tokens,
                limit_version=limit.version,
            )
            for index, tokens in changes.items()
        }

    def _divide(
        self, allocated: int, limit: Limit, rng: random.Random
    ) -> Iterator[tuple[int, int]]:
        """Yield the indexes of the shards to change, with the tokens for each."""
        if allocated < 0:
            holders = [
                index
                for index, shard in enumerate(self.shards)
                if shard.row.charged >= -allocated
            ]
            yield rng.choice(holders or range(SHARD_COUNT)), allocated
            return
        rooms = {index: self._get_room(index, limit) for index in range(SHARD_COUNT)}
        sufficient = [index for index, room in rooms.items() if room >= allocated]
        if sufficient:
            yield rng.choice(sufficient), allocated
            return
        yield from _divide_by_room(allocated, rooms)

    def _get_room(self, index: int, limit: Limit) -> int:
        charged = self.shards[index].row.charged
        return max(0, limit.get_allocatable_share(index) - charged)


def _divide_by_room(
    allocated: int, rooms: Mapping[int, int]
) -> Iterator[tuple[int, int]]:
    """Yield the shards with the most room; the last gets what exceeds all room."""
    ordered = sorted(rooms, key=lambda index: rooms[index], reverse=True)
    remaining = allocated
    for index in ordered:
        is_last = index == ordered[-1]
        tokens = remaining if is_last else min(remaining, rooms[index])
        if tokens:
            yield index, tokens
        remaining -= tokens
        if not remaining:
            return

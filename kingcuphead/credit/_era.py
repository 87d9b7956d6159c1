"""Records a daemon's credit again after the store was restored from a copy.

The rows of the copy lack what was committed since. The first daemon that writes in the
new era replaces the shard rows of the earlier one. Each daemon then adds what it has
received beyond its holder row in the copy.
"""

from collections.abc import Mapping

import msgspec
from loguru import logger

from kingcuphead.credit._budget import Budget, Limit, Shard
from kingcuphead.credit._decoding import UndecodableRowError, decode_row
from kingcuphead.credit._messages import HolderRow, ShardRow
from kingcuphead.credit._rows import (
    SHARDS_PREFIX,
    find_latest_holder,
    get_holder_era,
    get_shard_era,
    get_shard_index,
    make_shard_key,
    select_earlier_shards,
    select_shards,
)
from kingcuphead.frozen import frozen
from kingcuphead.storage import Check, Delete, Put, Row, RowSnapshot

_SHARD = msgspec.json.Decoder(ShardRow)
_HOLDER = msgspec.json.Decoder(HolderRow)


@frozen
class Received:
    """Credit of one incarnation of a daemon since it started."""

    #: Tokens received from the budget, less those returned.
    tokens: int = 0
    #: Tokens recorded as spent.
    settled: int = 0

    def subtract(self, other: "Received") -> "Received":
        """Return what this one contains beyond another."""
        return Received(self.tokens - other.tokens, self.settled - other.settled)


@frozen
class EarlierShards:
    """Shard rows of an earlier era, which the rows of the current one replace."""

    #: The rows.
    rows: tuple[Row, ...]
    #: Version of the store at which they were read.
    version: int

    @property
    def era(self) -> int:
        """The earlier era."""
        return get_shard_era(self.rows[0].key)

    @property
    def budget(self) -> Budget:
        """The budget in the earlier era, with no row of the current one."""
        shards = {
            get_shard_index(row.key): Shard(decode_row(row, _SHARD))
            for row in self.rows
        }
        return Budget().with_shards(shards)


class EraState:
    """The era of the store in which one incarnation commits, and what it records there.

    Parameters
    ----------
    holder_prefix
        Prefix of the holder rows of the incarnation.
    """

    def __init__(self, holder_prefix: str) -> None:
        self._holder_prefix = holder_prefix
        #: Whether the incarnation began before the era and has not written in it.
        self._must_record = False
        #: What the shard rows contain of it; None until that is read.
        self._recorded: Received | None = None
        #: Number of the era; None before the first read.
        self.number: int | None = None
        #: Shard rows of an earlier era, which the next transaction replaces.
        self.earlier: EarlierShards | None = None

    @property
    def rows_prefix(self) -> str:
        """Key prefix of the rows to read before the next transaction.

        The incarnation's own row of an earlier era has to be from the same read as the
        shard rows.
        """
        is_recorded_unknown = self._must_record and self._recorded is None
        return "" if is_recorded_unknown else SHARDS_PREFIX

    def begin(self, era: int, has_written: bool) -> bool:
        """Begin an era that is later than the current one; return whether it is.

        Parameters
        ----------
        era
            Number of the era.
        has_written
            Whether the incarnation has written rows before.
        """
        if self.number is None or era <= self.number:
            return False
        self.number = era
        self.earlier = None
        self._must_record = has_written
        self._recorded = None
        return True

    def apply_rows(self, snapshot: RowSnapshot) -> Budget:
        """Apply rows that were read in this era, and return the budget by them.

        Raises
        ------
        UndecodableRowError
            What the budget has left isn't known, since a row is malformed.
        """
        budget = read_budget(snapshot)
        self.earlier = None if budget.exists else find_earlier_shards(snapshot)
        if self._must_record and self._recorded is None:
            self._recorded = find_recorded(
                snapshot, self._holder_prefix, budget, self.earlier
            )
        return budget if self.earlier is None else self.earlier.budget

    def opens(self, budget: Budget) -> bool:
        """Whether the next transaction is the first one in an era after a restore."""
        return not budget.exists and (self._must_record or self.earlier is not None)

    def count_unrecorded(self, received: Received) -> Received:
        """Return what the shard rows lack of what the incarnation has received.

        They lack something only before the first transaction in an era that began while
        the incarnation was running.
        """
        if not self._must_record or self._recorded is None:
            return Received()
        return received.subtract(self._recorded)

    def complete_shards(
        self, rows: Mapping[int, ShardRow], budget: Budget, store_time: int
    ) -> dict[int, ShardRow]:
        """Return the shard rows to write, given those that change.

        The first transaction in an era after a restore writes all of them.
        """
        if not self.opens(budget):
            return dict(rows)
        return open_era(rows, budget, self.earlier, store_time)

    def write_shards(
        self, rows: Mapping[int, ShardRow], budget: Budget, limit: Limit
    ) -> tuple[list[Check], list[Put | Delete]]:
        """Return the checks and writes of a transaction that changes shard rows.

        Parameters
        ----------
        rows
            The changed rows, by index; none if only the holder row changes.
        budget
            The budget before the transaction.
        limit
            Prepaid tokens.
        """
        if not rows:
            return [], []
        era = self.number or 0
        checks, puts = write_shards(era, rows, budget)
        checks += check_other_shards(era, rows, budget, limit)
        if self.earlier is None:
            return checks, [*puts]
        earlier_checks, deletes = replace_earlier(self.earlier)
        return [*checks, *earlier_checks], [*puts, *deletes]

    def confirm(self, wrote_shards: bool) -> None:
        """Handle a committed transaction of the incarnation."""
        self._must_record = False
        if wrote_shards:
            self.earlier = None


def decode_shards(rows: Mapping[int, Row]) -> dict[int, Shard]:
    """Decode shard rows, by index.

    Raises
    ------
    UndecodableRowError
        What the budget has left isn't known, since a row is malformed.
    """
    return {
        index: Shard(decode_row(row, _SHARD), row.version)
        for index, row in rows.items()
    }


def read_budget(snapshot: RowSnapshot) -> Budget:
    """Return the budget by the shard rows of the snapshot's era."""
    rows = select_shards(snapshot.rows, snapshot.era)
    return Budget().with_shards(
        decode_shards({get_shard_index(row.key): row for row in rows})
    )


def find_earlier_shards(snapshot: RowSnapshot) -> EarlierShards | None:
    """Return the shard rows of the latest earlier era, or None without any."""
    rows = select_earlier_shards(snapshot.rows, snapshot.era)
    return EarlierShards(rows, snapshot.version) if rows else None


def find_recorded(
    snapshot: RowSnapshot,
    holder_prefix: str,
    budget: Budget,
    earlier: EarlierShards | None,
) -> Received:
    """Return what the shard rows contain of an incarnation that began before the era.

    They don't contain a holder row that was written after their base. In doubt, they
    contain nothing: then too much stays charged rather than too little.

    Parameters
    ----------
    snapshot
        All rows of the organisation, read together.
    holder_prefix
        Prefix of the holder rows of the incarnation.
    budget
        The budget by the shard rows of the current era.
    earlier
        Shard rows of an earlier era, if none of the current one exists.
    """
    row = find_latest_holder(snapshot.rows, holder_prefix)
    base = max((each.row for each in budget.shards), key=lambda each: each.base_version)
    base_version, base_era = base.base_version, base.previous_era
    if earlier is not None:
        base_version, base_era = earlier.version, earlier.era
    if row is None or row.version > base_version or get_holder_era(row.key) != base_era:
        return Received()
    try:
        holder = decode_row(row, _HOLDER)
    except UndecodableRowError as error:
        logger.warning("{}", error)
        return Received()
    return Received(holder.received, holder.settled)


def open_era(
    rows: Mapping[int, ShardRow],
    budget: Budget,
    earlier: EarlierShards | None,
    store_time: int,
) -> dict[int, ShardRow]:
    """Return all shard rows for the first transaction in an era after a restore.

    Parameters
    ----------
    rows
        Rows that the transaction changes.
    budget
        The budget in the earlier era.
    earlier
        Shard rows of that era; None if the copy has none.
    store_time
        Lower bound of the store's time in milliseconds.
    """
    everything = {index: each.row for index, each in enumerate(budget.shards)}
    return {
        index: msgspec.structs.replace(
            row,
            previous_era=-1 if earlier is None else earlier.era,
            base_version=0 if earlier is None else earlier.version,
            opened_ms=max(1, store_time),
        )
        for index, row in (everything | dict(rows)).items()
    }


def replace_earlier(earlier: EarlierShards) -> tuple[list[Check], list[Delete]]:
    """Return the checks and deletions that replace the rows of an earlier era.

    Deleted rows can't be changed by late transactions of that era.
    """
    checks = [Check(row.key, row.version) for row in earlier.rows]
    return checks, [Delete(row.key) for row in earlier.rows]


def write_shards(
    era: int, rows: Mapping[int, ShardRow], budget: Budget
) -> tuple[list[Check], list[Put]]:
    """Return the checks and writes that change shard rows of the current era."""
    keys = {index: make_shard_key(era, index) for index in rows}
    checks = [Check(keys[index], budget.shards[index].version) for index in rows]
    puts = [Put(keys[index], msgspec.json.encode(row)) for index, row in rows.items()]
    return checks, puts


def check_other_shards(
    era: int, rows: Mapping[int, ShardRow], budget: Budget, limit: Limit
) -> list[Check]:
    """Return checks of the shards that aren't changed, if any shard is overdrawn.

    The room in a shard then depends on what is allocated from the others.
    """
    if not budget.has_overdrawn_shard(limit):
        return []
    return [
        Check(make_shard_key(era, index), shard.version)
        for index, shard in enumerate(budget.shards)
        if index not in rows
    ]

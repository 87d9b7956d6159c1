"""Keys of the rows of one organisation's part of the credit table."""

from collections.abc import Iterable

from kingcuphead.credit._budget import SHARD_COUNT
from kingcuphead.credit._decoding import UndecodableRowError
from kingcuphead.storage import Row

#: Prefix of the keys of all shard rows.
SHARDS_PREFIX = "shard/"
_HOLDERS_PREFIX = "holder/"
#: Digits of the era in a key, so that keys sort by era.
_ERA_DIGITS = 8


def make_shard_key(era: int, index: int) -> str:
    """Return the key of a shard row."""
    return f"{_make_shards_prefix(era)}{index:02}"


def make_holder_key(
    instance: str, incarnation: str | None = None, era: int | None = None
) -> str:
    """Return the key of a holder row, or the prefix of those that share its parts."""
    prefix = f"{_HOLDERS_PREFIX}{instance}/"
    if incarnation is None:
        return prefix
    prefix += f"{incarnation}/"
    return prefix if era is None else f"{prefix}{era:0{_ERA_DIGITS}}"


def get_shard_era(key: str) -> int:
    """Return the era in the key of a shard row."""
    era, _ = _parse_shard_key(key)
    return era


def get_shard_index(key: str) -> int:
    """Return the index in the key of a shard row."""
    _, index = _parse_shard_key(key)
    return index


def get_holder_era(key: str) -> int:
    """Return the era in the key of a holder row."""
    return int(key.rpartition("/")[2])


def get_holder_prefix(key: str) -> str:
    """Return the part of the key of a holder row that its incarnation's rows share."""
    return key.rpartition("/")[0]


def get_holder_incarnation(key: str) -> str:
    """Return the incarnation in the key of a holder row."""
    return key.split("/")[-2]


def select_shards(rows: Iterable[Row], era: int) -> tuple[Row, ...]:
    """Return the shard rows of an era."""
    prefix = _make_shards_prefix(era)
    return tuple(row for row in rows if row.key.startswith(prefix))


def select_earlier_shards(rows: Iterable[Row], era: int) -> tuple[Row, ...]:
    """Return the shard rows of the latest era before another; empty without any."""
    end = _make_shards_prefix(era)
    earlier = [row for row in rows if SHARDS_PREFIX < row.key < end]
    latest = max((get_shard_era(row.key) for row in earlier), default=0)
    return select_shards(earlier, latest)


def find_latest_holder(rows: Iterable[Row], prefix: str) -> Row | None:
    """Return the holder row of the latest era with a key prefix, or None."""
    holders = (row for row in rows if row.key.startswith(prefix))
    return max(holders, key=lambda row: row.key, default=None)


def _parse_shard_key(key: str) -> tuple[int, int]:
    """Return the era and the index in the key of a shard row.

    Raises
    ------
    UndecodableRowError
        The key has another form, or names a shard beyond the last one: the budget would
        have parts that this version doesn't count.
    """
    match key.removeprefix(SHARDS_PREFIX).split("/"):
        case [era, index] if era.isdecimal() and index.isdecimal():
            if make_shard_key(int(era), int(index)) == key and int(index) < SHARD_COUNT:
                return int(era), int(index)
    raise UndecodableRowError(key, "not a key of a shard row")


def _make_shards_prefix(era: int) -> str:
    return f"{SHARDS_PREFIX}{era:0{_ERA_DIGITS}}/"

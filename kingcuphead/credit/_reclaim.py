"""Reclaims the outage reserves of earlier incarnations of a daemon.

An incarnation releases its reserve linearly while the store does not answer, counted
from a time not earlier than the stamp in its holder row or in its stamp row. Only one
incarnation of a daemon runs at a time, so what was not released when the next one
started is unspent. A row of an earlier era proves nothing, since later transactions may
be lost.
"""

import math
from collections.abc import Iterable, Mapping

import msgspec

from kingcuphead.credit._decoding import decode_row
from kingcuphead.credit._messages import CreditSettings, HolderRow, ShardRow
from kingcuphead.credit._rows import get_holder_incarnation, get_holder_prefix
from kingcuphead.credit._stamp import StampRow
from kingcuphead.frozen import frozen
from kingcuphead.storage import Check, Put, Row, Transaction

_SHARD = msgspec.json.Decoder(ShardRow)
_HOLDER = msgspec.json.Decoder(HolderRow)


@frozen
class Reclaim:
    """The part of a reserve that an ended incarnation cannot have spent."""

    #: Holder row of that incarnation.
    holder: Row
    #: Unreleased tokens.
    unreleased: int


def decode_holder(row: Row) -> HolderRow:
    """Return the content of a holder row.

    Raises
    ------
    UndecodableRowError
        The row is malformed.
    """
    return decode_row(row, _HOLDER)


def find_reclaimable(
    rows: Iterable[Row],
    own_key: str,
    era: int,
    started_at: int,
    settings: CreditSettings,
    stamps: Mapping[str, StampRow],
) -> tuple[Reclaim, ...]:
    """Return the unreleased reserves of earlier incarnations.

    Parameters
    ----------
    rows
        Holder rows of all incarnations of this daemon.
    own_key
        Key of the holder row of the running incarnation, in any era.
    era
        Era of the store in which the rows were read.
    started_at
        Upper bound of the store's time, in milliseconds, at which the running
        incarnation started.
    settings
        Delay and period of the release of reserves.
    stamps
        Stamp rows of earlier incarnations, by incarnation.
    """
    # The running incarnation may have a row of an earlier era too.
    own = get_holder_prefix(own_key)
    others = (row for row in rows if get_holder_prefix(row.key) != own)
    reclaims = (
        Reclaim(row, _count_unreleased(row, era, started_at, settings, stamps))
        for row in others
    )
    return tuple(each for each in reclaims if each.unreleased)


def plan_reclaim(reclaim: Reclaim, shard: Row) -> Transaction:
    """Return the transaction that returns an unreleased reserve to its budget.

    Parameters
    ----------
    reclaim
        Reserve to return.
    shard
        A shard row of the organisation's budget in the same era.
    """
    holder = reclaim.holder
    closed = msgspec.structs.replace(decode_holder(holder), reserve=0, is_closed=True)
    row = decode_row(shard, _SHARD)
    row = msgspec.structs.replace(row, charged=row.charged - reclaim.unreleased)
    return Transaction(
        (Check(holder.key, holder.version), Check(shard.key, shard.version)),
        (
            Put(holder.key, msgspec.json.encode(closed)),
            Put(shard.key, msgspec.json.encode(row)),
        ),
    )


def _count_unreleased(
    holder: Row,
    era: int,
    started_at: int,
    settings: CreditSettings,
    stamps: Mapping[str, StampRow],
) -> int:
    """Return the tokens not yet released when the next incarnation started."""
    row = decode_holder(holder)
    if row.is_closed or not row.stamp_ms or row.era != era:
        return 0
    stamp_ms = row.stamp_ms
    stamp = stamps.get(get_holder_incarnation(holder.key))
    if stamp is not None and stamp.era == era:
        stamp_ms = max(stamp_ms, stamp.stamp_ms)
    share = 1 - settings.get_released_share((started_at - stamp_ms) / 1000)
    return math.floor(row.reserve * share)

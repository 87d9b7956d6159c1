"""Reclaims the outage reserves of earlier incarnations of a daemon.

An incarnation releases its reserves linearly while the store does not answer, counted
from a time not earlier than the stamp in its holder row. Only one incarnation of a
daemon runs at a time, so reserves not released when the next one started are unspent.
"""

import dataclasses
import math
from collections.abc import Iterable, Mapping

import msgspec

from kingcuphead.credit._messages import CreditSettings, HolderRow, TotalRow
from kingcuphead.storage import ABSENT, Check, Put, Row, Transaction

TOTAL_PREFIX = "total/"
_TOTAL = msgspec.json.Decoder(TotalRow)
_HOLDER = msgspec.json.Decoder(HolderRow)


@dataclasses.dataclass(frozen=True, slots=True)
class Reclaim:
    """Reserves that an ended incarnation cannot have spent."""

    #: Holder row of that incarnation.
    holder: Row
    #: Unreleased tokens by organisation.
    unreleased: Mapping[str, int]


def find_reclaimable(
    rows: Iterable[Row], own_key: str, started_at: int, settings: CreditSettings
) -> tuple[Reclaim, ...]:
    """Return the unreleased reserves of earlier incarnations.

    Parameters
    ----------
    rows
        Holder rows of all incarnations of this daemon.
    own_key
        Key of the holder row of the running incarnation.
    started_at
        Upper bound of the store's time, in milliseconds, at which the running
        incarnation started.
    settings
        Delay and period of the release of reserves.
    """
    others = (row for row in rows if row.key != own_key)
    reclaims = (
        Reclaim(row, _count_unreleased(row, started_at, settings)) for row in others
    )
    return tuple(each for each in reclaims if each.unreleased)


def plan_reclaim(reclaim: Reclaim, totals: Mapping[str, Row]) -> Transaction:
    """Return the transaction that returns unreleased reserves to their budgets.

    Parameters
    ----------
    reclaim
        Reserves to return.
    totals
        Cached total rows, by key.
    """
    holder = reclaim.holder
    row = _HOLDER.decode(holder.value)
    closed = msgspec.structs.replace(row, reserves={}, is_closed=True)
    checks = [Check(holder.key, holder.version)]
    writes = [Put(holder.key, msgspec.json.encode(closed))]
    for name, tokens in reclaim.unreleased.items():
        key = TOTAL_PREFIX + name
        cached = totals.get(key)
        checks.append(Check(key, cached.version if cached is not None else ABSENT))
        total = _TOTAL.decode(cached.value) if cached is not None else TotalRow()
        returned = msgspec.structs.replace(total, charged=total.charged - tokens)
        writes.append(Put(key, msgspec.json.encode(returned)))
    return Transaction(tuple(checks), tuple(writes))


def _count_unreleased(
    holder: Row, started_at: int, settings: CreditSettings
) -> dict[str, int]:
    """Return the tokens not yet released when the next incarnation started."""
    row = _HOLDER.decode(holder.value)
    if row.is_closed or not row.stamp_ms:
        return {}
    share = 1 - settings.get_released_share((started_at - row.stamp_ms) / 1000)
    unreleased = {
        name: math.floor(tokens * share) for name, tokens in row.reserves.items()
    }
    return {name: tokens for name, tokens in unreleased.items() if tokens}

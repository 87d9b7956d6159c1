"""Takes back what earlier lives of a daemon had set aside for an outage.

An earlier life frees its reserves evenly while the store does not answer it, counted
from a moment that is not earlier than the stamp in its row. Only one life of a daemon
runs at a time, so that what was not free yet when the next life started is untouched.
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
    """What an earlier life certainly has not spent."""

    #: Row of that life.
    holder: Row
    #: Untouched tokens by organisation.
    untouched: Mapping[str, int]


def find_reclaimable(
    rows: Iterable[Row], own_key: str, started_at: int, settings: CreditSettings
) -> tuple[Reclaim, ...]:
    """Return what earlier lives certainly have not spent.

    Parameters
    ----------
    rows
        Rows of all lives of this daemon.
    own_key
        Key of the row of this life.
    started_at
        The store's time in milliseconds when this life started, or later.
    settings
        How fast a daemon frees its reserves.
    """
    others = (row for row in rows if row.key != own_key)
    found = (
        Reclaim(row, _count_untouched(row, started_at, settings)) for row in others
    )
    return tuple(each for each in found if each.untouched)


def plan_reclaim(reclaim: Reclaim, totals: Mapping[str, Row]) -> Transaction:
    """Return the transaction that gives the untouched reserves of a life back.

    Parameters
    ----------
    reclaim
        What is given back.
    totals
        Rows of the totals, by their keys, as last seen.
    """
    holder = reclaim.holder
    row = _HOLDER.decode(holder.value)
    closed = msgspec.structs.replace(row, reserves={}, is_closed=True)
    checks = [Check(holder.key, holder.version)]
    writes = [Put(holder.key, msgspec.json.encode(closed))]
    for name, tokens in reclaim.untouched.items():
        key = TOTAL_PREFIX + name
        seen = totals.get(key)
        checks.append(Check(key, seen.version if seen is not None else ABSENT))
        total = _TOTAL.decode(seen.value) if seen is not None else TotalRow()
        returned = msgspec.structs.replace(total, charged=total.charged - tokens)
        writes.append(Put(key, msgspec.json.encode(returned)))
    return Transaction(tuple(checks), tuple(writes))


def _count_untouched(
    holder: Row, started_at: int, settings: CreditSettings
) -> dict[str, int]:
    """Return the tokens that were not free yet when the next life started."""
    row = _HOLDER.decode(holder.value)
    if row.is_closed or not row.stamp_ms:
        return {}
    share = 1 - settings.get_released_share((started_at - row.stamp_ms) / 1000)
    untouched = {
        name: math.floor(tokens * share) for name, tokens in row.reserves.items()
    }
    return {name: tokens for name, tokens in untouched.items() if tokens}

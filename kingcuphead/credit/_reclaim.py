"""Takes back what earlier lives of a daemon had set aside for an outage.

An earlier life spends its reserves only when the store has not answered it for
`CreditSettings.isolation_period`, counted from a moment that is not earlier than the
stamp in its row. A life that finds itself started before that moment knows that the
reserves are untouched, since only one life of a daemon runs at a time.
"""

from collections.abc import Iterable, Mapping

import msgspec

from kingcuphead.credit._messages import CreditSettings, HolderRow, TotalRow
from kingcuphead.storage import ABSENT, Check, Put, Row, Transaction

TOTAL_PREFIX = "total/"
_TOTAL = msgspec.json.Decoder(TotalRow)
_HOLDER = msgspec.json.Decoder(HolderRow)


def find_reclaimable(
    rows: Iterable[Row], own_key: str, started_at: int, settings: CreditSettings
) -> tuple[Row, ...]:
    """Return the rows of earlier lives whose reserves are certainly untouched.

    Parameters
    ----------
    rows
        Rows of all lives of this daemon.
    own_key
        Key of the row of this life.
    started_at
        The store's time in milliseconds when this life started, or later.
    settings
        How long a daemon leaves its reserves alone.
    """
    period = settings.isolation_period * 1000
    return tuple(
        row
        for row in rows
        if row.key != own_key and _is_reclaimable(row, started_at - period)
    )


def plan_reclaim(holder: Row, totals: Mapping[str, Row]) -> Transaction:
    """Return the transaction that gives the reserves of an earlier life back.

    Parameters
    ----------
    holder
        Row of the earlier life.
    totals
        Rows of the totals, by their keys, as last seen.
    """
    row = _HOLDER.decode(holder.value)
    closed = msgspec.structs.replace(row, reserves={}, is_closed=True)
    checks = [Check(holder.key, holder.version)]
    writes = [Put(holder.key, msgspec.json.encode(closed))]
    for name, tokens in row.reserves.items():
        key = TOTAL_PREFIX + name
        seen = totals.get(key)
        checks.append(Check(key, seen.version if seen is not None else ABSENT))
        total = _TOTAL.decode(seen.value) if seen is not None else TotalRow()
        returned = msgspec.structs.replace(total, charged=total.charged - tokens)
        writes.append(Put(key, msgspec.json.encode(returned)))
    return Transaction(tuple(checks), tuple(writes))


def _is_reclaimable(holder: Row, unused_since: float) -> bool:
    row = _HOLDER.decode(holder.value)
    return bool(row.reserves) and not row.is_closed and row.stamp_ms > unused_since

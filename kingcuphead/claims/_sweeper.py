"""Runs sweeps of old claims against a table."""

import asyncio
from collections.abc import Awaitable, Callable

from kingcuphead.claims._retention import (
    PageScanned,
    PageWanted,
    RemovalAnswered,
    RemovalWanted,
    RetentionSettings,
    Sweep,
    SweepEnded,
)
from kingcuphead.storage import Table


async def sweep_claims(
    table: Table,
    settings: RetentionSettings,
    wall_time: float,
    pause: Callable[[float], Awaitable[None]] = asyncio.sleep,
) -> SweepEnded:
    """Remove old claims in one pass, a page at a time.

    Parameters
    ----------
    table : Table
        The platform's table.
    settings : RetentionSettings
        How long claims are kept, and the pace of the pass.
    wall_time : float
        Time of the pass, in seconds since the epoch.
    pause : callable, optional
        Waits for a number of seconds.

    Returns
    -------
    SweepEnded
        How many rows were removed, and whether every page was read.
    """
    sweep = Sweep(settings, wall_time)
    effect = sweep.start()
    while True:
        match effect:
            case PageWanted(prefix, after, limit):
                scanned = await table.scan(prefix, after, limit)
                effect = sweep.receive(PageScanned(scanned.default_value(None)))
                await pause(settings.page_interval)
            case RemovalWanted(transaction):
                outcome = await table.commit(transaction)
                effect = sweep.receive(RemovalAnswered(outcome))
            case SweepEnded():
                return effect

"""Runs sweeps of expired claims against the platform's table."""

import asyncio
from collections.abc import Awaitable, Callable

from kingcuphead.claims._retention import (
    DeletionReplied,
    DeletionRequested,
    RetentionSettings,
    ScanReplied,
    ScanRequested,
    Sweep,
    SweepEnded,
)
from kingcuphead.storage import Table


async def sweep_claims(
    table: Table,
    settings: RetentionSettings,
    wall_time: float,
    sleep: Callable[[float], Awaitable[None]] = asyncio.sleep,
) -> SweepEnded:
    """Delete expired claims in one sweep, page by page.

    Parameters
    ----------
    table : Table
        The platform's table.
    settings : RetentionSettings
        Retention period of claims and pace of the sweep.
    wall_time : float
        Start of the sweep, in seconds since the epoch.
    sleep : callable, optional
        Coroutine function that waits for a number of seconds.

    Returns
    -------
    SweepEnded
        Number of deleted rows, and whether every page was scanned.
    """
    sweep = Sweep(settings, wall_time)
    effect = sweep.start()
    while True:
        match effect:
            case ScanRequested(prefix, after, limit):
                scanned = await table.scan(prefix, after, limit)
                effect = sweep.receive(ScanReplied(scanned.default_value(None)))
                await sleep(settings.page_interval)
            case DeletionRequested(transaction):
                outcome = await table.commit(transaction)
                effect = sweep.receive(DeletionReplied(outcome))
            case SweepEnded():
                return effect

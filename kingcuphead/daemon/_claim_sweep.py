"""The task that removes old claims from the table."""

import asyncio
import random
import time

from loguru import logger

from kingcuphead.claims import RetentionSettings, sweep_claims
from kingcuphead.storage import Table

#: Mean seconds between two sweeps of one daemon.
SWEEP_INTERVAL = 6 * 3600.0


async def sweep_regularly(table: Table) -> None:
    """Sweep until cancelled, at random moments so that daemons take turns.

    Two sweeps at once do no harm: each removal is conditional on the row's version.
    """
    while True:
        await asyncio.sleep(random.uniform(0.5, 1.5) * SWEEP_INTERVAL)
        ended = await sweep_claims(table, RetentionSettings(), time.time())
        logger.info("sweep of claims ended: {}", ended)

"""Task that deletes expired claims from the table."""

import asyncio
import random
import time

from loguru import logger

from kingcuphead.claims import RetentionSettings, sweep_claims
from kingcuphead.storage import Table

#: Mean time between two sweeps of one daemon, in seconds.
SWEEP_INTERVAL = 6 * 3600.0


async def sweep_periodically(table: Table) -> None:
    """Sweep until cancelled, with jitter that spreads the sweeps of the daemons.

    Concurrent sweeps are safe, as each deletion is conditional on the row's version.
    """
    while True:
        await asyncio.sleep(random.uniform(0.5, 1.5) * SWEEP_INTERVAL)
        ended = await sweep_claims(table, RetentionSettings(), time.time())
        logger.info("claim sweep ended: {}", ended)

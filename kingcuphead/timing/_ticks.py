"""Aligns periodic tasks, so that one wakeup of the event loop serves several of them.

A wakeup costs a system call and the event loop's own work, more than what most of the
tasks do.
"""

import asyncio
import math
import random

#: Seconds by which the ticks of this process differ from those of others, so that the
#: processes of one machine don't all wake up at the same moment.
PHASE = random.random()


def compute_next_tick(period: float, now: float) -> float:
    """Return the first tick after a moment.

    Ticks of all periods have `PHASE` in common, so those of a period and of its
    multiples coincide.

    Parameters
    ----------
    period
        Seconds between two ticks.
    now
        The moment, as the clock of the event loop tells it.
    """
    tick = PHASE + (math.floor((now - PHASE) / period) + 1) * period
    # The quotient may be rounded down to the tick that has just passed.
    return tick if tick > now else tick + period


async def sleep_until_tick(period: float) -> float:
    """Sleep until the next tick, and return the seconds by which it is late.

    Parameters
    ----------
    period
        Seconds between two ticks.
    """
    loop = asyncio.get_running_loop()
    due = compute_next_tick(period, loop.time())
    waiter = loop.create_future()
    timer = loop.call_at(due, _end_wait, waiter)
    try:
        await waiter
    finally:
        timer.cancel()
    return loop.time() - due


def _end_wait(waiter: asyncio.Future[None]) -> None:
    if not waiter.done():
        waiter.set_result(None)

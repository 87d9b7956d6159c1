"""Tells a late event loop from a call that has no reply."""

import asyncio
from collections.abc import Callable

#: Turns of the event loop within which a reply that has arrived takes effect.
REPLY_TURNS = 10


async def wait_turns(is_over: Callable[[], bool]) -> bool:
    """Give a reply that may have arrived the turns of the event loop that it needs.

    If the loop is late, a timer is due before the loop has seen what arrived in time.
    In a loop that is on time this takes well under a millisecond.

    Parameters
    ----------
    is_over
        Returns whether there is nothing more to wait for.

    Returns
    -------
    bool
        Whether it was over in these turns.
    """
    for _ in range(REPLY_TURNS):
        if is_over():
            return True
        await asyncio.sleep(0)
    return is_over()

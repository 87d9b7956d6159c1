"""The clock of the tasks that renew and transfer credit."""

import asyncio


def get_time() -> float:
    """Return the time of the running event loop in seconds."""
    return asyncio.get_running_loop().time()

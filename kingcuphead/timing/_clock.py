"""The clock that deadlines and durations within a process are measured on."""

import asyncio


def get_time() -> float:
    """Return the time of the running event loop in seconds."""
    return asyncio.get_running_loop().time()

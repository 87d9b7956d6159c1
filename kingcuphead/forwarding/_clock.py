"""The clock that deadlines and durations of requests are measured on."""

import asyncio


def get_time() -> float:
    """Return the time of the running event loop in seconds."""
    return asyncio.get_running_loop().time()

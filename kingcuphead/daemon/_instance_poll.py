"""Task that polls the platform's instance list."""

import asyncio
from collections.abc import Callable

from expression import Result
from loguru import logger

from kingcuphead.storage import Instance, InstanceList


async def poll_instances(
    source: InstanceList,
    interval: float,
    notify: Callable[[tuple[Instance, ...]], None],
) -> None:
    """Poll the list until cancelled, `interval` seconds after each reply or failure."""
    while True:
        match await source.fetch():
            case Result(tag="ok", ok=instances):
                notify(instances)
            case Result(error=fault):
                logger.warning("instance list unavailable: {}", fault.message)
        await asyncio.sleep(interval)

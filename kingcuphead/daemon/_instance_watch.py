"""The task that reads the platform's instance list."""

import asyncio
from collections.abc import Callable

from expression import Result
from loguru import logger

from kingcuphead.storage import Instance, InstanceList


async def watch_instances(
    source: InstanceList,
    interval: float,
    announce: Callable[[tuple[Instance, ...]], None],
) -> None:
    """Read the list every `interval` seconds until cancelled."""
    while True:
        match await source.fetch():
            case Result(tag="ok", ok=instances):
                announce(instances)
            case Result(error=fault):
                logger.warning("{}", fault.message)
        await asyncio.sleep(interval)

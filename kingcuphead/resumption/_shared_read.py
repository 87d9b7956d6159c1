"""A read that several callers share, each of whom needs one that begins later."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Generic, TypeVar

T = TypeVar("T")


class SharedRead(Generic[T]):
    """Repeats a read while there are callers; at most one runs at a time.

    Parameters
    ----------
    read
        Performs the read.
    """

    def __init__(self, read: Callable[[], Awaitable[T]]) -> None:
        self._read = read
        self._running: asyncio.Task[T] | None = None
        self._next: asyncio.Task[T] | None = None

    async def run(self) -> T:
        """Return the result of a read that begins after this call."""
        if self._next is None:
            self._next = asyncio.create_task(self._read_after(self._running))
        # Other callers wait for it, too.
        return await asyncio.shield(self._next)

    async def _read_after(self, previous: asyncio.Task[T] | None) -> T:
        if previous is not None:
            await asyncio.wait((previous,))
        self._running, self._next = self._next, None
        return await self._read()

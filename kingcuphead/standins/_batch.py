"""Priority queue for the slots of a continuous batch."""

import asyncio
import contextlib
import heapq
import itertools
from collections.abc import AsyncIterator


class Batch:
    """Limits the number of concurrent requests and queues the others.

    Parameters
    ----------
    concurrency : int
        Maximum number of concurrent requests.
    """

    def __init__(self, concurrency: int) -> None:
        self._concurrency = concurrency
        self._running = 0
        self._arrivals = itertools.count()
        self._queue: list[tuple[int, int, asyncio.Future[None]]] = []

    @property
    def running(self) -> int:
        """Number of requests that hold a slot."""
        return self._running

    @property
    def waiting(self) -> int:
        """Number of requests in the queue, without cancelled ones."""
        return sum(not waiter.done() for _, _, waiter in self._queue)

    @property
    def is_full(self) -> bool:
        """Whether a new request would be queued."""
        return self._running >= self._concurrency

    @contextlib.asynccontextmanager
    async def hold_slot(self, priority: int) -> AsyncIterator[None]:
        """Hold a slot; lower priority numbers are served first."""
        await self._acquire(priority)
        try:
            yield
        finally:
            self._release()

    async def _acquire(self, priority: int) -> None:
        if not self.is_full:
            self._running += 1
            return
        waiter = asyncio.get_running_loop().create_future()
        heapq.heappush(self._queue, (priority, next(self._arrivals), waiter))
        try:
            await waiter
        except asyncio.CancelledError:
            if waiter.done() and not waiter.cancelled():
                self._release()
            raise

    def _release(self) -> None:
        while self._queue:
            _, _, waiter = heapq.heappop(self._queue)
            if not waiter.done():
                waiter.set_result(None)
                return
        self._running -= 1

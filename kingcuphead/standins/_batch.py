"""Slots of a continuous batch, given by priority."""

import asyncio
import contextlib
import heapq
import itertools
from collections.abc import AsyncIterator


class Batch:
    """Bounds the requests that run at once; the others wait in its queue.

    Parameters
    ----------
    concurrency : int
        Most requests that run at once.
    """

    def __init__(self, concurrency: int) -> None:
        self._concurrency = concurrency
        self._running = 0
        self._arrivals = itertools.count()
        self._queue: list[tuple[int, int, asyncio.Future[None]]] = []

    @property
    def running(self) -> int:
        """Requests that hold a slot."""
        return self._running

    @property
    def waiting(self) -> int:
        """Requests in the queue."""
        return sum(not turn.done() for _, _, turn in self._queue)

    @property
    def is_full(self) -> bool:
        """Whether a new request would have to wait."""
        return self._running >= self._concurrency

    @contextlib.asynccontextmanager
    async def hold_slot(self, priority: int) -> AsyncIterator[None]:
        """Hold a slot; requests with lower numbers get theirs first."""
        await self._acquire(priority)
        try:
            yield
        finally:
            self._release()

    async def _acquire(self, priority: int) -> None:
        if not self.is_full:
            self._running += 1
            return
        turn = asyncio.get_running_loop().create_future()
        heapq.heappush(self._queue, (priority, next(self._arrivals), turn))
        try:
            await turn
        except asyncio.CancelledError:
            if turn.done() and not turn.cancelled():
                self._release()
            raise

    def _release(self) -> None:
        while self._queue:
            _, _, turn = heapq.heappop(self._queue)
            if not turn.done():
                turn.set_result(None)
                return
        self._running -= 1

"""Polls the sockets of the relay and batches their events."""

import select
from collections.abc import Callable

from tornado.ioloop import IOLoop

#: Consecutive batches without an event after which batching stops.
MAX_EMPTY_BATCHES = 4


class SocketPoller:
    """Polls many sockets through one epoll descriptor on the event loop.

    Events that are rare are handled immediately. Events in quick succession are
    batched for `batch_seconds`, so that the process wakes up once for several of
    them, like interrupt coalescing in network drivers.

    Parameters
    ----------
    loop : IOLoop
        The event loop.
    batch_seconds : float
        Length of a batch in seconds.
    handle : Callable[[int, int], None]
        Called with each ready descriptor and its event mask, which is the same in
        `select.epoll` and `IOLoop`.
    """

    def __init__(
        self,
        loop: IOLoop,
        batch_seconds: float,
        handle: Callable[[int, int], None],
    ) -> None:
        self._loop = loop
        self._batch_seconds = batch_seconds
        self._handle = handle
        self._epoll = select.epoll()
        self._watched: dict[int, int] = {}
        self._last_event_at = loop.time()
        self._empty_batches = 0
        self._timer: object | None = None
        loop.add_handler(self._epoll.fileno(), self._handle_immediately, IOLoop.READ)

    def watch(self, fd: int, events: int) -> None:
        """Register a descriptor, replacing an earlier registration of its number."""
        self.unwatch(fd)
        self._epoll.register(fd, events)
        self._watched[fd] = events

    def unwatch(self, fd: int) -> None:
        """Unregister a descriptor, which may already be closed."""
        if self._watched.pop(fd, None) is not None:
            try:
                self._epoll.unregister(fd)
            except OSError:
                return

    def close(self) -> None:
        """Stop polling all descriptors."""
        if self._timer is None:
            self._loop.remove_handler(self._epoll.fileno())
        else:
            self._loop.remove_timeout(self._timer)
        self._epoll.close()

    def _handle_immediately(self, fd: int, events: int) -> None:
        now = self._loop.time()
        is_burst = now - self._last_event_at < self._batch_seconds
        self._last_event_at = now
        self._handle_ready()
        if is_burst:
            self._loop.remove_handler(fd)
            self._empty_batches = 0
            self._timer = self._loop.call_later(self._batch_seconds, self._handle_batch)

    def _handle_batch(self) -> None:
        self._empty_batches = 0 if self._handle_ready() else self._empty_batches + 1
        if self._empty_batches < MAX_EMPTY_BATCHES:
            self._timer = self._loop.call_later(self._batch_seconds, self._handle_batch)
            return
        self._timer = None
        fd = self._epoll.fileno()
        self._loop.add_handler(fd, self._handle_immediately, IOLoop.READ)

    def _handle_ready(self) -> int:
        ready = self._epoll.poll(0)
        for fd, events in ready:
            if fd in self._watched:
                self._handle(fd, events)
        return len(ready)

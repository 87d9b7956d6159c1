"""The sockets of the relay, watched together."""

import select
from collections.abc import Callable

from tornado.ioloop import IOLoop

#: Gatherings without an event after which events are handled at once again.
QUIET_GATHERINGS = 4


class SocketWatch:
    """Watches many sockets through one descriptor of the event loop.

    While events are rare each is handled at once. When they follow each other
    closely they are gathered for `gather_seconds`, so that the process wakes once
    for several of them, as network drivers do with interrupts.

    Parameters
    ----------
    loop : IOLoop
        The event loop.
    gather_seconds : float
        For how long events are gathered.
    handle : Callable[[int, int], None]
        Called with each descriptor that is ready and its events, in the form of
        `select.epoll`, which is also that of `IOLoop`.
    """

    def __init__(
        self,
        loop: IOLoop,
        gather_seconds: float,
        handle: Callable[[int, int], None],
    ) -> None:
        self._loop = loop
        self._gather_seconds = gather_seconds
        self._handle = handle
        self._epoll = select.epoll()
        self._watched: dict[int, int] = {}
        self._last_ready = loop.time()
        self._quiet = 0
        self._timer: object | None = None
        loop.add_handler(self._epoll.fileno(), self._handle_at_once, IOLoop.READ)

    def watch(self, fd: int, events: int) -> None:
        """Watch a descriptor; one whose number was used before is replaced."""
        self.unwatch(fd)
        self._epoll.register(fd, events)
        self._watched[fd] = events

    def unwatch(self, fd: int) -> None:
        """Stop watching a descriptor, which may have been closed."""
        if self._watched.pop(fd, None) is not None:
            try:
                self._epoll.unregister(fd)
            except OSError:
                return

    def close(self) -> None:
        """Stop watching everything."""
        if self._timer is None:
            self._loop.remove_handler(self._epoll.fileno())
        else:
            self._loop.remove_timeout(self._timer)
        self._epoll.close()

    def _handle_at_once(self, fd: int, events: int) -> None:
        now = self._loop.time()
        close = now - self._last_ready < self._gather_seconds
        self._last_ready = now
        self._handle_ready()
        if close:
            self._loop.remove_handler(fd)
            self._quiet = 0
            self._timer = self._loop.call_later(
                self._gather_seconds, self._handle_gathered
            )

    def _handle_gathered(self) -> None:
        self._quiet = 0 if self._handle_ready() else self._quiet + 1
        if self._quiet < QUIET_GATHERINGS:
            self._timer = self._loop.call_later(
                self._gather_seconds, self._handle_gathered
            )
            return
        self._timer = None
        fd = self._epoll.fileno()
        self._loop.add_handler(fd, self._handle_at_once, IOLoop.READ)

    def _handle_ready(self) -> int:
        ready = self._epoll.poll(0)
        for fd, events in ready:
            if fd in self._watched:
                self._handle(fd, events)
        return len(ready)

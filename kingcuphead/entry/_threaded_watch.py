"""Follows a table of the platform's store in a thread of its own."""

import asyncio
import contextlib
import threading
from collections.abc import Callable
from typing import Any, Protocol

from kingcuphead.entry._table_watch import Position, TableWatch


class Post(Protocol):
    """Calls a function on the daemon's event loop, in the order of the calls."""

    def __call__(self, function: Callable[..., Any], *arguments: Any) -> None:
        """Return at once; the function is called later."""
        ...


class ThreadedWatch:
    """Follows a table on an event loop of its own, in a thread of its own.

    A reply of the store needs about ten turns of an event loop until it has taken
    effect. The daemon's loop may have more to do than it can, and each of its turns
    then takes long. The interpreter and the system give the thread its turns all the
    same.

    Parameters
    ----------
    make_watch
        Returns the watch that the thread runs. It is called in the thread, with a
        function that calls others on the daemon's event loop, and one that the watch
        has to call with its position after each read.
    """

    def __init__(
        self, make_watch: Callable[[Post, Callable[[Position], None]], TableWatch]
    ) -> None:
        self._make_watch = make_watch
        #: Set once the table has been read and passed on.
        self.has_read = asyncio.Event()
        #: Last position that was read and passed on.
        self.last_position: Position | None = None
        self._thread: _ThreadRun | None = None

    async def run(self) -> None:
        """Run the thread until cancelled; raise what ends it otherwise."""
        self._thread = _ThreadRun(self._make_watch, self._handle_read)
        try:
            await self._thread.end
        finally:
            self._thread.cancel()

    def call(self, function: Callable[[], None]) -> None:
        """Call a function in the thread, soon; do nothing before its start."""
        if self._thread is not None:
            self._thread.call(function)

    def _handle_read(self, position: Position) -> None:
        self.last_position = position
        self.has_read.set()


class _ThreadRun:
    """One thread, from its start to its end."""

    def __init__(
        self,
        make_watch: Callable[[Post, Callable[[Position], None]], TableWatch],
        handle_read: Callable[[Position], None],
    ) -> None:
        self._make_watch = make_watch
        self._handle_read = handle_read
        self._loop = asyncio.get_running_loop()
        self._thread_loop = asyncio.new_event_loop()
        self._cancelled = asyncio.Event()
        #: Done when the thread ends by itself, with its exception.
        self.end: asyncio.Future[None] = self._loop.create_future()
        # The process may end before the thread does.
        threading.Thread(target=self._run, name="watch", daemon=True).start()

    def cancel(self) -> None:
        """End the thread soon."""
        self.call(self._cancelled.set)

    def call(self, function: Callable[[], None]) -> None:
        """Call a function in the thread, soon."""
        # The loop is closed if the thread has ended.
        with contextlib.suppress(RuntimeError):
            self._thread_loop.call_soon_threadsafe(function)

    def _run(self) -> None:
        with asyncio.Runner(loop_factory=lambda: self._thread_loop) as runner:
            try:
                runner.run(self._follow())
            except Exception as error:
                self._post(self._fail, error)

    async def _follow(self) -> None:
        watch = self._make_watch(
            self._post, lambda position: self._post(self._handle_read, position)
        )
        following = asyncio.create_task(watch.run())
        cancelled = asyncio.create_task(self._cancelled.wait())
        await asyncio.wait((following, cancelled), return_when=asyncio.FIRST_COMPLETED)
        if following.done():
            following.result()
        following.cancel()

    def _post(self, function: Callable[..., Any], *arguments: Any) -> None:
        # The daemon's loop is closed once the daemon has ended.
        with contextlib.suppress(RuntimeError):
            self._loop.call_soon_threadsafe(function, *arguments)

    def _fail(self, error: Exception) -> None:
        if not self.end.done():
            self.end.set_exception(error)

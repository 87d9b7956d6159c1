"""Ends the requests that are open at a shutdown in time for their final answers."""

import asyncio
import contextlib
from collections.abc import AsyncIterator

from loguru import logger

from kingcuphead.forwarding._context import RequestContext
from kingcuphead.timing import get_time
from kingcuphead.verdict import Execution


class ShutdownError(Exception):
    """The request was ended because the daemon shuts down."""


class OpenRequests:
    """The requests that are being served, which a shutdown ends before the process."""

    def __init__(self) -> None:
        self._scopes: dict[asyncio.Timeout, RequestContext] = {}
        self._last_start_at = float("inf")
        self._end_at: float | None = None

    @property
    def accepts_attempts(self) -> bool:
        """Whether requests may still be passed on to targets."""
        return get_time() < self._last_start_at

    @contextlib.asynccontextmanager
    async def track(self, context: RequestContext) -> AsyncIterator[None]:
        """Bound the time that a request may take.

        Raises
        ------
        ShutdownError
            The request was ended before its answer was complete.
        """
        scope = asyncio.timeout_at(self._end_at)
        self._scopes[scope] = context
        try:
            async with scope:
                yield
        except TimeoutError:
            if scope.expired():
                raise ShutdownError from None
            raise
        finally:
            del self._scopes[scope]

    def finish_by(self, last_start_at: float, end_at: float) -> None:
        """End open requests and those that follow at times of the event loop's clock.

        Parameters
        ----------
        last_start_at
            When requests that no target may have run are ended, and none is passed on
            any more.
        end_at
            When all others are ended.
        """
        self._last_start_at, self._end_at = last_start_at, end_at
        for scope in self._scopes:
            _reschedule(scope, end_at)
        loop = asyncio.get_running_loop()
        loop.call_at(last_start_at, self._end_waiting)
        loop.call_at(end_at, self._log_end)

    def _end_waiting(self) -> None:
        for scope, context in self._scopes.items():
            if context.execution is Execution.NOT_RUN:
                _reschedule(scope, self._last_start_at)

    def _log_end(self) -> None:
        if self._scopes:
            logger.bind(requests=len(self._scopes)).warning(
                "ending the open requests before the grace period ends"
            )


def _reschedule(scope: asyncio.Timeout, when: float) -> None:
    if not scope.expired():
        scope.reschedule(when)

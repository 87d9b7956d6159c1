"""The tables of the store that a daemon follows: configuration and targets."""

import asyncio
import contextlib
from collections.abc import Callable, Coroutine
from typing import Any, Protocol

from kingcuphead.entry._poll_pacing import (
    MANY_TARGETS,
    PollPacing,
    bound_target_polls,
)
from kingcuphead.entry._table_watch import Position, TableListener, TableWatch
from kingcuphead.entry._watch_policy import WatchPolicy
from kingcuphead.platform import TARGETS_TABLE, Profile, Store
from kingcuphead.targets import TargetDirectory

#: Maximum seconds after the configuration was read for which a daemon waits for the
#: targets before it reads other tables.
MAX_START_DELAY = 1.0

#: Mean seconds before later retries of a refused read of few and of many targets.
RETRY_DELAY, LARGE_RETRY_DELAY = 0.2, 0.4

#: Policy for the configuration. The daemon refuses requests until it has been read, so
#: it is retried early. It has few rows, so all are read again after a failed call.
CONFIGURATION_POLICY = WatchPolicy(
    prefers_rows=True, repeats_overdue=True, first_retry_delay=0.1
)


class TableFollower(Protocol):
    """Follows a table until cancelled."""

    #: Set once the table has been read.
    has_read: asyncio.Event
    #: Last position that was read.
    last_position: Position | None

    async def run(self) -> None:
        """Follow the table until cancelled."""
        ...


class StoreWatches:
    """Follows the tables of the configuration and of the targets.

    Parameters
    ----------
    store
        The platform's store.
    configuration
        Follows the configuration's table.
    targets
        Receives the entries of targets.
    directory
        The targets that are known; it records failed calls.
    get_profile
        Returns the current settings of the process.
    """

    def __init__(
        self,
        store: Store,
        configuration: TableFollower,
        targets: TableListener,
        directory: TargetDirectory,
        get_profile: Callable[[], Profile],
    ) -> None:
        #: Delays of polls of the targets.
        self.target_pacing = PollPacing(
            lambda: bound_target_polls(get_profile(), directory.count)
        )
        self._configuration = configuration
        self._targets = TableWatch(
            store,
            TARGETS_TABLE,
            targets,
            directory.record_store_failure,
            self.target_pacing,
            WatchPolicy(
                # Reading thousands of rows again takes several calls, which a store
                # that refuses calls would refuse, too.
                keeps_position=lambda: directory.count > MANY_TARGETS,
                get_retry_delay=lambda: _choose_retry_delay(directory.count),
            ),
        )

    def get_configuration_position(self) -> Position | None:
        """Return the position of the last read of the configuration's table."""
        return self._configuration.last_position

    def list_tasks(self) -> list[Coroutine[Any, Any, None]]:
        """Return the coroutines that run until the daemon ends."""
        return [self._configuration.run(), self._follow_targets()]

    async def run_after_start(
        self, run: Callable[[], Coroutine[Any, Any, None]]
    ) -> None:
        """Run a task once the configuration and the targets have been read.

        The store may refuse calls while a whole fleet starts, so the tables without
        which this daemon can't serve are read first.
        """
        await self._configuration.has_read.wait()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(MAX_START_DELAY):
                await self._targets.has_read.wait()
        await run()

    async def _follow_targets(self) -> None:
        await self._configuration.has_read.wait()
        await self._targets.run()


def _choose_retry_delay(targets: int) -> float:
    return LARGE_RETRY_DELAY if targets > MANY_TARGETS else RETRY_DELAY

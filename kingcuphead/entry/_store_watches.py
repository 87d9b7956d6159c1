"""The tables of the store that a daemon follows: configuration and targets."""

import asyncio
import contextlib
import dataclasses
from collections.abc import Callable

from kingcuphead.entry._background_tasks import BackgroundTask
from kingcuphead.entry._poll_pacing import (
    MANY_TARGETS,
    PollPacing,
    bound_configuration_polls,
    bound_target_polls,
)
from kingcuphead.entry._table_watch import Position, TableListener, TableWatch
from kingcuphead.entry._view_age import ViewAge
from kingcuphead.entry._watch_policy import WatchPolicy
from kingcuphead.platform import CONFIGURATION_TABLE, TARGETS_TABLE, Profile, Store
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


class StoreWatches:
    """Follows the tables of the configuration and of the targets.

    Parameters
    ----------
    store
        The platform's store.
    configuration
        Receives the configuration's table.
    targets
        Receives the entries of targets.
    directory
        The targets that are known; it records failed calls.
    get_profile
        Returns the current settings of the process.
    view_age
        Records when the configuration in force was confirmed.
    """

    def __init__(
        self,
        store: Store,
        configuration: TableListener,
        targets: TableListener,
        directory: TargetDirectory,
        get_profile: Callable[[], Profile],
        view_age: ViewAge,
    ) -> None:
        #: Delays of polls by table.
        self.pacings = {
            CONFIGURATION_TABLE: PollPacing(
                lambda: bound_configuration_polls(get_profile())
            ),
            TARGETS_TABLE: PollPacing(
                lambda: bound_target_polls(get_profile(), directory.count)
            ),
        }
        self._configuration = TableWatch(
            store,
            CONFIGURATION_TABLE,
            configuration,
            directory.record_store_failure,
            self.pacings[CONFIGURATION_TABLE],
            CONFIGURATION_POLICY,
            view_age.confirm,
        )
        self._targets = TableWatch(
            store,
            TARGETS_TABLE,
            targets,
            directory.record_store_failure,
            self.pacings[TARGETS_TABLE],
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

    def list_tasks(self) -> list[BackgroundTask]:
        """Return the tasks that follow the tables until the daemon ends."""
        return [
            BackgroundTask("configuration_table", self._configuration.run),
            BackgroundTask("targets_table", self._follow_targets),
        ]

    def run_after_start(self, task: BackgroundTask) -> BackgroundTask:
        """Return a task that begins once the configuration and targets were read.

        The store may refuse calls while a whole fleet starts, so the tables without
        which this daemon can't serve are read first.
        """

        async def run() -> None:
            await self._wait_for_start()
            await task.run()

        return dataclasses.replace(task, run=run)

    async def _wait_for_start(self) -> None:
        await self._configuration.has_read.wait()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(MAX_START_DELAY):
                await self._targets.has_read.wait()

    async def _follow_targets(self) -> None:
        await self._configuration.has_read.wait()
        await self._targets.run()


def _choose_retry_delay(targets: int) -> float:
    return LARGE_RETRY_DELAY if targets > MANY_TARGETS else RETRY_DELAY

"""The tables of the store that a daemon follows: configuration and targets."""

from collections.abc import Callable, Coroutine
from typing import Any

from kingcuphead.entry._poll_pacing import (
    PollPacing,
    bound_configuration_polls,
    bound_target_polls,
)
from kingcuphead.entry._table_watch import Position, TableListener, TableWatch
from kingcuphead.platform import CONFIGURATION_TABLE, TARGETS_TABLE, Profile, Store
from kingcuphead.targets import TargetDirectory


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
    """

    def __init__(
        self,
        store: Store,
        configuration: TableListener,
        targets: TableListener,
        directory: TargetDirectory,
        get_profile: Callable[[], Profile],
    ) -> None:
        self._configuration = TableWatch(
            store,
            CONFIGURATION_TABLE,
            configuration,
            directory.record_store_failure,
            PollPacing(lambda: bound_configuration_polls(get_profile())),
            prefers_rows=True,
        )
        self._targets = TableWatch(
            store,
            TARGETS_TABLE,
            targets,
            directory.record_store_failure,
            PollPacing(lambda: bound_target_polls(get_profile(), directory.count)),
        )

    def get_configuration_position(self) -> Position | None:
        """Return the position of the last read of the configuration's table."""
        return self._configuration.last_position

    def list_tasks(self) -> list[Coroutine[Any, Any, None]]:
        """Return the coroutines that run until the daemon ends."""
        return [self._configuration.run(), self._targets.run()]

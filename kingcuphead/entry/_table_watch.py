"""Follows a table of the platform's store by long polling."""

import asyncio
import time
from collections.abc import Callable, Iterable, Sequence
from typing import Protocol

from expression import Result
from loguru import logger

from kingcuphead.frozen import frozen
from kingcuphead.platform import Change, Changes, HistoryLost, Store
from kingcuphead.storage import PlatformFault, Row

#: Seconds after which the store replies to a long poll although nothing has changed.
LONG_POLL_TIMEOUT = 1.0
#: Seconds before a failed call is retried.
RETRY_DELAY = 0.2


@frozen
class Position:
    """Position in the feed of a table: the last change that was read."""

    #: Version of the change.
    version: int
    #: Era of the store that assigned the version.
    era: int

    def is_after(self, other: "Position") -> bool:
        """Whether the change is later than another one."""
        return (self.era, self.version) > (other.era, other.version)


class TableListener(Protocol):
    """Receives the contents and the changes of a table."""

    def apply_snapshot(self, rows: Iterable[Row]) -> None:
        """Apply the complete contents of the table."""
        ...

    def apply_changes(self, changes: Iterable[Change]) -> None:
        """Apply changes in the order in which they were committed."""
        ...


class ListenerGroup:
    """Passes the contents of a table to several listeners, in order.

    Parameters
    ----------
    listeners
        Listeners for different rows of the table.
    """

    def __init__(self, listeners: Sequence[TableListener]) -> None:
        self._listeners = listeners

    def apply_snapshot(self, rows: Iterable[Row]) -> None:
        """Apply the complete contents of the table."""
        rows = tuple(rows)
        for listener in self._listeners:
            listener.apply_snapshot(rows)

    def apply_changes(self, changes: Iterable[Change]) -> None:
        """Apply changes in the order in which they were committed."""
        changes = tuple(changes)
        for listener in self._listeners:
            listener.apply_changes(changes)


class TableWatch:
    """Passes the contents of a table, and then its changes, to a listener.

    Parameters
    ----------
    store
        The platform's store.
    table
        Name of the table.
    listener
        Receives snapshots and changes.
    report_failure
        Called after each failed call to the store, with the call's start time.
    """

    def __init__(
        self,
        store: Store,
        table: str,
        listener: TableListener,
        report_failure: Callable[[float], None],
    ) -> None:
        self._store = store
        self._table = table
        self._listener = listener
        self._report_failure = report_failure
        self._position: Position | None = None
        self._is_failing = False
        #: Last position that was read; it is kept while the store is unavailable.
        self.last_position: Position | None = None

    async def run(self) -> None:
        """Follow the table until cancelled."""
        while True:
            if self._position is None:
                await self._read_snapshot()
            else:
                await self._poll_changes(self._position)

    async def _read_snapshot(self) -> None:
        started_at = time.monotonic()
        match await self._store.read_table(self._table):
            case Result(tag="ok", ok=snapshot):
                self._listener.apply_snapshot(snapshot.rows)
                self._position = Position(snapshot.version, snapshot.era)
                self._record_success()
            case Result(error=fault):
                await self._record_failure(fault, started_at)

    async def _poll_changes(self, position: Position) -> None:
        started_at = time.monotonic()
        match await self._store.follow_table(
            self._table, position.version, LONG_POLL_TIMEOUT
        ):
            case Result(tag="ok", ok=Changes(era=era)) if era != position.era:
                logger.info("the store was restored; reading table {}", self._table)
                self._position = None
            case Result(tag="ok", ok=Changes(changes, newest)):
                self._listener.apply_changes(changes)
                version = max(position.version, newest)
                self._position = Position(version, position.era)
                self._record_success()
            case Result(tag="ok", ok=HistoryLost()):
                logger.info(
                    "changes of table {} are no longer available; reading all rows",
                    self._table,
                )
                self._position = None
            case Result(error=fault):
                # A broken connection may delay changes, so the table is read again.
                self._position = None
                await self._record_failure(fault, started_at)

    def _record_success(self) -> None:
        self.last_position = self._position
        if self._is_failing:
            self._is_failing = False
            logger.info("table {} is followed again", self._table)

    async def _record_failure(self, fault: PlatformFault, started_at: float) -> None:
        self._report_failure(started_at)
        if not self._is_failing:
            self._is_failing = True
            logger.warning("table {} can't be followed: {}", self._table, fault.message)
        await asyncio.sleep(RETRY_DELAY)

"""Follows a table of the platform's store."""

import asyncio
import time
from collections.abc import Callable, Iterable
from typing import Protocol

from expression import Result
from loguru import logger

from kingcuphead.platform import Change, Changes, HistoryLost, Store
from kingcuphead.storage import PlatformFault, Row

#: Longest time in seconds that the store holds a question for changes.
POLL_WAIT = 1.0
#: Seconds before a failed call is made again.
FAILURE_PAUSE = 0.2


class Follower(Protocol):
    """Takes what happens to a table."""

    def take_snapshot(self, rows: Iterable[Row]) -> None:
        """Take the whole table."""
        ...

    def take_changes(self, changes: Iterable[Change]) -> None:
        """Take what changed, in order."""
        ...


class TableWatch:
    """Keeps a follower up to date with one table.

    Parameters
    ----------
    store
        The store.
    table
        Name of the table.
    follower
        Takes rows and changes.
    report_failure
        Called for each call that failed with the time of its start.
    """

    def __init__(
        self,
        store: Store,
        table: str,
        follower: Follower,
        report_failure: Callable[[float], None],
    ) -> None:
        self._store = store
        self._table = table
        self._follower = follower
        self._report_failure = report_failure
        self._version: int | None = None
        self._is_lost = False

    async def run(self) -> None:
        """Follow the table for ever."""
        while True:
            if self._version is None:
                await self._read()
            else:
                await self._follow(self._version)

    async def _read(self) -> None:
        started_at = time.monotonic()
        match await self._store.read_table(self._table):
            case Result(tag="ok", ok=snapshot):
                self._follower.take_snapshot(snapshot.rows)
                self._version = snapshot.version
                self._note_success()
            case Result(error=fault):
                await self._note_failure(fault, started_at)

    async def _follow(self, version: int) -> None:
        started_at = time.monotonic()
        match await self._store.follow_table(self._table, version, POLL_WAIT):
            case Result(tag="ok", ok=Changes(changes, newest)):
                self._follower.take_changes(changes)
                self._version = max(version, newest)
                self._note_success()
            case Result(tag="ok", ok=HistoryLost()):
                logger.info("changes of table {} are lost; reading it", self._table)
                self._version = None
            case Result(error=fault):
                # Changes may be held back behind a broken connection.
                self._version = None
                await self._note_failure(fault, started_at)

    def _note_success(self) -> None:
        if self._is_lost:
            self._is_lost = False
            logger.info("table {} is followed again", self._table)

    async def _note_failure(self, fault: PlatformFault, started_at: float) -> None:
        self._report_failure(started_at)
        if not self._is_lost:
            self._is_lost = True
            logger.warning("table {} can't be followed: {}", self._table, fault.message)
        await asyncio.sleep(FAILURE_PAUSE)

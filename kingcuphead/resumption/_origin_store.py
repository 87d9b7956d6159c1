"""Writes the origins of streams to the platform's store, and reads those of others."""

import asyncio
import random
from collections.abc import Callable, Iterable

from expression import Result
from loguru import logger

from kingcuphead.resumption._messages import BegunStream, ServedVersion
from kingcuphead.resumption._origin_journal import Batch, OriginJournal
from kingcuphead.resumption._origin_rows import (
    SavedOrigins,
    decode_origins,
    digest_id,
)
from kingcuphead.resumption._registry import STREAM_LIFETIME
from kingcuphead.storage import Committed, Row, TablePart, Unknown, make_removal
from kingcuphead.timing import get_time

#: Minimum seconds between two writes of a daemon.
MIN_WRITE_INTERVAL = 0.25
#: Writes a second of all daemons together; a part of the store applies 200.
FLEET_WRITE_RATE = 80.0
#: Reads a second of all daemons together while callers resume streams that no daemon
#: knows.
FLEET_READ_RATE = 50.0
#: Minimum seconds between two reads of a daemon.
MIN_READ_INTERVAL = 1.0
#: Seconds after the end of a row's lifetime before another daemon removes it. Within
#: them its writer removes it, in a transaction that it commits anyway.
REMOVAL_DELAY = 5.0
#: Seconds over which the daemons of a small fleet that started together spread their
#: removals.
MIN_REMOVAL_SPREAD = 10.0
#: Maximum number of rows that one transaction removes: each removal also has a check,
#: and the store accepts 100 entries.
MAX_REMOVED = 50


class OriginStore:
    """Keeps the origins of streams in one part of a table.

    Parameters
    ----------
    table
        Rows that outlast the daemons.
    identity
        Identity of this daemon's process.
    """

    def __init__(self, table: TablePart, identity: str) -> None:
        self._table = table
        self._journal = OriginJournal(identity)
        self._origins: dict[bytes, ServedVersion] = {}
        self._read_lock = asyncio.Lock()
        self._last_read_at = float("-inf")
        self._removal_at: float | None = None
        self._daemons = 1
        self._is_write_failing = False
        self._is_read_failing = False
        #: Whether the table was read since the start.
        self.has_read = False
        #: Number of streams whose origins were written.
        self.written_count = 0
        #: Called after each read of the table.
        self.report_read: Callable[[], None] | None = None

    @property
    def write_interval(self) -> float:
        """Seconds between two writes."""
        return max(MIN_WRITE_INTERVAL, self._daemons / FLEET_WRITE_RATE)

    @property
    def unsaved_count(self) -> int:
        """Number of streams whose origins should be in the store and may not be."""
        return self._journal.count_unsaved()

    def apply_fleet_size(self, daemons: int) -> None:
        """Divide the rates of calls by the number of daemons."""
        self._daemons = daemons

    def record(self, stream: BegunStream) -> None:
        """Record a stream that began here."""
        self._journal.record(stream, get_time())

    def list_services(self) -> set[str]:
        """Return the services of the streams whose origins aren't written."""
        return self._journal.list_services()

    def list_versions(self) -> frozenset[ServedVersion]:
        """Return the versions of the streams in the rows that were read."""
        return frozenset(self._origins.values())

    def find(self, request_id: str) -> BegunStream | None:
        """Return the stream that a try began if a row that was read contains it."""
        version = self._origins.get(digest_id(request_id)) if request_id else None
        if version is None:
            return None
        return BegunStream(request_id, version.service, version.software_version)

    async def read(self) -> None:
        """Read the table, unless a read began within the minimum interval."""
        interval = max(MIN_READ_INTERVAL, self._daemons / FLEET_READ_RATE)
        async with self._read_lock:
            if get_time() - self._last_read_at >= interval:
                await self._load()

    async def save(self, services: Iterable[str]) -> None:
        """Write the origins of new streams, and remove rows that have expired.

        Parameters
        ----------
        services
            Services that have several software versions.
        """
        store_time = self._table.estimate_time()
        if store_time is None:
            return
        batch = self._journal.prepare(services, get_time(), store_time)
        if batch is None:
            return
        outcome = await self._table.commit(batch.transaction)
        match outcome:
            case Committed():
                self._confirm(batch)
            case Unknown():
                self._journal.abandon(batch)
        self._log_outcome(isinstance(outcome, Committed), type(outcome).__name__)

    async def remove_expired(self) -> None:
        """Remove expired rows of daemons that ended, once per daemon lifetime."""
        now = get_time()
        if self._removal_at is None or now < self._removal_at:
            return
        self._removal_at = None
        rows = await self._load()
        store_time = self._table.estimate_time()
        if store_time is None:
            return
        bound = store_time - int(REMOVAL_DELAY * 1000)
        expired = [each.row for each in rows if each.expires_ms < bound]
        await self._remove(expired)

    async def _load(self) -> tuple[SavedOrigins, ...]:
        """Read and apply the rows; return none of them if the read failed."""
        self._last_read_at = get_time()
        match await self._table.read_prefix(""):
            case Result(tag="ok", ok=snapshot):
                rows = tuple(decode_origins(snapshot.rows))
            case Result(error=fault):
                if not self._is_read_failing:
                    logger.warning("origins of streams can't be read: {}", fault.cause)
                self._is_read_failing = True
                return ()
        self._is_read_failing = False
        self._apply_rows(rows)
        if not self.has_read and rows:
            self._schedule_removal()
        self.has_read = True
        if self.report_read is not None:
            self.report_read()
        return rows

    def _apply_rows(self, rows: tuple[SavedOrigins, ...]) -> None:
        """Replace the known origins by those of the rows that have not expired."""
        store_time = self._table.estimate_time() or 0
        self._origins = {}
        for each in rows:
            if each.expires_ms >= store_time:
                self._origins.update(each.origins)
        if rows:
            count = len(self._origins)
            logger.info("origins of {} streams read, in {} rows", count, len(rows))

    def _schedule_removal(self) -> None:
        """Choose when to remove rows whose writers ended, at random to spread calls."""
        spread = random.uniform(0.0, max(MIN_REMOVAL_SPREAD, self._daemons))
        self._removal_at = get_time() + STREAM_LIFETIME + REMOVAL_DELAY + spread

    async def _remove(self, rows: list[Row]) -> None:
        for start in range(0, len(rows), MAX_REMOVED):
            removal = make_removal(rows[start : start + MAX_REMOVED])
            outcome = await self._table.commit(removal)
            name = type(outcome).__name__
            logger.info("removal of {} expired origin rows: {}", len(rows), name)

    def _confirm(self, batch: Batch) -> None:
        before = self._journal.count_unsaved()
        self._journal.confirm(batch)
        self.written_count += before - self._journal.count_unsaved()

    def _log_outcome(self, is_applied: bool, outcome: str) -> None:
        if is_applied and self._is_write_failing:
            logger.info("origins of streams are written again")
        elif not is_applied and not self._is_write_failing:
            logger.warning("origins of streams can't be written: {}", outcome)
        self._is_write_failing = not is_applied

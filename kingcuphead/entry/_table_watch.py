"""Follows a table of the platform's store by long polling."""

import asyncio
import random
import time
from collections.abc import Callable, Iterable, Sequence
from typing import Protocol, TypeAlias

from expression import Result
from loguru import logger

from kingcuphead.entry._poll_pacing import PollPacing
from kingcuphead.entry._watch_policy import RetryDelays, WatchPolicy
from kingcuphead.frozen import frozen
from kingcuphead.platform import Change, Changes, HistoryLost, Store
from kingcuphead.storage import PlatformFault, Row, RowSnapshot
from kingcuphead.timing import wait_turns

#: Seconds after which the store replies to a long poll although nothing has changed.
LONG_POLL_TIMEOUT = 1.0
#: Seconds after the end of a long poll at which a reply that hasn't begun is overdue.
OVERDUE_MARGIN = 0.25

#: Reply to a poll.
_Reply: TypeAlias = Result[Changes | HistoryLost, PlatformFault]


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
    pacing
        Delays polls after changes; None for no delay.
    policy
        How the table is read while calls fail or hang.
    confirm
        Called after each read with a time at which the table had no later change than
        those that were passed on.
    """

    def __init__(
        self,
        store: Store,
        table: str,
        listener: TableListener,
        report_failure: Callable[[float], None],
        pacing: PollPacing | None = None,
        policy: WatchPolicy = WatchPolicy(),  # noqa: B008
        confirm: Callable[[float], None] = lambda confirmed_at: None,
    ) -> None:
        self._store = store
        self._table = table
        self._listener = listener
        self._report_failure = report_failure
        self._pacing = PollPacing() if pacing is None else pacing
        self._policy = policy
        self._confirm = confirm
        self._retry_delays = RetryDelays(policy, random.Random())
        #: Whether the next call reads the rows although the position is known.
        self._reads_rows = False
        self._position: Position | None = None
        #: Set once the table has been read.
        self.has_read = asyncio.Event()
        #: Last position that was read; it is kept while the store is unavailable.
        self.last_position: Position | None = None

    async def run(self) -> None:
        """Follow the table until cancelled, from a read of all its rows on."""
        # A run that failed may have applied only a part of the last changes.
        self._position = None
        while True:
            delay = await self._wait_for_turn()
            if self._position is None or self._reads_rows:
                await self._read_snapshot()
            else:
                # The listeners rely on an answer in each `LONG_POLL_TIMEOUT`. After a
                # failure it also shows that the store answers again.
                is_failing = self._retry_delays.is_failing
                wait = 0.0 if is_failing else LONG_POLL_TIMEOUT - delay
                await self._poll_changes(self._position, wait)

    async def _wait_for_turn(self) -> float:
        """Wait until the next read may be sent, and return the seconds of the wait."""
        delay = self._pacing.get_delay(time.monotonic())
        if delay:
            await asyncio.sleep(delay)
        return delay

    async def _read_snapshot(self) -> None:
        started_at = time.monotonic()
        match await self._store.read_table(self._table):
            case Result(tag="ok", ok=snapshot):
                self._apply_snapshot(snapshot)
                if not self._reads_rows:
                    self._confirm(started_at)
                self._record_success()
            case Result(error=fault):
                await self._record_failure(fault, started_at)

    def _apply_snapshot(self, snapshot: RowSnapshot) -> None:
        previous = self._position
        self._listener.apply_snapshot(snapshot.rows)
        self._position = Position(snapshot.version, snapshot.era)
        if not self._reads_rows:
            return
        newest = max((row.version for row in snapshot.rows), default=0)
        self._reads_rows = previous is not None and Position(
            newest, snapshot.era
        ).is_after(previous)
        if self._reads_rows:
            self._pacing.record_changes(snapshot.size, time.monotonic())

    async def _poll_changes(self, position: Position, wait: float) -> None:
        started_at = time.monotonic()
        match await self._follow(position.version, wait):
            case Result(tag="ok", ok=Changes(era=era)) if era != position.era:
                logger.info("the store was restored; reading table {}", self._table)
                self._position = None
            case Result(tag="ok", ok=Changes() as changes):
                self._listener.apply_changes(changes.changes)
                version = max(position.version, changes.version)
                self._position = Position(version, position.era)
                self._record_changes(changes)
                self._record_confirmation(changes, started_at, wait)
                self._record_success()
            case Result(tag="ok", ok=HistoryLost()):
                logger.info(
                    "changes of table {} are no longer available; reading all rows",
                    self._table,
                )
                self._position = None
            case Result(error=fault):
                if not self._policy.keeps_position():
                    # A broken connection may delay changes.
                    self._position = None
                await self._record_failure(fault, started_at)

    async def _follow(self, version: int, wait: float) -> _Reply:
        """Poll; repeat the poll on another connection if no reply begins in time.

        If the connection is broken, only its time-out would tell. A reply that arrives
        slowly would be slowed down further by another one.
        """
        if not self._policy.repeats_overdue:
            return await self._store.follow_table(self._table, version, wait)
        begun = asyncio.Event()
        poll = self._start_poll(version, wait, begun.set)
        try:
            await asyncio.wait((poll,), timeout=wait + OVERDUE_MARGIN)
            if await wait_turns(lambda: poll.done() or begun.is_set()):
                return await poll
            return await self._await_either(poll, self._start_poll(version, 0.0))
        finally:
            poll.cancel()

    def _start_poll(
        self,
        version: int,
        wait: float,
        report_begin: Callable[[], None] = lambda: None,
    ) -> asyncio.Task[_Reply]:
        return asyncio.ensure_future(
            self._store.follow_table(self._table, version, wait, report_begin)
        )

    async def _await_either(
        self, poll: asyncio.Task[_Reply], repetition: asyncio.Task[_Reply]
    ) -> _Reply:
        """Return the first reply that isn't a fault, or the last fault."""
        try:
            for reply in asyncio.as_completed((poll, repetition)):
                outcome = await reply
                if outcome.is_ok():
                    break
            return outcome
        finally:
            repetition.cancel()

    def _record_changes(self, changes: Changes) -> None:
        # Changes that the store left out of the reply may be a target that leaves.
        if not changes.changes or changes.has_more:
            return
        now = time.monotonic()
        self._pacing.record_changes(changes.size, now)
        keys = {each.key for each in changes.changes}
        is_replaced = len(keys) < len(changes.changes)
        is_paced = self._pacing.get_delay(now) > 0
        self._reads_rows = self._policy.prefers_rows and is_replaced and is_paced

    def _record_confirmation(
        self, changes: Changes, started_at: float, wait: float
    ) -> None:
        """Report up to which time the changes of a poll are complete.

        The reply may have waited in this process, so the time of its arrival says
        nothing; but the store replies without changes only after the whole wait.
        """
        if not changes.changes:
            self._confirm(min(started_at + wait, time.monotonic()))
        elif not changes.has_more:
            self._confirm(started_at)

    def _record_success(self) -> None:
        self.last_position = self._position
        self.has_read.set()
        if self._retry_delays.is_failing:
            self._retry_delays.record_success()
            logger.info("table {} is followed again", self._table)

    async def _record_failure(self, fault: PlatformFault, started_at: float) -> None:
        self._report_failure(started_at)
        if not self._retry_delays.is_failing:
            logger.warning("table {} can't be followed: {}", self._table, fault.message)
        await asyncio.sleep(self._retry_delays.record_failure())

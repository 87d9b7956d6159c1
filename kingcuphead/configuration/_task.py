"""Task that runs the configuration state machines with the table and peers."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any, Protocol, TypeAlias

from expression import Result

from kingcuphead.configuration._acceptance import Acceptance
from kingcuphead.configuration._acceptance_messages import (
    AcceptanceEffect,
    AcceptanceMessage,
    ChangeAccepted,
    ChangeNotMade,
    ChangeOutcome,
    ChangeRefused,
    ChangeUncertain,
    CommitReplied,
    CommitRequested,
    RowsReplied,
    RowsRequested,
    SnapshotRequested,
    SnapshotTaken,
    TimePassed,
    WaitRequested,
)
from kingcuphead.configuration._changes import Change
from kingcuphead.configuration._messages import (
    ChangesRead,
    ConfigurationApplied,
    ConfigurationOffered,
    ConfigurationRequested,
    FreshnessChanged,
    HeadRead,
    HeadRequested,
    OfferReplied,
    OfferRequested,
    ReadFailed,
    ReadRequested,
    RecordsRead,
    RefreshRequested,
    RevisionRefused,
    ScanRequested,
    Ticked,
    WatcherEffect,
    WatcherMessage,
)
from kingcuphead.configuration._rows import HEAD_KEY
from kingcuphead.configuration._snapshot import Snapshot
from kingcuphead.configuration._watcher import Watcher
from kingcuphead.storage import Table

#: Seconds between two ticks of the watcher.
TICK_SECONDS = 0.1
#: Poll interval in seconds while a confirmed snapshot is awaited.
SNAPSHOT_POLL_SECONDS = 0.02

ConfigurationNotice: TypeAlias = (
    ConfigurationApplied | RevisionRefused | FreshnessChanged
)


class PeerChannel(Protocol):
    """Unreliable channel to other daemons; messages may be lost."""

    def send(
        self, instance: str, message: ConfigurationRequested | ConfigurationOffered
    ) -> None:
        """Send a message to one peer."""
        ...

    def announce(self, revision: int) -> None:
        """Send every peer the number of a revision that was accepted here."""
        ...


class ConfigurationTask:
    """Keep the configuration up to date and commit changes to it.

    Parameters
    ----------
    watcher : Watcher
        State machine that the task owns.
    table : Table
        Table of the platform that stores the configuration.
    peers : PeerChannel
        Channel to other daemons.
    clock : Callable[[], float]
        Clock that returns monotonic time in seconds.
    notify : Callable[[ConfigurationNotice], None]
        Callback for new and rejected revisions and changes of freshness.
    """

    def __init__(
        self,
        watcher: Watcher,
        table: Table,
        peers: PeerChannel,
        clock: Callable[[], float],
        notify: Callable[[ConfigurationNotice], None],
    ) -> None:
        self._watcher = watcher
        self._table = table
        self._peers = peers
        self._clock = clock
        self._notify = notify
        self._reads: set[asyncio.Task[None]] = set()

    @property
    def watcher(self) -> Watcher:
        """The watcher, for reading its state only."""
        return self._watcher

    async def run(self) -> None:
        """Run the periodic timer until cancelled."""
        while True:
            self.post(Ticked())
            await asyncio.sleep(TICK_SECONDS)

    def post(self, message: WatcherMessage) -> None:
        """Pass a message to the watcher and execute the resulting effects."""
        for effect in self._watcher.receive(message, self._clock()):
            self._perform(effect)

    def _perform(self, effect: WatcherEffect) -> None:
        match effect:
            case HeadRequested(attempt=attempt):
                self._spawn(self._read_head(attempt))
            case ReadRequested(attempt=attempt, keys=keys):
                self._spawn(self._read_changes(attempt, keys))
            case ScanRequested():
                self._spawn(self._scan(effect))
            case OfferRequested(instance=instance):
                self._peers.send(instance, ConfigurationRequested(self._watcher.name))
            case OfferReplied(instance=instance, offer=offer):
                self._peers.send(instance, offer)
            case ConfigurationApplied() | RevisionRefused() | FreshnessChanged():
                self._notify(effect)

    def _spawn(self, read: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(read)
        self._reads.add(task)
        task.add_done_callback(self._reads.discard)

    async def _read_head(self, attempt: int) -> None:
        match await self._table.read((HEAD_KEY,)):
            case Result(tag="ok", ok=rows):
                self.post(HeadRead(attempt, rows[0] if rows else None))
            case _:
                self.post(ReadFailed(attempt))

    async def _read_changes(self, attempt: int, keys: tuple[str, ...]) -> None:
        match await self._table.read(keys):
            case Result(tag="ok", ok=rows):
                self.post(ChangesRead(attempt, rows))
            case _:
                self.post(ReadFailed(attempt))

    async def _scan(self, scan: ScanRequested) -> None:
        match await self._table.scan(scan.prefix, scan.after):
            case Result(tag="ok", ok=page):
                self.post(RecordsRead(scan.attempt, page.rows, page.resume_after))
            case _:
                self.post(ReadFailed(scan.attempt))

    async def accept(self, change: Change, timeout: float) -> ChangeOutcome:
        """Commit a change to the table.

        Parameters
        ----------
        change : Change
            Change to commit.
        timeout : float
            Maximum time to the outcome in seconds.

        Returns
        -------
        ChangeOutcome
            Outcome of the change; `ChangeUncertain`, never a failure, if the change
            may have taken effect without a confirmation.
        """
        deadline = self._clock() + timeout
        acceptance = Acceptance(change, deadline)
        (effect,) = acceptance.start()
        while True:
            match effect:
                case ChangeAccepted(revision=revision):
                    self._peers.announce(revision)
                    self.post(RefreshRequested())
                    return effect
                case ChangeRefused() | ChangeNotMade() | ChangeUncertain():
                    return effect
                case request:
                    message = await self._execute_before_deadline(request, deadline)
                    (effect,) = acceptance.receive(message, self._clock())

    async def _execute_before_deadline(
        self, effect: AcceptanceEffect, deadline: float
    ) -> AcceptanceMessage:
        remaining = max(0.0, deadline - self._clock())
        try:
            return await asyncio.wait_for(self._execute(effect), remaining)
        except TimeoutError:
            return TimePassed()

    async def _execute(self, effect: AcceptanceEffect) -> AcceptanceMessage:
        match effect:
            case CommitRequested(transaction=transaction):
                return CommitReplied(await self._table.commit(transaction))
            case RowsRequested(keys=keys):
                read = await self._table.read(keys)
                return RowsReplied(read.ok if read.is_ok() else None)
            case SnapshotRequested():
                return SnapshotTaken(await self._wait_for_confirmed_snapshot())
            case WaitRequested(until=until):
                await asyncio.sleep(max(0.0, until - self._clock()))
        return TimePassed()

    async def _wait_for_confirmed_snapshot(self) -> Snapshot:
        """Return a snapshot that is confirmed as the newest after this call began."""
        requested_at = self._clock()
        while True:
            snapshot, confirmed = self._watcher.snapshot, self._watcher.confirmed_at
            if (
                snapshot is not None
                and confirmed is not None
                and confirmed >= requested_at
            ):
                return snapshot
            self.post(RefreshRequested())
            await asyncio.sleep(SNAPSHOT_POLL_SECONDS)

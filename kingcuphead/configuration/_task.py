"""Task that drives the configuration machines with a table and peers."""

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
    CommitWanted,
    RowsReplied,
    RowsWanted,
    SnapshotRequested,
    SnapshotTaken,
    TimePassed,
    WaitWanted,
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
    PeerAnswered,
    PeerAsked,
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
#: Seconds between two looks at a snapshot that is awaited.
REFRESH_SECONDS = 0.02

ConfigurationNotice: TypeAlias = (
    ConfigurationApplied | RevisionRefused | FreshnessChanged
)


class PeerChannel(Protocol):
    """How the task reaches other daemons; messages may be lost."""

    def send(
        self, instance: str, message: ConfigurationRequested | ConfigurationOffered
    ) -> None:
        """Send a message to one peer."""
        ...

    def announce(self, revision: int) -> None:
        """Tell every peer that a revision was accepted here."""
        ...


class ConfigurationTask:
    """Follow the configuration and accept changes to it.

    Parameters
    ----------
    watcher : Watcher
        The machine, owned by the task from now on.
    table : Table
        The platform's table.
    peers : PeerChannel
        The way to other daemons.
    clock : Callable[[], float]
        Monotonic time in seconds.
    notify : Callable[[ConfigurationNotice], None]
        Called for each change of what is in force.
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
        """The machine, to be read only."""
        return self._watcher

    async def run(self) -> None:
        """Tick until cancelled."""
        while True:
            self.post(Ticked())
            await asyncio.sleep(TICK_SECONDS)

    def post(self, message: WatcherMessage) -> None:
        """Hand a message to the watcher and carry out what follows from it."""
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
            case PeerAsked(instance=instance):
                self._peers.send(instance, ConfigurationRequested(self._watcher.name))
            case PeerAnswered(instance=instance, offer=offer):
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
        """Bring a change into the table.

        Parameters
        ----------
        change : Change
            The change.
        timeout : float
            Seconds until an outcome is due.

        Returns
        -------
        ChangeOutcome
            What became of it; never a failure for a change that may stand.
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
                case wanted:
                    message = await self._answer_in_time(wanted, deadline)
                    (effect,) = acceptance.receive(message, self._clock())

    async def _answer_in_time(
        self, wanted: AcceptanceEffect, deadline: float
    ) -> AcceptanceMessage:
        left = max(0.0, deadline - self._clock())
        try:
            return await asyncio.wait_for(self._answer(wanted), left)
        except TimeoutError:
            return TimePassed()

    async def _answer(self, wanted: AcceptanceEffect) -> AcceptanceMessage:
        match wanted:
            case CommitWanted(transaction=transaction):
                return CommitReplied(await self._table.commit(transaction))
            case RowsWanted(keys=keys):
                read = await self._table.read(keys)
                return RowsReplied(read.ok if read.is_ok() else None)
            case SnapshotRequested():
                return SnapshotTaken(await self._refresh())
            case WaitWanted(until=until):
                await asyncio.sleep(max(0.0, until - self._clock()))
        return TimePassed()

    async def _refresh(self) -> Snapshot:
        """Return a snapshot that was the newest one at some moment from now on."""
        asked = self._clock()
        while True:
            snapshot, confirmed = self._watcher.snapshot, self._watcher.confirmed_at
            if snapshot is not None and confirmed is not None and confirmed >= asked:
                return snapshot
            self.post(RefreshRequested())
            await asyncio.sleep(REFRESH_SECONDS)

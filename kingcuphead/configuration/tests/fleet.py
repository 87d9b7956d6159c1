"""Several watchers and operators over one table, in virtual time, with faults."""

import dataclasses
import heapq
import itertools
import random
from collections.abc import Callable, Iterable

from kingcuphead.configuration import (
    HEAD_KEY,
    Acceptance,
    AcceptanceEffect,
    Change,
    ChangeAccepted,
    ChangeNotMade,
    ChangeOutcome,
    ChangeRefused,
    ChangesRead,
    ChangeUncertain,
    CommitReplied,
    CommitWanted,
    ConfigurationApplied,
    ConfigurationRequested,
    HeadRead,
    HeadRequested,
    PeerAnswered,
    PeerAsked,
    PeerRevision,
    ReadFailed,
    ReadRequested,
    RecordsRead,
    RefreshRequested,
    RevisionRefused,
    RowsReplied,
    RowsWanted,
    ScanRequested,
    SnapshotRequested,
    SnapshotTaken,
    Ticked,
    TimePassed,
    WaitWanted,
    Watcher,
    WatcherEffect,
    WatcherMessage,
    WatchPolicy,
)
from kingcuphead.storage import (
    Committed,
    Conflict,
    MemoryTable,
    Row,
    Transaction,
    Unavailable,
    Unknown,
)

TICK_SECONDS = 0.25
GOSSIP_SECONDS = 1.0


@dataclasses.dataclass(eq=False)
class Daemon:
    """One daemon and the faults that it suffers."""

    name: str
    watcher: Watcher
    #: Highest schema version that it reads.
    schema: int
    #: Local clock less virtual time: no two daemons share a clock.
    offset: float
    paused_until: float = 0.0
    cut_until: float = 0.0
    alive: bool = True
    #: Revisions in force, in order, with the times.
    applied: list[tuple[float, int]] = dataclasses.field(default_factory=list)


class Fleet:
    """Watchers, operators and a table whose calls may fail, lag or lose replies."""

    def __init__(self, random_: random.Random, policies: Iterable[WatchPolicy]):
        self.random = random_
        self.now = 0.0
        self.table = MemoryTable()
        #: Times of the commits that took effect, the first one of revision 1.
        self.commit_times: list[float] = []
        self.outage_until = 0.0
        self.trouble = 0.0
        self.outcomes: dict[str, ChangeOutcome] = {}
        self.daemons: list[Daemon] = []
        #: Problems of revisions that a daemon did not put in force.
        self.refusals: list[str] = []
        #: Daemons that were replaced.
        self.gone: list[Daemon] = []
        self._events: list[tuple[float, int, Callable[[], object]]] = []
        self._numbers = itertools.count()
        for policy in policies:
            self.add_daemon(policy)

    def at(self, delay: float, action: Callable[[], object]) -> None:
        heapq.heappush(self._events, (self.now + delay, next(self._numbers), action))

    def run(self, until: float) -> None:
        while self._events and self._events[0][0] <= until:
            self.now, _, action = heapq.heappop(self._events)
            action()
        self.now = until

    def add_daemon(self, policy: WatchPolicy) -> Daemon:
        name = f"d{next(self._numbers)}"
        offset = self.random.uniform(0, 1000)
        daemon = Daemon(name, Watcher(name, policy), policy.schema, offset)
        self.daemons.append(daemon)
        self.at(self.random.uniform(0, 1), lambda: self._tick(daemon))
        self.at(self.random.uniform(0, 1), lambda: self._gossip(daemon))
        return daemon

    def restart(self, daemon: Daemon, policy: WatchPolicy) -> None:
        daemon.alive = False
        self.daemons.remove(daemon)
        self.gone.append(daemon)
        self.add_daemon(policy)

    def post(self, daemon: Daemon, message: WatcherMessage) -> None:
        if not daemon.alive:
            return
        if daemon.paused_until > self.now:
            wait = daemon.paused_until - self.now
            self.at(wait, lambda: self.post(daemon, message))
            return
        for effect in daemon.watcher.receive(message, self.now + daemon.offset):
            self._perform(daemon, effect)
        self._check_confirmation(daemon)

    def _check_confirmation(self, daemon: Daemon) -> None:
        """Check that a confirmed revision was the newest at the time it is dated."""
        confirmed, snapshot = daemon.watcher.confirmed_at, daemon.watcher.snapshot
        if confirmed is not None and snapshot is not None:
            at = confirmed - daemon.offset
            newest = sum(committed < at for committed in self.commit_times)
            assert snapshot.revision >= newest, (daemon.name, at, newest)

    def _tick(self, daemon: Daemon) -> None:
        if daemon.alive:
            self.post(daemon, Ticked())
            self.at(TICK_SECONDS, lambda: self._tick(daemon))

    def _gossip(self, daemon: Daemon) -> None:
        if not daemon.alive:
            return
        self.at(GOSSIP_SECONDS, lambda: self._gossip(daemon))
        snapshot = daemon.watcher.snapshot
        peers = [peer for peer in self.daemons if peer is not daemon]
        if snapshot is None or not peers or daemon.paused_until > self.now:
            return
        peer = self.random.choice(peers)
        confirmed = daemon.watcher.confirmed_at
        if confirmed is not None:
            confirmed += peer.offset - daemon.offset
        message = PeerRevision(daemon.name, snapshot.revision, confirmed)
        self._send(peer, message)

    def _send(self, peer: Daemon, message: WatcherMessage) -> None:
        if self.random.random() >= self.trouble:
            self.at(self._delay(), lambda: self.post(peer, message))

    def _delay(self) -> float:
        late = self.random.random() < self.trouble
        return self.random.uniform(0.5, 8.0) if late else self.random.uniform(0, 0.02)

    def _find(self, name: str) -> Daemon | None:
        return next((each for each in self.daemons if each.name == name), None)

    def _perform(self, daemon: Daemon, effect: WatcherEffect) -> None:
        match effect:
            case HeadRequested(attempt=attempt):
                self._read(daemon, attempt, lambda: self._read_head(attempt))
            case ReadRequested(attempt=attempt, keys=keys):
                read = self.table.read_now
                self._read(daemon, attempt, lambda: ChangesRead(attempt, read(keys)))
            case ScanRequested(attempt=attempt):
                self._read(daemon, attempt, lambda: self._scan(effect))
            case PeerAsked(instance=instance):
                peer = self._find(instance)
                if peer is not None:
                    self._send(peer, ConfigurationRequested(daemon.name))
            case PeerAnswered(instance=instance, offer=offer):
                peer = self._find(instance)
                if peer is not None:
                    self._send(peer, offer)
            case RevisionRefused(problem=problem):
                self.refusals.append(problem)
            case ConfigurationApplied(configuration=configuration):
                daemon.applied.append((self.now, configuration.revision))

    def _read_head(self, attempt: int) -> HeadRead:
        rows = self.table.read_now((HEAD_KEY,))
        return HeadRead(attempt, rows[0] if rows else None)

    def _scan(self, scan: ScanRequested) -> RecordsRead:
        page = self.table.scan_now(scan.prefix, scan.after, limit=3)
        return RecordsRead(scan.attempt, page.rows, page.resume_after)

    def _read(
        self, daemon: Daemon, attempt: int, read: Callable[[], WatcherMessage]
    ) -> None:
        def serve() -> None:
            lost = self.random.random() < self.trouble
            if lost or not self._reaches(daemon):
                self.at(self._delay(), lambda: self.post(daemon, ReadFailed(attempt)))
                return
            reply = read()
            self.at(self._delay(), lambda: self.post(daemon, reply))

        self.at(self._delay(), serve)

    def _reaches(self, daemon: Daemon) -> bool:
        return self.now >= max(self.outage_until, daemon.cut_until)

    def submit(self, daemon: Daemon, change: Change, timeout: float = 10.0) -> None:
        """Let a daemon bring a change into the table."""
        acceptance = Acceptance(change, self.now + timeout, daemon.schema)
        self.at(timeout, lambda: self._drive(daemon, acceptance, TimePassed()))
        for effect in acceptance.start():
            self._follow(daemon, acceptance, effect)

    def _drive(self, daemon: Daemon, acceptance: Acceptance, message) -> None:
        if daemon.alive:
            for effect in acceptance.receive(message, self.now):
                self._follow(daemon, acceptance, effect)

    def _follow(
        self, daemon: Daemon, acceptance: Acceptance, effect: AcceptanceEffect
    ) -> None:
        match effect:
            case RowsWanted(keys=keys):
                self.at(self._delay(), lambda: self._serve(daemon, acceptance, keys))
            case CommitWanted():
                self.at(self._delay(), lambda: self._commit(daemon, acceptance, effect))
            case SnapshotRequested():
                self._await_snapshot(daemon, acceptance, self.now)
            case WaitWanted(until=until):
                wait = until - self.now
                self.at(wait, lambda: self._drive(daemon, acceptance, TimePassed()))
            case ChangeAccepted(change=change) | ChangeNotMade(change=change):
                self.outcomes[change] = effect
            case ChangeUncertain(change=change):
                self.outcomes[change] = effect
            case ChangeRefused():
                self.outcomes[acceptance.change_id] = effect

    def _serve(self, daemon: Daemon, acceptance: Acceptance, keys) -> None:
        rows: tuple[Row, ...] | None = None
        if self._reaches(daemon) and self.random.random() >= self.trouble:
            rows = self.table.read_now(keys)
        reply = RowsReplied(rows)
        self.at(self._delay(), lambda: self._drive(daemon, acceptance, reply))

    def _commit(
        self, daemon: Daemon, acceptance: Acceptance, wanted: CommitWanted
    ) -> None:
        reply = CommitReplied(Unavailable())
        if self._reaches(daemon):
            fate = self.random.random()
            if fate < self.trouble / 2:
                # The commit takes effect long after its sender gave up on a reply.
                late = self._delay() + 1.0
                self.at(late, lambda: self._commit_now(wanted.transaction))
                reply = CommitReplied(Unknown())
            else:
                outcome = self._commit_now(wanted.transaction)
                reply = CommitReplied(Unknown() if fate < self.trouble else outcome)
        self.at(self._delay(), lambda: self._drive(daemon, acceptance, reply))

    def _commit_now(self, transaction: Transaction) -> Committed | Conflict:
        outcome = self.table.commit_now(transaction)
        if isinstance(outcome, Committed):
            self.commit_times.append(self.now)
        return outcome

    def _await_snapshot(
        self, daemon: Daemon, acceptance: Acceptance, asked: float
    ) -> None:
        watcher = daemon.watcher
        confirmed = watcher.confirmed_at
        if confirmed is not None and confirmed - daemon.offset >= asked:
            assert watcher.snapshot is not None
            self._drive(daemon, acceptance, SnapshotTaken(watcher.snapshot))
        elif daemon.alive and self.now < asked + 20:
            self.post(daemon, RefreshRequested())
            self.at(0.1, lambda: self._await_snapshot(daemon, acceptance, asked))

"""Simulated fleet: watchers and operators on one table, with injected faults."""

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
    CommitRequested,
    ConfigurationApplied,
    ConfigurationRequested,
    HeadRead,
    HeadRequested,
    OfferReplied,
    OfferRequested,
    PeerRevision,
    ReadFailed,
    ReadRequested,
    RecordsRead,
    RefreshRequested,
    RevisionRefused,
    RowsReplied,
    RowsRequested,
    ScanRequested,
    SnapshotRequested,
    SnapshotTaken,
    Ticked,
    TimePassed,
    WaitRequested,
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
    """One daemon, with its injected faults."""

    name: str
    watcher: Watcher
    #: Highest schema version that the daemon reads.
    schema: int
    #: Local clock minus virtual time, in seconds; differs between daemons.
    offset: float
    paused_until: float = 0.0
    partitioned_until: float = 0.0
    alive: bool = True
    #: Revisions that were put in force, in order, each with its virtual time.
    applied: list[tuple[float, int]] = dataclasses.field(default_factory=list)


class Fleet:
    """Watchers, operators and a table.

    Calls of the table may fail, be delayed or lose their replies.
    """

    def __init__(self, rng: random.Random, policies: Iterable[WatchPolicy]):
        self.rng = rng
        self.now = 0.0
        self.table = MemoryTable()
        #: Virtual times of the successful commits; index 0 is revision 1.
        self.commit_times: list[float] = []
        self.outage_until = 0.0
        self.fault_rate = 0.0
        self.outcomes: dict[str, ChangeOutcome] = {}
        self.daemons: list[Daemon] = []
        #: Reasons for which daemons rejected revisions.
        self.refusals: list[str] = []
        #: Daemons that were stopped and replaced by a restart.
        self.replaced: list[Daemon] = []
        self._events: list[tuple[float, int, Callable[[], object]]] = []
        self._numbers = itertools.count()
        for policy in policies:
            self.add_daemon(policy)

    def schedule(self, delay: float, action: Callable[[], object]) -> None:
        heapq.heappush(self._events, (self.now + delay, next(self._numbers), action))

    def run(self, until: float) -> None:
        while self._events and self._events[0][0] <= until:
            self.now, _, action = heapq.heappop(self._events)
            action()
        self.now = until

    def add_daemon(self, policy: WatchPolicy) -> Daemon:
        name = f"d{next(self._numbers)}"
        offset = self.rng.uniform(0, 1000)
        daemon = Daemon(name, Watcher(name, policy), policy.schema, offset)
        self.daemons.append(daemon)
        self.schedule(self.rng.uniform(0, 1), lambda: self._tick(daemon))
        self.schedule(self.rng.uniform(0, 1), lambda: self._gossip(daemon))
        return daemon

    def restart(self, daemon: Daemon, policy: WatchPolicy) -> None:
        daemon.alive = False
        self.daemons.remove(daemon)
        self.replaced.append(daemon)
        self.add_daemon(policy)

    def deliver(self, daemon: Daemon, message: WatcherMessage) -> None:
        if not daemon.alive:
            return
        if daemon.paused_until > self.now:
            delay = daemon.paused_until - self.now
            self.schedule(delay, lambda: self.deliver(daemon, message))
            return
        for effect in daemon.watcher.receive(message, self.now + daemon.offset):
            self._perform(daemon, effect)
        self._check_confirmed_at(daemon)

    def _check_confirmed_at(self, daemon: Daemon) -> None:
        """Check that the confirmed revision was the newest at its confirmation time."""
        confirmed, snapshot = daemon.watcher.confirmed_at, daemon.watcher.snapshot
        if confirmed is not None and snapshot is not None:
            confirmed_at = confirmed - daemon.offset
            newest = sum(committed < confirmed_at for committed in self.commit_times)
            assert snapshot.revision >= newest, (daemon.name, confirmed_at, newest)

    def _tick(self, daemon: Daemon) -> None:
        if daemon.alive:
            self.deliver(daemon, Ticked())
            self.schedule(TICK_SECONDS, lambda: self._tick(daemon))

    def _gossip(self, daemon: Daemon) -> None:
        if not daemon.alive:
            return
        self.schedule(GOSSIP_SECONDS, lambda: self._gossip(daemon))
        snapshot = daemon.watcher.snapshot
        peers = [peer for peer in self.daemons if peer is not daemon]
        if snapshot is None or not peers or daemon.paused_until > self.now:
            return
        peer = self.rng.choice(peers)
        confirmed = daemon.watcher.confirmed_at
        if confirmed is not None:
            confirmed += peer.offset - daemon.offset
        message = PeerRevision(daemon.name, snapshot.revision, confirmed)
        self._send(peer, message)

    def _send(self, peer: Daemon, message: WatcherMessage) -> None:
        if self.rng.random() >= self.fault_rate:
            self.schedule(self._delay(), lambda: self.deliver(peer, message))

    def _delay(self) -> float:
        is_delayed = self.rng.random() < self.fault_rate
        return self.rng.uniform(0.5, 8.0) if is_delayed else self.rng.uniform(0, 0.02)

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
            case OfferRequested(instance=instance):
                peer = self._find(instance)
                if peer is not None:
                    self._send(peer, ConfigurationRequested(daemon.name))
            case OfferReplied(instance=instance, offer=offer):
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
            lost = self.rng.random() < self.fault_rate
            if lost or not self._reaches_table(daemon):
                self.schedule(
                    self._delay(), lambda: self.deliver(daemon, ReadFailed(attempt))
                )
                return
            reply = read()
            self.schedule(self._delay(), lambda: self.deliver(daemon, reply))

        self.schedule(self._delay(), serve)

    def _reaches_table(self, daemon: Daemon) -> bool:
        return self.now >= max(self.outage_until, daemon.partitioned_until)

    def submit(self, daemon: Daemon, change: Change, timeout: float = 10.0) -> None:
        """Start the acceptance of a change on a daemon; `timeout` is in seconds."""
        acceptance = Acceptance(change, self.now + timeout, daemon.schema)
        self.schedule(
            timeout,
            lambda: self._deliver_to_acceptance(daemon, acceptance, TimePassed()),
        )
        for effect in acceptance.start():
            self._perform_acceptance_effect(daemon, acceptance, effect)

    def _deliver_to_acceptance(
        self, daemon: Daemon, acceptance: Acceptance, message
    ) -> None:
        if daemon.alive:
            for effect in acceptance.receive(message, self.now):
                self._perform_acceptance_effect(daemon, acceptance, effect)

    def _perform_acceptance_effect(
        self, daemon: Daemon, acceptance: Acceptance, effect: AcceptanceEffect
    ) -> None:
        match effect:
            case RowsRequested(keys=keys):
                self.schedule(
                    self._delay(), lambda: self._serve_rows(daemon, acceptance, keys)
                )
            case CommitRequested():
                self.schedule(
                    self._delay(), lambda: self._commit(daemon, acceptance, effect)
                )
            case SnapshotRequested():
                self._await_snapshot(daemon, acceptance, self.now)
            case WaitRequested(until=until):
                delay = until - self.now
                self.schedule(
                    delay,
                    lambda: self._deliver_to_acceptance(
                        daemon, acceptance, TimePassed()
                    ),
                )
            case ChangeAccepted(change=change) | ChangeNotMade(change=change):
                self.outcomes[change] = effect
            case ChangeUncertain(change=change):
                self.outcomes[change] = effect
            case ChangeRefused():
                self.outcomes[acceptance.change_id] = effect

    def _serve_rows(self, daemon: Daemon, acceptance: Acceptance, keys) -> None:
        rows: tuple[Row, ...] | None = None
        if self._reaches_table(daemon) and self.rng.random() >= self.fault_rate:
            rows = self.table.read_now(keys)
        reply = RowsReplied(rows)
        self.schedule(
            self._delay(),
            lambda: self._deliver_to_acceptance(daemon, acceptance, reply),
        )

    def _commit(
        self, daemon: Daemon, acceptance: Acceptance, request: CommitRequested
    ) -> None:
        reply = CommitReplied(Unavailable())
        if self._reaches_table(daemon):
            sample = self.rng.random()
            if sample < self.fault_rate / 2:
                # The commit takes effect late, as a rule after the daemon received
                # `Unknown`.
                delay = self._delay() + 1.0
                self.schedule(delay, lambda: self._commit_now(request.transaction))
                reply = CommitReplied(Unknown())
            else:
                outcome = self._commit_now(request.transaction)
                reply = CommitReplied(
                    Unknown() if sample < self.fault_rate else outcome
                )
        self.schedule(
            self._delay(),
            lambda: self._deliver_to_acceptance(daemon, acceptance, reply),
        )

    def _commit_now(self, transaction: Transaction) -> Committed | Conflict:
        outcome = self.table.commit_now(transaction)
        if isinstance(outcome, Committed):
            self.commit_times.append(self.now)
        return outcome

    def _await_snapshot(
        self, daemon: Daemon, acceptance: Acceptance, requested_at: float
    ) -> None:
        watcher = daemon.watcher
        confirmed = watcher.confirmed_at
        if confirmed is not None and confirmed - daemon.offset >= requested_at:
            assert watcher.snapshot is not None
            self._deliver_to_acceptance(
                daemon, acceptance, SnapshotTaken(watcher.snapshot)
            )
        elif daemon.alive and self.now < requested_at + 20:
            self.deliver(daemon, RefreshRequested())
            self.schedule(
                0.1, lambda: self._await_snapshot(daemon, acceptance, requested_at)
            )

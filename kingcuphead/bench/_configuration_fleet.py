"""Simulated fleet of configuration watchers on one table, in virtual time."""

import dataclasses
import heapq
import itertools
import random
from collections.abc import Callable

from kingcuphead.configuration import (
    HEAD_KEY,
    Change,
    ChangesRead,
    ConfigurationApplied,
    HeadRead,
    HeadRequested,
    PeerRevision,
    PutRecord,
    ReadFailed,
    ReadRequested,
    RecordsRead,
    ScanRequested,
    Snapshot,
    Ticked,
    Watcher,
    WatcherEffect,
    WatcherMessage,
    WatchPolicy,
    build_change,
    build_transaction,
)
from kingcuphead.records import Budget, RecordKind, RecordName, encode_record
from kingcuphead.storage import MemoryTable

TICK_SECONDS = 0.1
HEARTBEAT_SECONDS = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Conditions:
    """Delays and losses of a simulated run."""

    #: Label in the printed table.
    name: str
    #: Minimum and maximum one-way delay to the table, in seconds.
    table_delay: tuple[float, float]
    #: Probability that a read fails.
    lost_reads: float
    #: Whether each daemon sends its revision to a random peer once a second.
    heartbeats: bool


@dataclasses.dataclass(slots=True)
class Propagation:
    """Propagation of one accepted change through the fleet."""

    #: Virtual time of the commit, in seconds.
    committed_at: float
    #: Number of daemons that have applied this revision or a later one.
    daemon_count: int = 0
    #: Virtual time at which the last daemon applied it, in seconds; None before.
    completed_at: float | None = None


class ConfigurationFleet:
    """Simulation of watchers, a table and an operator that commits changes.

    Parameters
    ----------
    daemons : int
        Number of watchers.
    conditions : Conditions
        Delays and losses of the run.
    seed : int
        Seed of the random number generator.
    """

    def __init__(self, daemons: int, conditions: Conditions, seed: int) -> None:
        self._rng = random.Random(seed)
        self._conditions = conditions
        self._numbers = itertools.count()
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._snapshot = Snapshot()
        self._daemons = daemons
        self._applied_revisions = [0] * daemons
        policy = WatchPolicy()
        self._watchers = [Watcher(f"d{n}", policy) for n in range(daemons)]
        self.now = 0.0
        self.table = MemoryTable()
        #: Propagation of each accepted change, by revision.
        self.propagations: dict[int, Propagation] = {}
        for number in range(daemons):
            self._schedule(self._rng.uniform(0, 1), self._make_tick(number))
            self._schedule(self._rng.uniform(0, 1), self._make_heartbeat(number))

    def schedule_changes(self, count: int, start: float, end: float) -> None:
        """Schedule commits of changes at random times in an interval."""
        for _ in range(count):
            self._schedule(self._rng.uniform(start, end), self._commit_change)

    def run(self, until: float) -> None:
        """Run the simulation until a virtual time in seconds."""
        while self._events and self._events[0][0] <= until:
            self.now, _, action = heapq.heappop(self._events)
            action()

    def _schedule(self, delay: float, action: Callable[[], None]) -> None:
        entry = (self.now + delay, next(self._numbers), action)
        heapq.heappush(self._events, entry)

    def _commit_change(self) -> None:
        name = RecordName(RecordKind.BUDGET, f"b{self._rng.randrange(50)}")
        content = encode_record(Budget(name.name))
        edit = PutRecord(content, self._snapshot.get_revision(name))
        change = Change(f"c{next(self._numbers)}", "bench", self.now, (edit,))
        accepted = build_change(self._snapshot, change).ok
        outcome = self.table.commit_now(build_transaction(self._snapshot, accepted))
        version = getattr(outcome, "version", 0)
        self._snapshot = self._snapshot.with_change(accepted).with_version(version)
        self.propagations[self._snapshot.revision] = Propagation(self.now)

    def _make_tick(self, number: int) -> Callable[[], None]:
        def tick() -> None:
            self._process(number, Ticked())
            self._schedule(TICK_SECONDS, tick)

        return tick

    def _make_heartbeat(self, number: int) -> Callable[[], None]:
        def send_heartbeat() -> None:
            self._schedule(HEARTBEAT_SECONDS, send_heartbeat)
            if self._conditions.heartbeats:
                peer = self._rng.randrange(self._daemons)
                message = PeerRevision(f"d{number}", self._applied_revisions[number])
                delay = self._rng.uniform(0.001, 0.005)
                self._schedule(delay, lambda: self._process(peer, message))

        return send_heartbeat

    def _process(self, number: int, message: WatcherMessage) -> None:
        for effect in self._watchers[number].receive(message, self.now):
            self._execute(number, effect)

    def _execute(self, number: int, effect: WatcherEffect) -> None:
        match effect:
            case HeadRequested(attempt=attempt):
                self._read(number, attempt, lambda: self._read_head(attempt))
            case ReadRequested(attempt=attempt, keys=keys):
                self._read(
                    number,
                    attempt,
                    lambda: ChangesRead(attempt, self.table.read_now(keys)),
                )
            case ScanRequested(attempt=attempt):
                self._read(number, attempt, lambda: self._scan(effect))
            case ConfigurationApplied(configuration=configuration):
                self._record_applied(number, configuration.revision)

    def _read_head(self, attempt: int) -> HeadRead:
        rows = self.table.read_now((HEAD_KEY,))
        return HeadRead(attempt, rows[0] if rows else None)

    def _scan(self, scan: ScanRequested) -> RecordsRead:
        page = self.table.scan_now(scan.prefix, scan.after)
        return RecordsRead(scan.attempt, page.rows, page.resume_after)

    def _read(
        self, number: int, attempt: int, read: Callable[[], WatcherMessage]
    ) -> None:
        def serve() -> None:
            lost = self._rng.random() < self._conditions.lost_reads
            reply = ReadFailed(attempt) if lost else read()
            self._schedule(self._sample_delay(), lambda: self._process(number, reply))

        self._schedule(self._sample_delay(), serve)

    def _sample_delay(self) -> float:
        return self._rng.uniform(*self._conditions.table_delay)

    def _record_applied(self, number: int, revision: int) -> None:
        for applied in range(self._applied_revisions[number] + 1, revision + 1):
            propagation = self.propagations[applied]
            propagation.daemon_count += 1
            if propagation.daemon_count == self._daemons:
                propagation.completed_at = self.now
        self._applied_revisions[number] = revision

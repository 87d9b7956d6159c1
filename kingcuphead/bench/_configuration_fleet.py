"""Watchers over one table in virtual time, for the configuration bench."""

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
    """What calls and messages go through."""

    #: Label in the report.
    name: str
    #: Shortest and longest time of one way to the table, in seconds.
    table_delay: tuple[float, float]
    #: Share of reads that are lost.
    lost_reads: float
    #: Whether daemons tell each other their revision once a second.
    heartbeats: bool


@dataclasses.dataclass(slots=True)
class Acceptance:
    """One accepted change and its way through the fleet."""

    #: Virtual time of the commit.
    at: float
    #: Daemons that have it, or a later one, in force.
    reached: int = 0
    #: Virtual time at which the last daemon had it in force.
    complete: float | None = None


class ConfigurationFleet:
    """Watchers, one operator and a table.

    Parameters
    ----------
    daemons : int
        Number of watchers.
    conditions : Conditions
        Delays and losses.
    seed : int
        Seed of every random number.
    """

    def __init__(self, daemons: int, conditions: Conditions, seed: int) -> None:
        self._random = random.Random(seed)
        self._conditions = conditions
        self._numbers = itertools.count()
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._snapshot = Snapshot()
        self._daemons = daemons
        self._in_force = [0] * daemons
        policy = WatchPolicy()
        self._watchers = [Watcher(f"d{n}", policy) for n in range(daemons)]
        self.now = 0.0
        self.table = MemoryTable()
        #: Accepted changes by revision.
        self.acceptances: dict[int, Acceptance] = {}
        for number in range(daemons):
            self._at(self._random.uniform(0, 1), self._make_tick(number))
            self._at(self._random.uniform(0, 1), self._make_heartbeat(number))

    def schedule_changes(self, count: int, start: float, end: float) -> None:
        """Accept changes at random times."""
        for _ in range(count):
            self._at(self._random.uniform(start, end), self._accept)

    def run(self, until: float) -> None:
        """Run to a virtual time in seconds."""
        while self._events and self._events[0][0] <= until:
            self.now, _, action = heapq.heappop(self._events)
            action()

    def _at(self, delay: float, action: Callable[[], None]) -> None:
        entry = (self.now + delay, next(self._numbers), action)
        heapq.heappush(self._events, entry)

    def _accept(self) -> None:
        name = RecordName(RecordKind.BUDGET, f"b{self._random.randrange(50)}")
        content = encode_record(Budget(name.name))
        edit = PutRecord(content, self._snapshot.get_revision(name))
        change = Change(f"c{next(self._numbers)}", "bench", self.now, (edit,))
        accepted = build_change(self._snapshot, change).ok
        outcome = self.table.commit_now(build_transaction(self._snapshot, accepted))
        version = getattr(outcome, "version", 0)
        self._snapshot = self._snapshot.with_change(accepted).with_version(version)
        self.acceptances[self._snapshot.revision] = Acceptance(self.now)

    def _make_tick(self, number: int) -> Callable[[], None]:
        def tick() -> None:
            self._post(number, Ticked())
            self._at(TICK_SECONDS, tick)

        return tick

    def _make_heartbeat(self, number: int) -> Callable[[], None]:
        def beat() -> None:
            self._at(HEARTBEAT_SECONDS, beat)
            if self._conditions.heartbeats:
                peer = self._random.randrange(self._daemons)
                message = PeerRevision(f"d{number}", self._in_force[number])
                delay = self._random.uniform(0.001, 0.005)
                self._at(delay, lambda: self._post(peer, message))

        return beat

    def _post(self, number: int, message: WatcherMessage) -> None:
        for effect in self._watchers[number].receive(message, self.now):
            self._perform(number, effect)

    def _perform(self, number: int, effect: WatcherEffect) -> None:
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
                self._take_applied(number, configuration.revision)

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
            lost = self._random.random() < self._conditions.lost_reads
            reply = ReadFailed(attempt) if lost else read()
            self._at(self._draw_delay(), lambda: self._post(number, reply))

        self._at(self._draw_delay(), serve)

    def _draw_delay(self) -> float:
        return self._random.uniform(*self._conditions.table_delay)

    def _take_applied(self, number: int, revision: int) -> None:
        for passed in range(self._in_force[number] + 1, revision + 1):
            acceptance = self.acceptances[passed]
            acceptance.reached += 1
            if acceptance.reached == self._daemons:
                acceptance.complete = self.now
        self._in_force[number] = revision

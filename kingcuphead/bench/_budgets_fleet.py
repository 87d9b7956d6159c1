"""A fleet of ledgers in virtual time, with faults between them and the table."""

import dataclasses
import heapq
import itertools
import random
from collections.abc import Callable, Iterator

from kingcuphead.bench._budgets_table import MemoryTable
from kingcuphead.budgets import (
    BillSafe,
    CommitFinished,
    CommitRequested,
    Effect,
    FaultReported,
    HoldGranted,
    HoldRefused,
    Input,
    Ledger,
    Member,
    PeerMessage,
    ReadRequested,
    RowsRead,
    RowsScanned,
    ScanRequested,
    SendToPeer,
    Settings,
    SurrenderReported,
    Ticked,
    ViewChanged,
)
from kingcuphead.storage import CommitOutcome, Unavailable, Unknown

#: Seconds between two ticks of a daemon.
TICK_SECONDS = 0.05

#: Seconds after which a lost reply of the table is given up.
TABLE_TIMEOUT = 0.5

#: What a run is told of: grants, refusals, safe bills, faults and surrenders.
Report = HoldGranted | HoldRefused | BillSafe | FaultReported | SurrenderReported


@dataclasses.dataclass(slots=True)
class Faults:
    """Probabilities and delays of the network and the table."""

    #: Probability that a peer message is lost.
    loss: float = 0.0
    #: Probability that a peer message arrives twice.
    repeat: float = 0.0
    #: Longest extra delay of a peer message, in seconds; reorders messages.
    jitter: float = 0.0
    #: One-way delay between daemons, in seconds.
    delay: float = 0.0015
    #: One-way delay to the table, in seconds.
    table_delay: float = 0.003
    #: Probability that the reply to a commit is lost.
    lost_reply: float = 0.0
    #: Whether the table refuses every access.
    outage: bool = False
    #: Pairs of instances that cannot reach each other.
    cuts: set[frozenset[str]] = dataclasses.field(default_factory=set)
    #: Instances that cannot reach the table.
    table_cuts: set[str] = dataclasses.field(default_factory=set)


@dataclasses.dataclass(slots=True)
class Daemon:
    """One ledger with its place and its state of health."""

    #: The ledger.
    ledger: Ledger
    #: Its place.
    member: Member
    #: Whether it runs or is paused; a killed one never comes back.
    alive: bool = True
    #: Whether it is paused.
    frozen: bool = False
    #: Inputs that arrived while it was paused.
    backlog: list[Input] = dataclasses.field(default_factory=list)


class Fleet:
    """Daemons, table and network with one clock and one source of randomness.

    Parameters
    ----------
    settings : Settings
        Settings of every ledger.
    seed : int
        Seed of every random choice.
    report : callable
        Called with the daemon and each report.
    """

    def __init__(
        self, settings: Settings, seed: int, report: Callable[[Daemon, Report], None]
    ) -> None:
        self.settings = settings
        self.random = random.Random(seed)
        self.report = report
        self.table = MemoryTable()
        self.faults = Faults()
        self.daemons: dict[str, Daemon] = {}
        self.now = 0.0
        self.messages = 0
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.order = itertools.count()

    def start_daemon(
        self, name: str, zone: str, region: str, incarnation: str = "1"
    ) -> Daemon:
        """Start a daemon and tell everybody."""
        ledger = Ledger(name, incarnation, zone, region, self.settings)
        daemon = Daemon(ledger, Member(name, zone, region))
        self.daemons[name] = daemon
        self.announce()
        self.schedule(self.random.uniform(0, TICK_SECONDS), lambda: self.tick(daemon))
        return daemon

    def announce(self) -> None:
        """Give every daemon the true view."""
        members = tuple(daemon.member for daemon in self.iterate_alive())
        for daemon in self.iterate_alive():
            self.give(daemon, ViewChanged(members))

    def iterate_alive(self) -> Iterator[Daemon]:
        """Yield the daemons that were not killed, also the paused ones."""
        return (daemon for daemon in self.daemons.values() if daemon.alive)

    def kill(self, daemon: Daemon) -> None:
        """End a daemon for good."""
        daemon.alive = False

    def freeze(self, daemon: Daemon) -> None:
        """Pause a daemon."""
        daemon.frozen = True

    def thaw(self, daemon: Daemon) -> None:
        """Let a paused daemon go on with what arrived meanwhile."""
        daemon.frozen = False
        backlog, daemon.backlog = daemon.backlog, []
        for message in backlog:
            self.give(daemon, message)

    def schedule(self, delay: float, action: Callable[[], None]) -> None:
        """Run an action later."""
        heapq.heappush(self.events, (self.now + delay, next(self.order), action))

    def advance(self, seconds: float) -> None:
        """Let time pass."""
        end = self.now + seconds
        while self.events and self.events[0][0] <= end:
            self.now, _, action = heapq.heappop(self.events)
            action()
        self.now = end

    def tick(self, daemon: Daemon) -> None:
        """Tick a daemon for as long as it lives."""
        if not daemon.alive:
            return
        if not daemon.frozen:
            self.give(daemon, Ticked())
        self.schedule(TICK_SECONDS, lambda: self.tick(daemon))

    def give(self, daemon: Daemon, message: Input) -> None:
        """Hand a message to a daemon and carry out the effects."""
        if not daemon.alive:
            return
        if daemon.frozen:
            daemon.backlog.append(message)
            return
        for effect in daemon.ledger.receive(message, self.now):
            self.carry_out(daemon, effect)

    def carry_out(self, daemon: Daemon, effect: Effect) -> None:
        """Carry out one effect."""
        match effect:
            case SendToPeer(instance=name, message=message):
                self.send(daemon, name, message)
            case CommitRequested():
                self.commit(daemon, effect)
            case ReadRequested() | ScanRequested():
                self.read(daemon, effect)
            case HoldGranted() | HoldRefused() | BillSafe():
                self.report(daemon, effect)
            case FaultReported() | SurrenderReported():
                self.report(daemon, effect)

    def send(self, daemon: Daemon, name: str, message: PeerMessage) -> None:
        """Send a message through the faulty network."""
        self.messages += 1
        if self.is_cut(daemon.member.name, name):
            return
        if self.random.random() < self.faults.loss:
            return
        copies = 2 if self.random.random() < self.faults.repeat else 1
        for _ in range(copies):
            delay = self.faults.delay + self.random.uniform(0, self.faults.jitter)
            self.schedule(delay, lambda: self.deliver(daemon, name, message))

    def deliver(self, sender: Daemon, name: str, message: PeerMessage) -> None:
        """Hand a message to whichever incarnation runs under a name now.

        What a killed daemon had on the way is lost.
        """
        if sender.alive and name in self.daemons:
            self.give(self.daemons[name], message)

    def is_cut(self, first: str, second: str) -> bool:
        """Return whether two daemons cannot reach each other."""
        return frozenset((first, second)) in self.faults.cuts

    def is_table_cut(self, daemon: Daemon) -> bool:
        """Return whether a daemon cannot reach the table."""
        return self.faults.outage or daemon.member.name in self.faults.table_cuts

    def commit(self, daemon: Daemon, effect: CommitRequested) -> None:
        """Bring a transaction to the table."""
        delay = self.faults.table_delay
        if self.is_table_cut(daemon):
            self.answer_commit(daemon, effect.token, Unavailable(), 2 * delay)
        elif self.random.random() < self.faults.lost_reply:
            # The write lands before, long after, or never; the reply is lost.
            landing = self.random.choice((delay, 3 * TABLE_TIMEOUT, None))
            if landing is not None:
                transaction = effect.transaction
                self.schedule(landing, lambda: self.land(transaction))
            self.answer_commit(daemon, effect.token, Unknown(), TABLE_TIMEOUT)
        else:
            self.schedule(delay, lambda: self.apply(daemon, effect))

    def land(self, transaction: object) -> None:
        """Apply a transaction whose reply is lost."""
        self.table.commit(transaction)  # type: ignore[arg-type]

    def apply(self, daemon: Daemon, effect: CommitRequested) -> None:
        """Apply a transaction and send the reply."""
        outcome = self.table.commit(effect.transaction)
        self.answer_commit(daemon, effect.token, outcome, self.faults.table_delay)

    def answer_commit(
        self, daemon: Daemon, token: int, outcome: CommitOutcome, delay: float
    ) -> None:
        """Bring an outcome to a daemon."""
        answer = CommitFinished(token, outcome)
        self.schedule(delay, lambda: self.give(daemon, answer))

    def read(self, daemon: Daemon, effect: ReadRequested | ScanRequested) -> None:
        """Bring a reading to the table."""
        self.schedule(self.faults.table_delay, lambda: self.answer_read(daemon, effect))

    def answer_read(
        self, daemon: Daemon, effect: ReadRequested | ScanRequested
    ) -> None:
        """Read and send the reply."""
        cut = self.is_table_cut(daemon)
        match effect:
            case ReadRequested(token=token, keys=keys):
                rows = None if cut else self.table.read(keys)
                answer: Input = RowsRead(token, rows)
            case ScanRequested():
                page = self.table.scan(effect.prefix, effect.after, effect.limit)
                answer = RowsScanned(effect.token, None if cut else page)
        self.schedule(self.faults.table_delay, lambda: self.give(daemon, answer))

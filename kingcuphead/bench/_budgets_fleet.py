"""Simulated fleet of ledgers in virtual time, with network and table faults."""

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

#: Seconds after which a daemon stops waiting for a reply of the table.
TABLE_TIMEOUT = 0.5

#: Effects that are passed to the `report` callback of a fleet.
Report = HoldGranted | HoldRefused | BillSafe | FaultReported | SurrenderReported


@dataclasses.dataclass(slots=True)
class Faults:
    """Fault probabilities and delays of the network and the table."""

    #: Probability that a peer message is lost.
    loss: float = 0.0
    #: Probability that a peer message arrives twice.
    duplication: float = 0.0
    #: Maximum random extra delay of a peer message, in seconds; reorders messages.
    jitter: float = 0.0
    #: One-way delay between daemons, in seconds.
    delay: float = 0.0015
    #: One-way delay to the table, in seconds.
    table_delay: float = 0.003
    #: Probability that the reply to a commit is lost.
    lost_reply: float = 0.0
    #: Whether the table is unavailable to every daemon.
    outage: bool = False
    #: Pairs of instances that cannot reach each other.
    cuts: set[frozenset[str]] = dataclasses.field(default_factory=set)
    #: Names of instances that cannot reach the table.
    table_cuts: set[str] = dataclasses.field(default_factory=set)


@dataclasses.dataclass(slots=True)
class Daemon:
    """A simulated daemon: its ledger and whether it runs."""

    #: Ledger under test.
    ledger: Ledger
    #: Name, zone and region, as its peers see them.
    member: Member
    #: Whether it has not been killed; true also while it is frozen.
    is_alive: bool = True
    #: Whether it is paused and queues its inputs.
    is_frozen: bool = False
    #: Inputs that arrived while it was frozen, in order.
    backlog: list[Input] = dataclasses.field(default_factory=list)


class Fleet:
    """Daemons, table and network with one virtual clock and one `rng`.

    Parameters
    ----------
    settings : Settings
        Settings of every ledger.
    seed : int
        Seed of the random number generator.
    report : callable
        Called with a daemon and each `Report` effect of its ledger.
    """

    def __init__(
        self, settings: Settings, seed: int, report: Callable[[Daemon, Report], None]
    ) -> None:
        self.settings = settings
        self.rng = random.Random(seed)
        self.report = report
        self.table = MemoryTable()
        self.faults = Faults()
        self.daemons: dict[str, Daemon] = {}
        self.now = 0.0
        self.messages = 0
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.event_numbers = itertools.count()

    def start_daemon(
        self, name: str, zone: str, region: str, incarnation: str = "1"
    ) -> Daemon:
        """Start a daemon and announce the new membership view."""
        ledger = Ledger(name, incarnation, zone, region, self.settings)
        daemon = Daemon(ledger, Member(name, zone, region))
        self.daemons[name] = daemon
        self.announce()
        self.schedule(self.rng.uniform(0, TICK_SECONDS), lambda: self.tick(daemon))
        return daemon

    def announce(self) -> None:
        """Send every daemon the current membership view."""
        members = tuple(daemon.member for daemon in self.iterate_alive())
        for daemon in self.iterate_alive():
            self.process_input(daemon, ViewChanged(members))

    def iterate_alive(self) -> Iterator[Daemon]:
        """Yield the daemons that were not killed, frozen ones included."""
        return (daemon for daemon in self.daemons.values() if daemon.is_alive)

    def kill(self, daemon: Daemon) -> None:
        """Kill a daemon; another incarnation may be started under its name."""
        daemon.is_alive = False

    def freeze(self, daemon: Daemon) -> None:
        """Pause a daemon; its inputs are queued."""
        daemon.is_frozen = True

    def thaw(self, daemon: Daemon) -> None:
        """Resume a frozen daemon and process its queued inputs."""
        daemon.is_frozen = False
        backlog, daemon.backlog = daemon.backlog, []
        for message in backlog:
            self.process_input(daemon, message)

    def schedule(self, delay: float, action: Callable[[], None]) -> None:
        """Schedule an action after a delay in seconds."""
        heapq.heappush(
            self.events, (self.now + delay, next(self.event_numbers), action)
        )

    def advance(self, seconds: float) -> None:
        """Advance virtual time and run the actions that become due."""
        end = self.now + seconds
        while self.events and self.events[0][0] <= end:
            self.now, _, action = heapq.heappop(self.events)
            action()
        self.now = end

    def tick(self, daemon: Daemon) -> None:
        """Tick a daemon and schedule its next tick, until it is killed."""
        if not daemon.is_alive:
            return
        if not daemon.is_frozen:
            self.process_input(daemon, Ticked())
        self.schedule(TICK_SECONDS, lambda: self.tick(daemon))

    def process_input(self, daemon: Daemon, message: Input) -> None:
        """Pass an input to a daemon's ledger and execute the effects."""
        if not daemon.is_alive:
            return
        if daemon.is_frozen:
            daemon.backlog.append(message)
            return
        for effect in daemon.ledger.receive(message, self.now):
            self.execute_effect(daemon, effect)

    def execute_effect(self, daemon: Daemon, effect: Effect) -> None:
        """Execute one effect of a ledger."""
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
        """Send a message through the network, which may lose, delay or duplicate it."""
        self.messages += 1
        if self.is_cut(daemon.member.name, name):
            return
        if self.rng.random() < self.faults.loss:
            return
        deliveries = 2 if self.rng.random() < self.faults.duplication else 1
        for _ in range(deliveries):
            delay = self.faults.delay + self.rng.uniform(0, self.faults.jitter)
            self.schedule(delay, lambda: self.deliver(daemon, name, message))

    def deliver(self, sender: Daemon, name: str, message: PeerMessage) -> None:
        """Deliver a message to the current incarnation of the named receiver.

        Messages in flight from a daemon that was killed are lost.
        """
        if sender.is_alive and name in self.daemons:
            self.process_input(self.daemons[name], message)

    def is_cut(self, first: str, second: str) -> bool:
        """Return whether the network between two daemons is cut."""
        return frozenset((first, second)) in self.faults.cuts

    def is_table_cut(self, daemon: Daemon) -> bool:
        """Return whether a daemon cannot reach the table."""
        return self.faults.outage or daemon.member.name in self.faults.table_cuts

    def commit(self, daemon: Daemon, effect: CommitRequested) -> None:
        """Send a transaction to the table."""
        delay = self.faults.table_delay
        if self.is_table_cut(daemon):
            self.reply_to_commit(daemon, effect.token, Unavailable(), 2 * delay)
        elif self.rng.random() < self.faults.lost_reply:
            # The reply is lost. The write is applied before the timeout, after it or
            # never.
            applied_after = self.rng.choice((delay, 3 * TABLE_TIMEOUT, None))
            if applied_after is not None:
                transaction = effect.transaction
                self.schedule(applied_after, lambda: self.apply_unanswered(transaction))
            self.reply_to_commit(daemon, effect.token, Unknown(), TABLE_TIMEOUT)
        else:
            self.schedule(delay, lambda: self.apply_commit(daemon, effect))

    def apply_unanswered(self, transaction: object) -> None:
        """Apply a transaction without a reply."""
        self.table.commit(transaction)  # type: ignore[arg-type]

    def apply_commit(self, daemon: Daemon, effect: CommitRequested) -> None:
        """Apply a transaction and reply with its outcome."""
        outcome = self.table.commit(effect.transaction)
        self.reply_to_commit(daemon, effect.token, outcome, self.faults.table_delay)

    def reply_to_commit(
        self, daemon: Daemon, token: int, outcome: CommitOutcome, delay: float
    ) -> None:
        """Schedule the delivery of a commit outcome to a daemon."""
        reply = CommitFinished(token, outcome)
        self.schedule(delay, lambda: self.process_input(daemon, reply))

    def read(self, daemon: Daemon, effect: ReadRequested | ScanRequested) -> None:
        """Send a read or scan to the table."""
        self.schedule(
            self.faults.table_delay, lambda: self.reply_to_read(daemon, effect)
        )

    def reply_to_read(
        self, daemon: Daemon, effect: ReadRequested | ScanRequested
    ) -> None:
        """Execute a read or scan and schedule the delivery of its reply."""
        is_cut_off = self.is_table_cut(daemon)
        match effect:
            case ReadRequested(token=token, keys=keys):
                rows = None if is_cut_off else self.table.read(keys)
                reply: Input = RowsRead(token, rows)
            case ScanRequested():
                page = self.table.scan(effect.prefix, effect.after, effect.limit)
                reply = RowsScanned(effect.token, None if is_cut_off else page)
        self.schedule(
            self.faults.table_delay, lambda: self.process_input(daemon, reply)
        )

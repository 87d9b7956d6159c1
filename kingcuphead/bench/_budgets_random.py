"""Randomised simulation of a fleet of ledgers, audited after every step."""

import dataclasses
import functools
from collections import Counter
from collections.abc import Callable

from expression import Result

from kingcuphead.bench._budgets_audit import AuditRecords, audit_fleet
from kingcuphead.bench._budgets_fleet import Daemon, Faults, Fleet, Report
from kingcuphead.budgets import (
    BillSafe,
    BudgetError,
    FaultReported,
    HoldGranted,
    HoldRefused,
    HoldReleased,
    HoldRequested,
    HoldSettled,
    Settings,
    ShardVersion,
    ShutdownStarted,
    SurrenderReported,
    SurrenderStarted,
    ViewChanged,
    build_creation,
    build_reduction,
    build_release,
    build_shard_key,
    build_topup,
    compute_shard,
    parse_shard,
)
from kingcuphead.invariants import ensure
from kingcuphead.records import BudgetPolicy
from kingcuphead.storage import Committed, Instance, InstanceState, Transaction

#: Name, initial limit in tokens, and policy of each budget.
BUDGETS = (
    ("large", 200_000, BudgetPolicy.STRICT),
    ("medium", 6_000, BudgetPolicy.AVAILABLE),
    ("small", 900, BudgetPolicy.STRICT),
)

#: Zone and region of each initial daemon.
LOCATIONS = (
    ("zone-a", "north"),
    ("zone-b", "north"),
    ("zone-c", "north"),
    ("zone-d", "south"),
    ("zone-e", "south"),
)

#: Seconds without faults within which all bills must be committed.
SETTLING_SECONDS = 90.0

#: Minimum seconds between two kills.
KILL_INTERVAL_SECONDS = 5.0

#: Seconds without faults before a kill, so that a bill cannot lose both daemons that
#: keep it.
RECOVERY_SECONDS = 8.0

#: Settings that make flushes and page boundaries frequent.
SETTINGS = Settings(shards=2, flush_interval=0.05, scan_rows=7, page_bills=5)


@dataclasses.dataclass(slots=True)
class Attempt:
    """An attempt at a request on one daemon."""

    #: Hold request that was sent.
    request: HoldRequested
    #: Daemon that received it.
    daemon: Daemon
    #: Whether `BillSafe` was reported for it.
    is_durable: bool = False


class RandomRun:
    """Random actions on a fleet; the fleet is audited after each of them.

    Parameters
    ----------
    seed : int
        Seed of the random number generator.
    """

    def __init__(self, seed: int) -> None:
        self.fleet = Fleet(SETTINGS, seed, self.handle_report)
        self.rng = self.fleet.rng
        self.attempts: dict[str, Attempt] = {}
        self.counts: Counter[str] = Counter()
        self.surrendered: dict[tuple[str, str], tuple[str, ...]] = {}
        self.killed_at = 0.0
        self.count = 0
        for name, limit, _ in BUDGETS:
            self.run_command(
                name, functools.partial(build_creation, budget=name, limit=limit)
            )
        for index, (zone, region) in enumerate(LOCATIONS):
            self.fleet.start_daemon(f"daemon-{index}", zone, region)

    def run(self, steps: int) -> AuditRecords:
        """Execute random actions, then stop all faults and check the final state."""
        for _ in range(steps):
            action = self.rng.choices(ACTIONS, WEIGHTS)[0]
            self.counts[action.__name__] += 1
            action(self)
            self.fleet.advance(self.rng.choice((0.001, 0.01, 0.1, 0.6)))
            audit_fleet(self.fleet)
        return self.finish()

    def finish(self) -> AuditRecords:
        """End every fault and check that no bill or hold remains open."""
        self.heal()
        self.fleet.advance(SETTLING_SECONDS)
        records = audit_fleet(self.fleet)
        billed = {bill.request_id for bill in records.bills}
        for attempt in self.attempts.values():
            is_billed = not attempt.is_durable or attempt.request.request_id in billed
            ensure(is_billed, "a durable bill is committed", request=attempt.request)
        for daemon in self.fleet.iterate_alive():
            ledger = daemon.ledger
            ensure(not ledger.outbox.entries, "all bills are committed")
            ensure(not ledger.borrower.holds, "all holds are settled")
        return records

    def handle_report(self, daemon: Daemon, report: Report) -> None:
        """Count a report and continue the request that it concerns."""
        self.counts[type(report).__name__] += 1
        match report:
            case HoldGranted(hold_id=hold_id):
                self.schedule_end(daemon, hold_id)
            case BillSafe(hold_id=hold_id):
                self.attempts[hold_id].is_durable = True
            case SurrenderReported(
                budget=budget, grant_id=grant_id, surrendered=daemon_names
            ):
                self.surrendered[budget, grant_id] = daemon_names
            case HoldRefused(verdict=verdict):
                self.counts[verdict.reason.value] += 1
            case FaultReported(kind=kind):
                self.counts[kind] += 1

    def schedule_end(self, daemon: Daemon, hold_id: str) -> None:
        """Schedule the settlement or release of a granted hold."""
        bound = self.attempts[hold_id].request.tokens
        used = self.rng.choice((0, bound // 3, bound, bound + 5))
        end: HoldReleased | HoldSettled = HoldSettled(
            hold_id, 0, used, self.rng.random() < 0.9, 0.0
        )
        if self.rng.random() < 0.15:
            end = HoldReleased(hold_id)
        seconds = self.rng.choice((0.0, 0.05, 0.5, 4.0))
        self.fleet.schedule(seconds, lambda: self.fleet.process_input(daemon, end))

    def choose_daemon(self) -> Daemon:
        """Choose a daemon that was not killed."""
        return self.rng.choice(list(self.fleet.iterate_alive()))

    def request(self) -> None:
        """Request a few holds, some of them as retries of recent requests."""
        for _ in range(self.rng.choice((1, 1, 3, 8))):
            self.count += 1
            name, _, policy = self.rng.choice(BUDGETS)
            request_id = f"request-{self.count}"
            if self.attempts and self.rng.random() < 0.25:
                earlier = self.rng.choice(list(self.attempts.values())[-20:]).request
                request_id, name = earlier.request_id, earlier.budget
            request = HoldRequested(
                hold_id=f"hold-{self.count}",
                request_id=request_id,
                budget=name,
                organisation="organisation",
                tokens=self.rng.choice((1, 20, 150, 400)),
                policy=policy,
                deadline=self.fleet.now + self.rng.choice((0.3, 2.0)),
            )
            daemon = self.choose_daemon()
            self.attempts[request.hold_id] = Attempt(request, daemon)
            self.fleet.process_input(daemon, request)

    def spoil_network(self) -> None:
        """Change the loss, duplication and reordering of messages."""
        self.fleet.faults.loss = self.rng.choice((0.0, 0.1, 0.5))
        self.fleet.faults.duplication = self.rng.choice((0.0, 0.2))
        self.fleet.faults.jitter = self.rng.choice((0.0, 0.05, 1.0))

    def spoil_table(self) -> None:
        """Change the table's faults: lost replies, an outage, a cut to one daemon."""
        faults = self.fleet.faults
        faults.lost_reply = self.rng.choice((0.0, 0.1, 0.5))
        faults.outage = self.rng.random() < 0.2
        faults.table_cuts = {self.choose_daemon().member.name}

    def cut(self) -> None:
        """Cut the network between two daemons."""
        daemon_names = (
            self.choose_daemon().member.name,
            self.choose_daemon().member.name,
        )
        self.fleet.faults.cuts.add(frozenset(daemon_names))

    def heal(self) -> None:
        """End every fault and send every daemon the current membership view."""
        self.fleet.faults = Faults()
        for daemon in self.fleet.iterate_alive():
            if daemon.is_frozen:
                self.fleet.thaw(daemon)
        self.fleet.announce()

    def mislead(self) -> None:
        """Send one daemon an incomplete membership view."""
        members = [daemon.member for daemon in self.fleet.iterate_alive()]
        part = self.rng.sample(members, self.rng.randint(1, len(members)))
        self.fleet.process_input(self.choose_daemon(), ViewChanged(tuple(part)))

    def freeze(self) -> None:
        """Pause a daemon for a while, possibly longer than any timeout."""
        daemon = self.choose_daemon()
        self.fleet.freeze(daemon)
        self.fleet.schedule(
            self.rng.choice((0.5, 6.0, 20.0)), lambda: self.fleet.thaw(daemon)
        )

    def kill(self) -> None:
        """Kill a daemon during requests; start a replacement or a new incarnation."""
        if self.fleet.now - self.killed_at < KILL_INTERVAL_SECONDS:
            return
        # Restores two copies of every durable bill before a daemon that keeps one dies.
        self.heal()
        self.fleet.advance(RECOVERY_SECONDS)
        self.request()
        self.fleet.advance(self.rng.choice((0.001, 0.004, 0.02, 0.1)))
        self.killed_at = self.fleet.now
        daemon = self.choose_daemon()
        self.fleet.kill(daemon)
        if self.rng.random() < 0.5:
            self.replace(daemon)
        else:
            member = daemon.member
            incarnation = f"{self.count}"
            self.fleet.start_daemon(
                member.name, member.zone, member.region, incarnation
            )

    def replace(self, daemon: Daemon) -> None:
        """Start a new daemon in the zone and region of another one."""
        name = f"daemon-{len(self.fleet.daemons)}"
        self.fleet.start_daemon(name, daemon.member.zone, daemon.member.region)

    def shut_down(self) -> None:
        """Start the shutdown of a daemon and start its replacement.

        The daemon keeps running, so that it can return its credit.
        """
        if len(self.fleet.daemons) < 2 * len(LOCATIONS):
            daemon = self.choose_daemon()
            self.fleet.process_input(daemon, ShutdownStarted())
            self.replace(daemon)

    def top_up(self) -> None:
        """Send the same top-up twice, as two operators might."""
        name, _, _ = self.rng.choice(BUDGETS)
        topup = f"topup-{self.rng.randint(0, 40)}"
        for _ in range(2):
            self.run_command(name, lambda shard: build_topup(shard, name, topup, 300))

    def reduce(self) -> None:
        """Lower the limit of a budget, if its grants and settled tokens permit it."""
        name, first, _ = self.rng.choice(BUDGETS)
        limit = self.rng.randint(first // 2, first)
        self.run_command(name, lambda shard: build_reduction(shard, name, limit))

    def collect_surrenders(self) -> None:
        """Collect surrenders of the grants of each killed daemon."""
        for daemon in self.fleet.daemons.values():
            if not daemon.is_alive:
                name, _, _ = self.rng.choice(BUDGETS)
                message = SurrenderStarted(name, daemon.ledger.name)
                self.fleet.process_input(self.choose_daemon(), message)

    def release(self) -> None:
        """Release the grants for which surrenders were reported."""
        instances = tuple(
            Instance(name, "kingcuphead", "", "", self.get_instance_state(daemon))
            for name, daemon in self.fleet.daemons.items()
        )
        for (budget, grant_id), daemon_names in self.surrendered.items():
            build_command = functools.partial(
                build_release,
                budget=budget,
                grant_id=grant_id,
                instances=instances,
                surrendered=daemon_names,
            )
            done = self.run_command(budget, build_command)
            self.counts["released"] += done

    def get_instance_state(self, daemon: Daemon) -> InstanceState:
        """Return a daemon's state in the platform's instance list."""
        return InstanceState.LIVE if daemon.is_alive else InstanceState.TERMINATED

    def run_command(
        self,
        budget: str,
        build_command: Callable[[ShardVersion], Result[Transaction, BudgetError]],
    ) -> bool:
        """Execute an operator's command; return whether it was committed."""
        shard = compute_shard(budget, self.fleet.settings.shards)
        rows = self.fleet.table.read((build_shard_key(shard),))
        match build_command(parse_shard(shard, rows)):
            case Result(tag="ok", ok=transaction):
                outcome = self.fleet.table.commit(transaction)
                return isinstance(outcome, Committed)
            case _:
                return False


#: Actions of a run and their weights. Their names are printed with the counts.
ACTIONS = (
    RandomRun.request,
    RandomRun.spoil_network,
    RandomRun.spoil_table,
    RandomRun.cut,
    RandomRun.heal,
    RandomRun.mislead,
    RandomRun.freeze,
    RandomRun.kill,
    RandomRun.shut_down,
    RandomRun.top_up,
    RandomRun.reduce,
    RandomRun.collect_surrenders,
    RandomRun.release,
)
WEIGHTS = (60, 4, 4, 3, 6, 3, 3, 8, 1, 3, 2, 3, 3)

"""Randomised runs of a fleet of ledgers, checked from outside after every step."""

import dataclasses
import functools
from collections import Counter
from collections.abc import Callable

from expression import Result

from kingcuphead.bench._budgets_books import Books, check_books
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

#: Budgets of a run with their first limit, in tokens, and policy.
BUDGETS = (
    ("large", 200_000, BudgetPolicy.STRICT),
    ("medium", 6_000, BudgetPolicy.AVAILABLE),
    ("small", 900, BudgetPolicy.STRICT),
)

#: Places of the first daemons.
PLACES = (
    ("zone-a", "north"),
    ("zone-b", "north"),
    ("zone-c", "north"),
    ("zone-d", "south"),
    ("zone-e", "south"),
)

#: Seconds without faults after which the books have to be closed.
SETTLING_SECONDS = 90.0

#: Least seconds between two kills.
KILL_SECONDS = 5.0

#: Seconds without faults before a kill, so that no bill loses both of its keepers.
RECOVERY_SECONDS = 8.0

#: Settings under which a run meets many flushes and page boundaries.
SETTINGS = Settings(shards=2, flush_interval=0.05, scan_rows=7, page_bills=5)


@dataclasses.dataclass(slots=True)
class Try:
    """One try of a request on one daemon."""

    #: The request as it was sent.
    request: HoldRequested
    #: Daemon that serves it.
    daemon: Daemon
    #: Whether the bill was reported as safe.
    safe: bool = False


class RandomRun:
    """Random actions on a fleet; every rule is checked after each of them.

    Parameters
    ----------
    seed : int
        Seed of every choice.
    """

    def __init__(self, seed: int) -> None:
        self.fleet = Fleet(SETTINGS, seed, self.take_report)
        self.random = self.fleet.random
        self.tries: dict[str, Try] = {}
        self.reports: Counter[str] = Counter()
        self.surrendered: dict[tuple[str, str], tuple[str, ...]] = {}
        self.killed_at = 0.0
        self.count = 0
        for name, limit, _ in BUDGETS:
            self.operate(
                name, functools.partial(build_creation, budget=name, limit=limit)
            )
        for index, (zone, region) in enumerate(PLACES):
            self.fleet.start_daemon(f"daemon-{index}", zone, region)

    def run(self, steps: int) -> Books:
        """Take random steps, then let the fleet settle, and check the end."""
        for _ in range(steps):
            action = self.random.choices(ACTIONS, WEIGHTS)[0]
            self.reports[action.__name__] += 1
            action(self)
            self.fleet.advance(self.random.choice((0.001, 0.01, 0.1, 0.6)))
            check_books(self.fleet)
        return self.finish()

    def finish(self) -> Books:
        """Heal every fault and check that all bills are in the table."""
        self.heal()
        self.fleet.advance(SETTLING_SECONDS)
        books = check_books(self.fleet)
        billed = {bill.request_id for bill in books.bills}
        for tried in self.tries.values():
            known = not tried.safe or tried.request.request_id in billed
            ensure(known, "a safe bill is committed", request=tried.request)
        for daemon in self.fleet.iterate_alive():
            ledger = daemon.ledger
            ensure(not ledger.outbox.entries, "all bills are committed")
            ensure(not ledger.borrower.holds, "all holds are settled")
        return books

    def take_report(self, daemon: Daemon, report: Report) -> None:
        """Go on with a request, or take note of a report."""
        self.reports[type(report).__name__] += 1
        match report:
            case HoldGranted(hold_id=hold_id):
                self.serve(daemon, hold_id)
            case BillSafe(hold_id=hold_id):
                self.tries[hold_id].safe = True
            case SurrenderReported(budget=budget, grant_id=grant_id, surrendered=names):
                self.surrendered[budget, grant_id] = names
            case HoldRefused(verdict=verdict):
                self.reports[verdict.reason.value] += 1
            case FaultReported(kind=kind):
                self.reports[kind] += 1

    def serve(self, daemon: Daemon, hold_id: str) -> None:
        """End a granted request some time later."""
        bound = self.tries[hold_id].request.tokens
        used = self.random.choice((0, bound // 3, bound, bound + 5))
        end: HoldReleased | HoldSettled = HoldSettled(
            hold_id, 0, used, self.random.random() < 0.9, 0.0
        )
        if self.random.random() < 0.15:
            end = HoldReleased(hold_id)
        seconds = self.random.choice((0.0, 0.05, 0.5, 4.0))
        self.fleet.schedule(seconds, lambda: self.fleet.give(daemon, end))

    def choose_daemon(self) -> Daemon:
        """Return a daemon that was not killed."""
        return self.random.choice(list(self.fleet.iterate_alive()))

    def request(self) -> None:
        """Ask for a few holds, now and then for a request that was tried before."""
        for _ in range(self.random.choice((1, 1, 3, 8))):
            self.count += 1
            name, _, policy = self.random.choice(BUDGETS)
            request_id = f"request-{self.count}"
            if self.tries and self.random.random() < 0.25:
                earlier = self.random.choice(list(self.tries.values())[-20:]).request
                request_id, name = earlier.request_id, earlier.budget
            request = HoldRequested(
                hold_id=f"hold-{self.count}",
                request_id=request_id,
                budget=name,
                organisation="organisation",
                tokens=self.random.choice((1, 20, 150, 400)),
                policy=policy,
                deadline=self.fleet.now + self.random.choice((0.3, 2.0)),
            )
            daemon = self.choose_daemon()
            self.tries[request.hold_id] = Try(request, daemon)
            self.fleet.give(daemon, request)

    def spoil_network(self) -> None:
        """Lose, repeat and reorder messages from now on."""
        self.fleet.faults.loss = self.random.choice((0.0, 0.1, 0.5))
        self.fleet.faults.repeat = self.random.choice((0.0, 0.2))
        self.fleet.faults.jitter = self.random.choice((0.0, 0.05, 1.0))

    def spoil_table(self) -> None:
        """Lose replies, cut a daemon off the table, or stop the table."""
        faults = self.fleet.faults
        faults.lost_reply = self.random.choice((0.0, 0.1, 0.5))
        faults.outage = self.random.random() < 0.2
        faults.table_cuts = {self.choose_daemon().member.name}

    def cut(self) -> None:
        """Cut two daemons off each other."""
        names = self.choose_daemon().member.name, self.choose_daemon().member.name
        self.fleet.faults.cuts.add(frozenset(names))

    def heal(self) -> None:
        """End every fault and every wrong view."""
        self.fleet.faults = Faults()
        for daemon in self.fleet.iterate_alive():
            if daemon.frozen:
                self.fleet.thaw(daemon)
        self.fleet.announce()

    def mislead(self) -> None:
        """Give one daemon a wrong view."""
        members = [daemon.member for daemon in self.fleet.iterate_alive()]
        part = self.random.sample(members, self.random.randint(1, len(members)))
        self.fleet.give(self.choose_daemon(), ViewChanged(tuple(part)))

    def freeze(self) -> None:
        """Pause a daemon, for longer than any timeout."""
        daemon = self.choose_daemon()
        self.fleet.freeze(daemon)
        self.fleet.schedule(
            self.random.choice((0.5, 6.0, 20.0)), lambda: self.fleet.thaw(daemon)
        )

    def kill(self) -> None:
        """Kill a daemon in the midst of work and start another one in its place."""
        if self.fleet.now - self.killed_at < KILL_SECONDS:
            return
        # Every safe bill has two keepers again before one of them goes.
        self.heal()
        self.fleet.advance(RECOVERY_SECONDS)
        self.request()
        self.fleet.advance(self.random.choice((0.001, 0.004, 0.02, 0.1)))
        self.killed_at = self.fleet.now
        daemon = self.choose_daemon()
        self.fleet.kill(daemon)
        if self.random.random() < 0.5:
            self.replace(daemon)
        else:
            place = daemon.member
            incarnation = f"{self.count}"
            self.fleet.start_daemon(place.name, place.zone, place.region, incarnation)

    def replace(self, daemon: Daemon) -> None:
        """Start a new daemon in the place of one that went."""
        name = f"daemon-{len(self.fleet.daemons)}"
        self.fleet.start_daemon(name, daemon.member.zone, daemon.member.region)

    def shut_down(self) -> None:
        """Shut a daemon down; it stays until it has nothing left."""
        if len(self.fleet.daemons) < 2 * len(PLACES):
            daemon = self.choose_daemon()
            self.fleet.give(daemon, ShutdownStarted())
            self.replace(daemon)

    def top_up(self) -> None:
        """Let two operators send the same top-up."""
        name, _, _ = self.random.choice(BUDGETS)
        topup = f"topup-{self.random.randint(0, 40)}"
        for _ in range(2):
            self.operate(name, lambda shard: build_topup(shard, name, topup, 300))

    def reduce(self) -> None:
        """Lower a limit as far as may be."""
        name, first, _ = self.random.choice(BUDGETS)
        limit = self.random.randint(first // 2, first)
        self.operate(name, lambda shard: build_reduction(shard, name, limit))

    def collect_surrenders(self) -> None:
        """Start to release the grants of a dead daemon."""
        for daemon in self.fleet.daemons.values():
            if not daemon.alive:
                name, _, _ = self.random.choice(BUDGETS)
                message = SurrenderStarted(name, daemon.ledger.name)
                self.fleet.give(self.choose_daemon(), message)

    def release(self) -> None:
        """Release the grants that everybody gave up."""
        instances = tuple(
            Instance(name, "kingcuphead", "", "", self.get_state(daemon))
            for name, daemon in self.fleet.daemons.items()
        )
        for (budget, grant_id), names in self.surrendered.items():
            build = functools.partial(
                build_release,
                budget=budget,
                grant_id=grant_id,
                instances=instances,
                surrendered=names,
            )
            done = self.operate(budget, build)
            self.reports["released"] += done

    def get_state(self, daemon: Daemon) -> InstanceState:
        """Return the state in the platform's list."""
        return InstanceState.LIVE if daemon.alive else InstanceState.TERMINATED

    def operate(
        self,
        budget: str,
        build: Callable[[ShardVersion], Result[Transaction, BudgetError]],
    ) -> bool:
        """Run an operator's command; return whether it took effect."""
        shard = compute_shard(budget, self.fleet.settings.shards)
        rows = self.fleet.table.read((build_shard_key(shard),))
        match build(parse_shard(shard, rows)):
            case Result(tag="ok", ok=transaction):
                outcome = self.fleet.table.commit(transaction)
                return isinstance(outcome, Committed)
            case _:
                return False


#: Actions of a run with their weights.
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

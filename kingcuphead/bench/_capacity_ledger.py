"""Costs of the budgets: table accesses, messages and processor time of a fleet."""

import dataclasses
import time
from collections.abc import Iterator

from kingcuphead.bench._budgets_fleet import Daemon, Fleet, Report
from kingcuphead.bench._budgets_table import MemoryTable
from kingcuphead.bench._capacity_machines import measure_memory
from kingcuphead.bench._capacity_results import Point, Slope, measure_slope
from kingcuphead.budgets import (
    HoldGranted,
    HoldRequested,
    HoldSettled,
    Ledger,
    Settings,
    build_creation,
    build_shard_key,
    compute_shard,
    parse_shard,
)
from kingcuphead.records import BudgetPolicy

#: Requests a second of one daemon at the designed size (8,400 over 330).
REQUESTS_PER_DAEMON = 25.5
#: Budgets for each daemon at the designed size (18,000 over 330).
BUDGETS_PER_DAEMON = 55
#: Seconds between two flushes of a shard at the designed size.
FLUSH_INTERVAL = 4.0
#: Shards for each daemon at the designed size.
SHARDS_PER_DAEMON = 0.5
#: Virtual seconds before the measurement and of it.
WARM_UP_SECONDS = 40.0
MEASURED_SECONDS = 16.0
#: Upper bound and cost of each request, in tokens.
BOUND_TOKENS = 900
USED_TOKENS = 369
#: Seconds from hold to settlement.
ANSWER_SECONDS = 2.0
ZONES = (
    ("region-1", "zone-a"),
    ("region-2", "zone-d"),
    ("region-1", "zone-b"),
    ("region-2", "zone-e"),
    ("region-1", "zone-c"),
)


@dataclasses.dataclass(frozen=True, slots=True)
class LedgerLoad:
    """Rates of a whole fleet."""

    #: Commits a second.
    writes: float
    #: Rows read a second.
    reads: float
    #: Peer messages a second.
    messages: float
    #: Processor time for each daemon, in microseconds a second.
    processor: float
    #: Peer messages for each request.
    per_request: float
    #: Holds that were refused, of all.
    refused: float


class LedgerRun:
    """One fleet in two regions under a steady load.

    Parameters
    ----------
    daemons
        Number of daemons.
    """

    def __init__(self, daemons: int) -> None:
        self._daemons = daemons
        self._budgets = [
            f"budget-{n}" for n in range(max(1, daemons * BUDGETS_PER_DAEMON))
        ]
        shards = max(1, round(daemons * SHARDS_PER_DAEMON))
        settings = Settings(shards=shards, flush_interval=FLUSH_INTERVAL)
        self._fleet = Fleet(settings, seed=daemons, report=self._take)
        self._granted = 0
        self._asked = 0
        _create_budgets(self._fleet.table, self._budgets, shards)
        for number in range(daemons):
            region, zone = ZONES[number % len(ZONES)]
            self._fleet.start_daemon(f"entry-{number}", zone, region)

    def run(self) -> LedgerLoad:
        """Return the rates after a warm-up."""
        self._send_for(WARM_UP_SECONDS)
        table, fleet = self._fleet.table, self._fleet
        before = (table.writes, table.reads, fleet.messages, self._asked, self._granted)
        started = time.process_time()
        self._send_for(MEASURED_SECONDS)
        spent = (time.process_time() - started) * 1e6
        asked = self._asked - before[3]
        granted = self._granted - before[4]
        return LedgerLoad(
            writes=(table.writes - before[0]) / MEASURED_SECONDS,
            reads=(table.reads - before[1]) / MEASURED_SECONDS,
            messages=(fleet.messages - before[2]) / MEASURED_SECONDS,
            per_request=(fleet.messages - before[2]) / asked,
            processor=spent / MEASURED_SECONDS / self._daemons,
            refused=max(0, asked - granted) / asked,
        )

    def _send_for(self, seconds: float) -> None:
        interval = 1 / (REQUESTS_PER_DAEMON * self._daemons)
        for _ in range(round(seconds / interval)):
            self._send()
            self._fleet.advance(interval)

    def _send(self) -> None:
        fleet = self._fleet
        self._asked += 1
        names = tuple(fleet.daemons)
        daemon = fleet.daemons[fleet.random.choice(names)]
        hold_id = f"hold-{self._asked}"
        request = HoldRequested(
            hold_id,
            hold_id,
            fleet.random.choice(self._budgets),
            "organisation",
            BOUND_TOKENS,
            BudgetPolicy.AVAILABLE,
            fleet.now + 2.0,
        )
        fleet.give(daemon, request)

    def _take(self, daemon: Daemon, report: Report) -> None:
        match report:
            case HoldGranted(hold_id):
                self._granted += 1
                settled = HoldSettled(hold_id, 100, USED_TOKENS - 100, True, 0.0)
                self._fleet.schedule(
                    ANSWER_SECONDS, lambda: self._fleet.give(daemon, settled)
                )


def measure_ledger(sizes: tuple[int, ...] = (5, 10, 15)) -> Iterator[Slope]:
    """Yield the slopes of the budgets over the number of daemons."""
    loads = {size: LedgerRun(size).run() for size in sizes}
    for name, title, unit in (
        ("writes", "table commits of the fleet", "1/s"),
        ("reads", "table rows read by the fleet's ledgers", "1/s"),
        ("messages", "ledger messages of the fleet", "1/s"),
        ("per_request", "ledger messages for each request", ""),
        ("processor", "ledger time of one daemon", "us/s"),
        ("refused", "share of holds refused", ""),
    ):
        points = tuple(
            Point(size, (getattr(load, name),)) for size, load in loads.items()
        )
        yield Slope(f"ledger_{name}", title, unit, "daemons", points)


def measure_accounts() -> Iterator[Slope]:
    """Yield the memory of a ledger by the budgets that its callers have used."""
    yield measure_slope(
        "account_kb",
        "memory of a ledger's accounts",
        "KB",
        "budgets",
        (100, 1000, 4000),
        _measure_account_memory,
    )


def _measure_account_memory(budgets: float) -> float:
    def build() -> Ledger:
        ledger = Ledger("entry-0", "1", "zone-a", "region-1", Settings(shards=165))
        for number in range(int(budgets)):
            name = f"hold-{number}"
            ledger.receive(
                HoldRequested(
                    name,
                    name,
                    f"budget-{number}",
                    "organisation",
                    BOUND_TOKENS,
                    BudgetPolicy.AVAILABLE,
                    2.0,
                ),
                0.0,
            )
        return ledger

    return measure_memory(build)


def _create_budgets(table: MemoryTable, budgets: list[str], shards: int) -> None:
    for budget in budgets:
        number = compute_shard(budget, shards)
        shard = parse_shard(number, table.read((build_shard_key(number),)))
        table.commit(build_creation(shard, budget, 10**9).ok)

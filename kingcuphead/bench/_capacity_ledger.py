"""Table accesses, messages and processor time of the ledgers of a fleet."""

import dataclasses
import time
from collections.abc import Iterator

from kingcuphead.bench._budgets_fleet import Daemon, Fleet, Report
from kingcuphead.bench._budgets_table import MemoryTable
from kingcuphead.bench._capacity_results import Point, Slope, measure_slope
from kingcuphead.bench._capacity_state_machines import measure_memory
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

#: Requests per second of one daemon at the design size (8,400 over 330).
REQUESTS_PER_DAEMON = 25.5
#: Budgets per daemon at the design size (18,000 over 330).
BUDGETS_PER_DAEMON = 55
#: Seconds between two flushes of a shard at the design size.
FLUSH_INTERVAL = 4.0
#: Shards per daemon at the design size.
SHARDS_PER_DAEMON = 0.5
#: Virtual seconds of the warm-up and of the measurement.
WARM_UP_SECONDS = 40.0
MEASURED_SECONDS = 16.0
#: Upper bound and actual cost of each request, in tokens.
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
    """Rates of the ledgers of a fleet.

    `measure_ledger` reads the fields by name and writes the names into the results.
    """

    #: Table commits per second.
    writes: float
    #: Table reads and scans per second.
    reads: float
    #: Peer messages per second.
    messages: float
    #: Processor time per daemon, in microseconds per second.
    processor: float
    #: Peer messages per request.
    per_request: float
    #: Ratio of refused holds to all holds.
    refused: float


class LedgerRun:
    """Simulation of a fleet in two regions under a constant load.

    Parameters
    ----------
    daemons
        Number of daemons of the fleet.
    """

    def __init__(self, daemons: int) -> None:
        self._daemons = daemons
        self._budgets = [
            f"budget-{n}" for n in range(max(1, daemons * BUDGETS_PER_DAEMON))
        ]
        shards = max(1, round(daemons * SHARDS_PER_DAEMON))
        settings = Settings(shards=shards, flush_interval=FLUSH_INTERVAL)
        self._fleet = Fleet(settings, seed=daemons, report=self._handle_report)
        self._granted = 0
        self._requested = 0
        _create_budgets(self._fleet.table, self._budgets, shards)
        for number in range(daemons):
            region, zone = ZONES[number % len(ZONES)]
            self._fleet.start_daemon(f"entry-{number}", zone, region)

    def run(self) -> LedgerLoad:
        """Run the warm-up and the measurement and return the rates."""
        self._run_load(WARM_UP_SECONDS)
        table, fleet = self._fleet.table, self._fleet
        before = (
            table.writes,
            table.reads,
            fleet.messages,
            self._requested,
            self._granted,
        )
        started = time.process_time()
        self._run_load(MEASURED_SECONDS)
        cpu_microseconds = (time.process_time() - started) * 1e6
        requested = self._requested - before[3]
        granted = self._granted - before[4]
        return LedgerLoad(
            writes=(table.writes - before[0]) / MEASURED_SECONDS,
            reads=(table.reads - before[1]) / MEASURED_SECONDS,
            messages=(fleet.messages - before[2]) / MEASURED_SECONDS,
            per_request=(fleet.messages - before[2]) / requested,
            processor=cpu_microseconds / MEASURED_SECONDS / self._daemons,
            refused=max(0, requested - granted) / requested,
        )

    def _run_load(self, seconds: float) -> None:
        interval = 1 / (REQUESTS_PER_DAEMON * self._daemons)
        for _ in range(round(seconds / interval)):
            self._send()
            self._fleet.advance(interval)

    def _send(self) -> None:
        fleet = self._fleet
        self._requested += 1
        names = tuple(fleet.daemons)
        daemon = fleet.daemons[fleet.rng.choice(names)]
        hold_id = f"hold-{self._requested}"
        request = HoldRequested(
            hold_id,
            hold_id,
            fleet.rng.choice(self._budgets),
            "organisation",
            BOUND_TOKENS,
            BudgetPolicy.AVAILABLE,
            fleet.now + 2.0,
        )
        fleet.process_input(daemon, request)

    def _handle_report(self, daemon: Daemon, report: Report) -> None:
        match report:
            case HoldGranted(hold_id):
                self._granted += 1
                settled = HoldSettled(hold_id, 100, USED_TOKENS - 100, True, 0.0)
                self._fleet.schedule(
                    ANSWER_SECONDS, lambda: self._fleet.process_input(daemon, settled)
                )


def measure_ledger(sizes: tuple[int, ...] = (5, 10, 15)) -> Iterator[Slope]:
    """Measure the ledgers at several fleet sizes; yield a slope for each rate."""
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
    """Yield the memory of a ledger by the number of budgets that it has accounts of."""
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

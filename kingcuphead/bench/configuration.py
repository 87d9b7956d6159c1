"""Measure how fast changes propagate and what a large configuration costs.

Run as `python -m kingcuphead.bench.configuration`.
"""

import time
import tracemalloc
from collections.abc import Iterator

from kingcuphead.bench._configuration_fleet import Conditions, ConfigurationFleet
from kingcuphead.configuration import (
    Change,
    PutRecord,
    Snapshot,
    StoredRecord,
    build_change,
    decode_offer,
    encode_offer,
)
from kingcuphead.records import (
    SCHEMA,
    Budget,
    Organisation,
    Record,
    Target,
    encode_record,
)

SEEDS = (1, 2, 3)
FLEETS = (7, 330)
CHANGES = 60
WARM_UP_SECONDS = 5.0
CHANGING_SECONDS = 60.0
SETTLING_SECONDS = 15.0
CONDITIONS = (
    Conditions("healthy", (0.001, 0.005), 0.0, True),
    Conditions("healthy, no heartbeats", (0.001, 0.005), 0.0, False),
    Conditions("slow, 10% lost", (0.05, 0.25), 0.1, True),
    Conditions("slow, 10% lost, no heartbeats", (0.05, 0.25), 0.1, False),
)
#: Size of the large configuration, the design size.
ORGANISATIONS = 1_400
BUDGETS = 18_000
TARGETS = 710
#: Repetitions of each measured step on the large configuration.
REPETITIONS = 5


def measure_fleet(daemons: int, conditions: Conditions) -> str:
    """Measure the propagation of changes in a fleet; return its row of the table."""
    propagation_times: list[float] = []
    reads = 0
    for seed in SEEDS:
        fleet = ConfigurationFleet(daemons, conditions, seed)
        fleet.schedule_changes(
            CHANGES, WARM_UP_SECONDS, WARM_UP_SECONDS + CHANGING_SECONDS
        )
        fleet.run(WARM_UP_SECONDS + CHANGING_SECONDS + SETTLING_SECONDS)
        reads += fleet.table.counts.reads + fleet.table.counts.scans
        for propagation in fleet.propagations.values():
            if propagation.completed_at is None:
                raise AssertionError("a change did not reach every daemon")
            propagation_times.append(
                propagation.completed_at - propagation.committed_at
            )
    propagation_times.sort()
    run_seconds = WARM_UP_SECONDS + CHANGING_SECONDS + SETTLING_SECONDS
    rate = reads / (run_seconds * len(SEEDS))
    median, high = (
        propagation_times[len(propagation_times) // 2],
        propagation_times[int(len(propagation_times) * 0.95)],
    )
    return (
        f"| {daemons} | {conditions.name} | {median:.2f} | {high:.2f} "
        f"| {propagation_times[-1]:.2f} | {rate:.0f} |"
    )


def make_records() -> Iterator[Record]:
    """Yield the records of a configuration of the design size."""
    for number in range(BUDGETS):
        yield Budget(f"budget-{number}")
    for number in range(ORGANISATIONS):
        digests = (f"{number:064x}", f"{number + ORGANISATIONS:064x}")
        name, budget = f"organisation-{number}", f"budget-{number}"
        yield Organisation(name, digests, budget, (), classes=("default",))
    for number in range(TARGETS):
        address = f"10.0.{number // 250}.{number % 250}:8000"
        yield Target(f"target-{number}", "engines", address, "zone-a", ("large",))


def measure_large() -> Iterator[str]:
    """Measure a large configuration; yield a row of the table for each cost."""
    tracemalloc.start()
    stored = [StoredRecord(1, encode_record(r), r) for r in make_records()]
    snapshot = Snapshot().with_records(stored)
    _ = snapshot.configuration
    allocated, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    yield f"| records | {len(snapshot.records):,} |"
    yield f"| memory of one copy, MB | {allocated / 1e6:.0f} |"
    content = encode_record(Budget("budget-0"))
    change = Change("c", "bench", 0.0, (PutRecord(content, 1),))
    started = time.process_time()
    for _ in range(REPETITIONS):
        result = build_change(snapshot, change)
    spent = (time.process_time() - started) / REPETITIONS
    checked = result.is_ok() or bool(result.error.message)
    yield f"| check one change at acceptance (ran: {checked}), ms | {spent * 1e3:.0f} |"
    yield from _measure_update(snapshot)


def _measure_update(snapshot: Snapshot) -> Iterator[str]:
    started = time.process_time()
    for _ in range(REPETITIONS):
        copy = snapshot.with_records(list(snapshot.records.values())[:1])
        _ = copy.configuration
    spent = (time.process_time() - started) / REPETITIONS
    yield f"| put one change in force, ms | {spent * 1e3:.0f} |"
    started = time.process_time()
    content = encode_offer(snapshot, 0.0)
    encoded = time.process_time() - started
    yield f"| whole configuration for a peer, KB | {len(content) / 1024:.0f} |"
    yield f"| encode it, ms | {encoded * 1e3:.0f} |"
    started = time.process_time()
    decoded = decode_offer(content, SCHEMA)
    spent = time.process_time() - started
    yield f"| decode it (whole: {decoded.is_ok()}), ms | {spent * 1e3:.0f} |"


def main() -> None:
    """Print the report as Markdown."""
    print("| Daemons | Conditions | Median s | 95% s | Longest s | Reads/s |")
    print("|---|---|---|---|---|---|")
    for daemons in FLEETS:
        for conditions in CONDITIONS:
            print(measure_fleet(daemons, conditions), flush=True)
    print("\n| One daemon, large configuration | |\n|---|---|")
    for row in measure_large():
        print(row, flush=True)


if __name__ == "__main__":
    main()

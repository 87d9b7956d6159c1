"""Measure the costs of the components and compute the tables of docs/CAPACITY.md.

`measure` takes a few minutes and writes a results file; `page` recomputes the
tables of the page from that file, which keeps the two consistent.
"""

import argparse
import datetime
import os
import platform
import sys
from collections.abc import Iterator
from pathlib import Path

from kingcuphead.bench._capacity_daemon import measure_daemons
from kingcuphead.bench._capacity_ledger import measure_accounts, measure_ledger
from kingcuphead.bench._capacity_page import format_tables, replace_tables
from kingcuphead.bench._capacity_results import (
    Results,
    Slope,
    load_results,
    save_results,
)
from kingcuphead.bench._capacity_state_machines import (
    measure_heartbeat_size,
    measure_state_machines,
)

RESULTS = Path("docs/measurements/capacity.json")
PAGE = Path("docs/CAPACITY.md")


def measure_all() -> Iterator[Slope]:
    """Measure and yield every slope; print a progress line for each."""
    for measure_slopes in (
        measure_state_machines,
        measure_heartbeat_size,
        measure_accounts,
        measure_ledger,
        measure_daemons,
    ):
        for slope in measure_slopes():
            print(f"{slope.name}: {slope.rate:.4g} {slope.unit} per {slope.variable}")
            yield slope


def measure(path: Path) -> None:
    """Measure every slope and write the results file."""
    moment = datetime.datetime.now(datetime.UTC).strftime("%Y-%m-%d %H:%M UTC")
    load = os.getloadavg()[0]
    machine = (
        f"Python {platform.python_version()}, {os.cpu_count()} cores,"
        f" load average {load:.1f} at the start"
    )
    save_results(Results(moment, machine, tuple(measure_all())), path)


def write_page(results: Path, page: Path) -> None:
    """Recompute the tables of the page from a results file."""
    tables = format_tables(load_results(results))
    page.write_text(replace_tables(page.read_text(), tables))


def main() -> int:
    """Run the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("action", choices=("measure", "page"))
    parser.add_argument("--results", type=Path, default=RESULTS)
    parser.add_argument("--page", type=Path, default=PAGE)
    arguments = parser.parse_args()
    match arguments.action:
        case "measure":
            measure(arguments.results)
        case _:
            write_page(arguments.results, arguments.page)
    return 0


if __name__ == "__main__":
    sys.exit(main())

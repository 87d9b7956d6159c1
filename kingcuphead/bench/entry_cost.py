"""Compare the processor time of two versions' entry daemons, idle and under load.

Each cost is measured in processes of this checkout and of another one, alternately in
one run, because figures of two runs on a shared machine can't be compared.
"""

import argparse
import dataclasses
import os
import resource
import statistics
import subprocess
import sys
import tempfile
import time
from collections.abc import Iterator
from pathlib import Path
from typing import Any

from kingcuphead.platform.tests._documents import encode_large_configuration

# Test helpers have no type annotations.
make_version: Any = encode_large_configuration

#: Root of this checkout.
ROOT = Path(__file__).parents[2]
#: Script that measures one cost in a checkout.
PROBE = Path(__file__).with_name("_entry_cost_probe.py")
#: Costs by description: the arguments of the probe, or none for a start.
COSTS: dict[str, tuple[str, ...]] = {
    "start, ms": (),
    "idle second, ms": ("idle_second",),
    "request, ms": ("request",),
    "event of a stream, us": ("event",),
    "encoding a load report, us": ("encoding",),
    "decoding a load report, us": ("decoding",),
}
#: Versions of a configuration in one measurement, the first of which isn't measured.
VERSIONS = 21
#: Routes of the configurations.
ROUTES = (250, 1_400)
#: First lines of the report.
HEADER = """\
# Processor time of an entry daemon

Written by `python -m kingcuphead.bench.entry_cost CHECKOUT --report FILE`, which
measures another checkout (before) and this one (now) alternately. The ratio is that of
the medians. A start is `python -m kingcuphead.entry --help`; an idle second is that of
one of three daemons in a process, with a third of their stand-in store and target. A
request is one for a stream of one event, from one of 16 callers to one of 40 targets,
which are in a process of their own; it costs no credit. The cost of an event is the
difference of a stream of 41 events, 10 ms apart, divided by 40. A load report has 12
targets; a version of a configuration has two routes that the one before did not have,
and an organisation for each five routes.
"""


@dataclasses.dataclass(frozen=True, slots=True)
class Comparison:
    """Seconds of processor time of one cost in both versions, by round."""

    #: Description of the cost.
    cost: str
    #: Seconds in the other checkout.
    before: tuple[float, ...]
    #: Seconds in this checkout.
    now: tuple[float, ...]

    @property
    def ratio(self) -> float:
        """Median now, relative to the median before."""
        return statistics.median(self.now) / statistics.median(self.before)


def compare(other: Path, rounds: int, directory: Path) -> Iterator[Comparison]:
    """Yield a comparison with another checkout for each cost.

    Parameters
    ----------
    other
        Root of the other checkout.
    rounds
        Number of measurements of each cost in each checkout.
    directory
        Directory to which configurations for the measurements are written.
    """
    for cost, arguments in (COSTS | _write_configurations(directory)).items():
        pairs = [
            (measure(other, arguments), measure(ROOT, arguments)) for _ in range(rounds)
        ]
        before, now = zip(*pairs, strict=True)
        yield Comparison(cost, before, now)


def _write_configurations(directory: Path) -> dict[str, tuple[str, ...]]:
    costs: dict[str, tuple[str, ...]] = {}
    for routes in ROUTES:
        path = directory / f"{routes}.jsonl"
        versions = (make_version(number, routes) for number in range(VERSIONS))
        path.write_bytes(b"\n".join(versions))
        costs[f"configuration of {routes:,} routes, ms"] = ("configuration", str(path))
    return costs


def measure(checkout: Path, arguments: tuple[str, ...]) -> float:
    """Return the seconds of processor time of one cost in a checkout.

    Parameters
    ----------
    checkout
        Root of the checkout.
    arguments
        Arguments of the probe; none to measure a start of the daemon.
    """
    if not arguments:
        return _measure_start(checkout)
    output = _run(checkout, "-P", str(PROBE), *arguments)
    return float(output.splitlines()[-1])


def _measure_start(checkout: Path) -> float:
    spent = _get_children_seconds()
    _run(checkout, "-m", "kingcuphead.entry", "--help")
    return _get_children_seconds() - spent


def _get_children_seconds() -> float:
    usage = resource.getrusage(resource.RUSAGE_CHILDREN)
    return usage.ru_utime + usage.ru_stime


def _run(checkout: Path, *arguments: str) -> str:
    # Byte code is cached, as in production.
    environment = os.environ | {
        "PYTHONPATH": str(checkout),
        "PYTHONDONTWRITEBYTECODE": "",
    }
    return subprocess.run(
        (sys.executable, *arguments),
        cwd=checkout,
        env=environment,
        stdout=subprocess.PIPE,
        stderr=subprocess.DEVNULL,
        text=True,
        check=True,
    ).stdout


def describe(comparisons: Iterator[Comparison]) -> Iterator[str]:
    """Yield the lines of a Markdown table, as soon as each is measured."""
    yield "| cost | before, median | least | now, median | least | ratio |"
    yield "|---|---|---|---|---|---|"
    for each in comparisons:
        scale = 1e6 if each.cost.endswith("us") else 1e3
        figures = (
            figure * scale
            for seconds in (each.before, each.now)
            for figure in (statistics.median(seconds), min(seconds))
        )
        cells = " | ".join(f"{figure:.3g}" for figure in figures)
        yield f"| {each.cost} | {cells} | {each.ratio:.2f} |"


def write_report(path: Path, rounds: int, lines: list[str]) -> None:
    """Write the table and the parameters of the run as a Markdown page."""
    day = time.strftime("%Y-%m-%d %H:%M UTC", time.gmtime())
    load = os.getloadavg()[0]
    run = (
        f"Run of {day}: {rounds} rounds. Python {sys.version.split()[0]},"
        f" {os.cpu_count()} cores, load average {load:.1f} at the end."
    )
    path.write_text("\n".join([HEADER, run, "", *lines, ""]))


def main() -> int:
    """Measure, print and report."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("checkout", type=Path, help="checkout of the other version")
    parser.add_argument("--rounds", type=int, default=5)
    parser.add_argument("--report", type=Path, help="Markdown file to write")
    arguments = parser.parse_args()
    lines = []
    with tempfile.TemporaryDirectory() as directory:
        other = arguments.checkout.resolve()
        for line in describe(compare(other, arguments.rounds, Path(directory))):
            print(line, flush=True)
            lines.append(line)
    if arguments.report:
        write_report(arguments.report, arguments.rounds, lines)
    return 0


if __name__ == "__main__":
    sys.exit(main())

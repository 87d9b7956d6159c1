"""Compare the ledgers with baselines: `python -m kingcuphead.bench.budgets`."""

import argparse
import sys
import time
from collections.abc import Iterator
from pathlib import Path

from kingcuphead.bench._budgets_audit import audit_fleet
from kingcuphead.bench._budgets_load import RUN_SECONDS, build_load
from kingcuphead.bench._budgets_schemes import FAULTS, SCHEMES, Ledgers
from kingcuphead.budgets import Settings

#: Seconds after the last arrival for requests to end and bills to be committed.
TAIL_SECONDS = 15.0

HEADER = (
    "| daemons | budgets | faults | scheme | overspend (tokens) | requests | refused "
    "| false refusals | >1 % left, table up | >1 % left, table down "
    "| writes/s | reads/s | wait p50 / p95 / p99 (ms) |"
)


def build_parser() -> argparse.ArgumentParser:
    """Return the command line parser."""
    parser = argparse.ArgumentParser(prog="python -m kingcuphead.bench.budgets")
    parser.add_argument(
        "--fleets", default="3,7,50", help="comma-separated fleet sizes, in daemons"
    )
    parser.add_argument("--seed", type=int, default=1, help="seed of load and network")
    parser.add_argument("--shards", type=int, default=16, help="number of shards")
    parser.add_argument(
        "--flush", type=float, default=0.1, help="seconds between flushes of a shard"
    )
    parser.add_argument(
        "--urgent",
        type=float,
        default=0.03,
        help="seconds between flushes while a request waits for credit",
    )
    parser.add_argument(
        "--each", action="store_true", help="also run with each fault alone"
    )
    parser.add_argument(
        "--output", type=Path, help="Markdown file to append the table to"
    )
    return parser


def measure(
    daemons: int, seed: int, faults: tuple[str, ...], settings: Settings
) -> Iterator[str]:
    """Run each scheme and yield its row of the table."""
    load = build_load(daemons, seed)
    for name, build in SCHEMES.items():
        scheme = build(load, settings, seed)
        score = scheme.run(RUN_SECONDS + TAIL_SECONDS, faults)
        if isinstance(scheme, Ledgers):
            audit_fleet(scheme.fleet)
        cells = (
            str(daemons),
            str(len(load.limits)),
            " ".join(faults) or "none",
            name,
            f"{score.overspend:,}",
            f"{score.requests:,}",
            f"{score.refused:,}",
            f"{score.false_refusals} ({score.false_refusals / score.requests:.2%}) "
            + " ".join(f"{key}={n}" for key, n in sorted(score.reasons.items())),
            f"{score.ample_false_refusals} "
            f"({score.ample_false_refusals / score.requests:.2%})",
            str(score.outage_false_refusals),
            f"{scheme.writes / RUN_SECONDS:.1f}",
            f"{scheme.reads / RUN_SECONDS:.1f}",
            " / ".join(f"{score.compute_wait(q):.1f}" for q in (0.5, 0.95, 0.99)),
        )
        yield f"| {' | '.join(cells)} |"


def choose_faults(each: bool) -> Iterator[tuple[str, ...]]:
    """Yield the sets of faults to run with: none, each alone if `each`, and all."""
    yield ()
    if each:
        yield from ((fault,) for fault in FAULTS)
    yield FAULTS


def build_lines(arguments: argparse.Namespace) -> Iterator[str]:
    """Yield the lines of the report."""
    settings = Settings(
        shards=arguments.shards,
        flush_interval=arguments.flush,
        urgent_interval=arguments.urgent,
    )
    yield (
        f"Command: `python -m kingcuphead.bench.budgets --fleets {arguments.fleets} "
        f"--seed {arguments.seed} --shards {arguments.shards} "
        f"--flush {arguments.flush} --urgent {arguments.urgent}"
        f"{' --each' if arguments.each else ''}`"
    )
    yield ""
    yield HEADER
    yield "|" + " --- |" * HEADER.count(" | ") + " --- |"
    for daemons in arguments.fleets.split(","):
        for faults in choose_faults(arguments.each):
            yield from measure(int(daemons), arguments.seed, faults, settings)
    yield ""


def main() -> int:
    """Run the fleets, print the table and append it to the output file, if any."""
    arguments = build_parser().parse_args()
    started = time.monotonic()
    lines = []
    for line in build_lines(arguments):
        print(line, flush=True)
        lines.append(line)
    print(f"{time.monotonic() - started:.0f} s")
    if arguments.output:
        with arguments.output.open("a") as file:
            file.write("\n".join(lines) + "\n")
    return 0


if __name__ == "__main__":
    sys.exit(main())

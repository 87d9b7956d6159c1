"""Measure the processor time of relaying one token.

The source of the token streams, the measured relay and the callers run in
separate processes on the loopback interface. Each round runs all relay variants
in turn, so that they are measured under the same load of the machine.
"""

import argparse
import asyncio
import itertools
import sys
import time
from collections.abc import Iterator
from pathlib import Path

from kingcuphead.bench._relay_load import Tally, find_port, read_cpu, run_streams
from kingcuphead.bench._relay_processes import run_module
from kingcuphead.bench._relay_report import write_report
from kingcuphead.bench._relay_results import Measurement, Plan, compute_cost_ratio
from kingcuphead.bench._relay_server import VARIANTS


async def measure(variant: str, streams: int, plan: Plan) -> Measurement:
    """Run a relay variant once and return the result."""
    source, server = find_port(), find_port()
    tokens = int(plan.rate * plan.seconds)
    target = f"127.0.0.1:{server}"
    async with (
        run_module(
            "kingcuphead.bench._relay_source",
            f"--port={source}",
            f"--tokens={tokens}",
            f"--rate={plan.rate}",
        ),
        run_module(
            "kingcuphead.bench._relay_server",
            f"--port={server}",
            f"--target=127.0.0.1:{source}",
            f"--variant={variant}",
        ),
    ):
        before = await read_cpu(target)
        tally: Tally = await run_streams(target, streams)
        used = await read_cpu(target) - before
    if tally.tokens != streams * tokens:
        raise AssertionError(f"{tally.tokens} tokens of {streams * tokens} arrived")
    return Measurement(
        variant, streams, used / tally.tokens * 1e6, tally.tokens / tally.chunks
    )


def iterate_runs(plan: Plan) -> Iterator[Measurement]:
    """Run every variant and number of streams, round by round; yield each result."""
    runs = itertools.product(range(plan.rounds), plan.streams, VARIANTS)
    for _, streams, variant in runs:
        yield asyncio.run(measure(variant, streams, plan))


def _make_parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--streams", type=int, nargs="+", default=[20, 60])
    parser.add_argument("--rate", type=float, default=50.0, help="tokens/s/stream")
    parser.add_argument(
        "--seconds", type=float, default=4.0, help="duration of one run"
    )
    parser.add_argument("--rounds", type=int, default=3)
    parser.add_argument("--report", type=Path, help="Markdown file to write")
    return parser


def main() -> int:
    """Measure, print and report; return 1 if the product exceeds half the baseline."""
    arguments = _make_parser().parse_args()
    plan = Plan(
        tuple(arguments.streams), arguments.rate, arguments.seconds, arguments.rounds
    )
    started = time.time()
    results = []
    for result in iterate_runs(plan):
        print(
            f"{result.variant:10} {result.streams:3} streams"
            f" {result.token_cost:7.1f} us/token",
            flush=True,
        )
        results.append(result)
    ratios = [
        compute_cost_ratio(results, "product", streams) for streams in plan.streams
    ]
    print("product relative to default:", ", ".join(f"{r:.2f}" for r in ratios))
    if arguments.report:
        write_report(arguments.report, plan, results, started)
    return 0 if max(ratios) <= 0.5 else 1


if __name__ == "__main__":
    sys.exit(main())

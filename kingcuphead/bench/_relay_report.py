"""Markdown report of the relay benchmark."""

import os
import platform
import time
from collections.abc import Iterator, Sequence
from pathlib import Path

from kingcuphead.bench._relay_results import (
    Measurement,
    Plan,
    compute_cost_ratio,
    compute_median_cost,
)

_HEAD = """\
# Processor time per relayed token

Written by `python -m kingcuphead.bench.relay --report FILE`.

- `default`: a plain relay of tornado's default client, one write for each piece.
- `curl`: the same with tornado's curl client.
- `ungathered`: the product's relay, every piece handled at once.
- `product`: the product's relay as it is, pieces that come closely gathered.

The product's relay also inspects the events and withholds the end of the answer;
the plain ones don't. Costs are processor time of the relay's process, user and
system, between the first request and the last answer.
"""


def write_report(
    path: Path, plan: Plan, results: Sequence[Measurement], started: float
) -> None:
    """Write the cost of every run and the medians as Markdown."""
    lines = [*_describe_run(plan, started), *_tabulate(plan, results)]
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text(_HEAD + "\n" + "\n".join(lines) + "\n")


def _describe_run(plan: Plan, started: float) -> Iterator[str]:
    day = time.strftime("%Y-%m-%d %H:%M UTC", time.gmtime(started))
    load = os.getloadavg()[0]
    yield (
        f"Run of {day}: {plan.rounds} rounds, runs of {plan.seconds:g} s,"
        f" {plan.rate:g} tokens a second in each stream. Python"
        f" {platform.python_version()}, {os.cpu_count()} cores, load average"
        f" {load:.1f} at the end."
    )
    yield ""


def _tabulate(plan: Plan, results: Sequence[Measurement]) -> Iterator[str]:
    yield "| streams | way | runs, us/token | median | relative | tokens per piece |"
    yield "|---|---|---|---|---|---|"
    for streams in plan.streams:
        for variant in dict.fromkeys(result.variant for result in results):
            runs = [
                result
                for result in results
                if (result.variant, result.streams) == (variant, streams)
            ]
            costs = ", ".join(f"{run.token_cost:.0f}" for run in runs)
            tokens_per_chunk = sum(run.tokens_per_chunk for run in runs) / len(runs)
            yield (
                f"| {streams} | {variant} | {costs}"
                f" | {compute_median_cost(results, variant, streams):.0f}"
                f" | {compute_cost_ratio(results, variant, streams):.2f}"
                f" | {tokens_per_chunk:.2f} |"
            )

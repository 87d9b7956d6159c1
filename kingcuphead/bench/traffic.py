"""Measure the scheduler against two baselines in virtual time.

Run as ``python -m kingcuphead.bench.traffic --seed 1``; prints Markdown tables. The
simulation starts no processes and opens no sockets.
"""

import argparse
from collections.abc import Iterator

from kingcuphead.bench._traffic_report import format_page
from kingcuphead.bench._traffic_runs import (
    Policy,
    RunPlan,
    RunResult,
    measure_rates,
    run,
)
from kingcuphead.bench._traffic_workload import ATLAS, SKUPNA, Deployment

#: Deployments by the value of `--deployment`.
DEPLOYMENTS = {"atlas": ATLAS, "skupna": SKUPNA}
#: Numbers of daemons per deployment, by default.
DAEMONS = (3, 7)


def parse_arguments(arguments: list[str] | None = None) -> argparse.Namespace:
    """Return the parsed command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1, help="first seed")
    parser.add_argument("--runs", type=int, default=5, help="number of seeds")
    parser.add_argument(
        "--load", type=float, default=3.0, help="load of the burst relative to capacity"
    )
    parser.add_argument("--daemons", type=int, choices=DAEMONS, action="append")
    parser.add_argument("--deployment", choices=sorted(DEPLOYMENTS), action="append")
    parser.add_argument(
        "--without-preemption",
        action="store_true",
        help="engines do not preempt running requests of a lower priority",
    )
    return parser.parse_args(arguments)


def plan_runs(
    deployment: Deployment, daemons: int, options: argparse.Namespace
) -> Iterator[RunPlan]:
    """Yield the runs of one deployment and one number of daemons."""
    for seed in range(options.seed, options.seed + options.runs):
        base = RunPlan(
            deployment,
            daemons,
            Policy.KINGCUPHEAD,
            options.load,
            seed,
            is_preemptive=not options.without_preemption,
        )
        yield base.with_changes(is_alone=True)
        for policy in Policy:
            yield base.with_changes(policy=policy)
        for policy in Policy:
            yield base.with_changes(policy=policy, has_leaving=True)


def main() -> None:
    """Run every plan and print the tables."""
    options = parse_arguments()
    for name in options.deployment or sorted(DEPLOYMENTS):
        deployment = DEPLOYMENTS[name]
        rates = measure_rates(deployment)
        for daemons in options.daemons or DAEMONS:
            results: list[RunResult] = [
                run(plan, rates) for plan in plan_runs(deployment, daemons, options)
            ]
            print(format_page(results, rates), flush=True)


if __name__ == "__main__":
    main()

"""Measure the scheduler against two baselines in virtual time.

Run as ``python -m kingcuphead.bench.traffic --seed 1``; the figures are printed
as Markdown. Nothing is started and no socket is opened.
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

#: Deployments by the name on the command line.
DEPLOYMENTS = {"atlas": ATLAS, "skupna": SKUPNA}
#: Numbers of daemons that are compared.
DAEMONS = (3, 7)


def parse_arguments(arguments: list[str] | None = None) -> argparse.Namespace:
    """Return the parsed command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1, help="first seed")
    parser.add_argument("--runs", type=int, default=5, help="number of seeds")
    parser.add_argument("--load", type=float, default=3.0, help="load of the burst")
    parser.add_argument("--daemons", type=int, choices=DAEMONS, action="append")
    parser.add_argument("--deployment", choices=sorted(DEPLOYMENTS), action="append")
    parser.add_argument(
        "--without-preemption",
        action="store_true",
        help="engines let running work end before work of a higher priority",
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
    """Run everything and print the page."""
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

"""Run randomised simulations of a fleet of ledgers.

Run as `python -m kingcuphead.bench.budgets_random`.
"""

import argparse
import sys
import time

from kingcuphead.bench._budgets_random import RandomRun


def build_parser() -> argparse.ArgumentParser:
    """Return the command line parser."""
    parser = argparse.ArgumentParser(prog="python -m kingcuphead.bench.budgets_random")
    parser.add_argument("--seed", type=int, default=1, help="first seed")
    parser.add_argument("--runs", type=int, default=1, help="number of seeds")
    parser.add_argument(
        "--steps", type=int, default=500, help="number of actions per run"
    )
    return parser


def main() -> int:
    """Run each seed and print its result; return 1 if a run failed."""
    arguments = build_parser().parse_args()
    failed = 0
    for seed in range(arguments.seed, arguments.seed + arguments.runs):
        started = time.monotonic()
        run = RandomRun(seed)
        try:
            records = run.run(arguments.steps)
        except AssertionError as error:
            failed += 1
            print(f"seed {seed}: FAILED at {run.fleet.now:.3f} s: {error}")
            continue
        seconds = time.monotonic() - started
        counts = " ".join(f"{key}={run.counts[key]}" for key in sorted(run.counts))
        print(f"seed {seed}: ok, {seconds:.1f} s, {len(records.bills)} bills, {counts}")
    print(f"{arguments.runs} runs of {arguments.steps} steps, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())

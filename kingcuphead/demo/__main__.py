"""Entry point of the demonstration, run by `make demo`."""

import asyncio
import sys
import time

from kingcuphead.demo._report import format_report
from kingcuphead.demo._scenario import LONG_ANSWER_TOKENS, Scenario
from kingcuphead.localfleet import Finding, LocalFleet, audit, make_plan

#: Number of daemons in the fleet.
DAEMONS = 3
#: Number of stand-in engines in the fleet.
ENGINES = 2


async def run_demo() -> tuple[Finding, ...]:
    """Run the scenario on a new fleet, print the report, return violated rules."""
    started_at = time.monotonic()

    def report_progress(text: str) -> None:
        print(f"[{time.monotonic() - started_at:5.1f} s] {text}", flush=True)

    options = ("--answer-tokens", str(LONG_ANSWER_TOKENS), "--token-interval-ms", "8")
    fleet = LocalFleet(make_plan(DAEMONS, ENGINES, engine_options=options))
    try:
        report_progress(
            f"starting a platform, {ENGINES} engines, a service, {DAEMONS} daemons"
        )
        await fleet.start()
        evidence = await Scenario(fleet, report_progress).run()
    finally:
        await fleet.close()
    findings = audit(evidence)
    print(format_report(evidence, findings))
    return findings


def main() -> int:
    """Run the demonstration; return 0 if no rule was violated, else 1."""
    return 1 if asyncio.run(run_demo()) else 0


if __name__ == "__main__":
    sys.exit(main())

"""Measure the time that a daemon adds to the time to first token.

Runs a local fleet with a healthy platform. Each caller sends pairs of requests, one
directly to an engine and one through a daemon, in random order, so that both are
measured under the same load. The added time is the difference of the percentiles.
"""

import argparse
import asyncio
import dataclasses
import itertools
import random
import statistics
import sys
import time
from collections.abc import Sequence
from pathlib import Path

from kingcuphead.localfleet import (
    ChatCall,
    DaemonPlan,
    LocalFleet,
    LocalOrganisation,
    make_plan,
    seed_fleet,
    send_chat,
)

ORGANISATION = LocalOrganisation("atlas-bois", 50_000_000)
#: Seconds within which every daemon must serve requests.
START_TIMEOUT = 20.0
#: Number of output tokens per request.
ANSWER_TOKENS = 8
#: Maximum delay before each request of a caller, in seconds.
MAX_REQUEST_GAP_SECONDS = 0.04
#: Bound on the time added at the 95th percentile, in milliseconds.
MAX_ADDED_MS = 10.0


@dataclasses.dataclass(frozen=True, slots=True)
class FirstTokens:
    """Times to the first token, in milliseconds."""

    #: Times of requests sent directly to an engine.
    direct: tuple[float, ...]
    #: Times of requests sent through a daemon.
    routed: tuple[float, ...]

    def compute_added(self, percent: int) -> float:
        """Return the time added at a percentile, in milliseconds."""
        routed = compute_percentile(self.routed, percent)
        return routed - compute_percentile(self.direct, percent)


class Callers:
    """Concurrent callers that send requests and record times to first token.

    Parameters
    ----------
    fleet : LocalFleet
        A started fleet.
    seed : int
        Seed of the delays, the choice of engine and daemon, and the order of pairs.
    """

    def __init__(self, fleet: LocalFleet, seed: int) -> None:
        self._fleet = fleet
        self._rng = random.Random(seed)
        self._numbers = itertools.count(1)
        self._direct: list[float] = []
        self._routed: list[float] = []

    async def run(self, callers: int, pairs: int) -> FirstTokens:
        """Send pairs of requests from concurrent callers; return all times."""
        await asyncio.gather(*(self._run_caller(pairs) for _ in range(callers)))
        return FirstTokens(tuple(self._direct), tuple(self._routed))

    async def wait_ready(self) -> None:
        """Wait until every daemon serves requests."""
        deadline = time.monotonic() + START_TIMEOUT
        for daemon in self._fleet.daemons:
            while not await self._is_serving(daemon):
                if time.monotonic() > deadline:
                    raise TimeoutError(
                        f"{daemon.name} does not serve after {START_TIMEOUT} s"
                    )
                await asyncio.sleep(0.2)

    async def _is_serving(self, daemon: DaemonPlan) -> bool:
        result = await send_chat(self._fleet.client, daemon, self._make_call())
        return result.whole

    async def _run_caller(self, pairs: int) -> None:
        plan = self._fleet.plan
        for _ in range(pairs):
            engine = self._rng.choice(plan.engines)
            daemon = self._rng.choice(plan.daemons)
            destinations = [
                (f"http://{engine.address}", self._direct),
                (daemon.caller_url, self._routed),
            ]
            self._rng.shuffle(destinations)
            for url, times in destinations:
                await asyncio.sleep(self._rng.uniform(0, MAX_REQUEST_GAP_SECONDS))
                times.append(await self._measure(url))

    async def _measure(self, url: str) -> float:
        call = self._make_call()
        received_at: list[float] = []

        def record_first(block: bytes) -> None:
            if not received_at and b'"content"' in block:
                received_at.append(time.monotonic())

        started = time.monotonic()
        reply = await self._fleet.client.request(
            "POST", f"{url}/v1/chat/completions", call.headers, call.body, record_first
        )
        if reply.status != 200 or not received_at:
            raise AssertionError(f"{url} answered with status {reply.status}")
        return (received_at[0] - started) * 1000

    def _make_call(self) -> ChatCall:
        number = next(self._numbers)
        return ChatCall(
            ORGANISATION,
            f"bench-{number}",
            f"request {number}: which beam holds the roof?",
            ANSWER_TOKENS,
            stream=True,
        )


def compute_percentile(times: Sequence[float], percent: int) -> float:
    """Return a percentile of times, in their unit."""
    return statistics.quantiles(times, n=100)[percent - 1]


async def measure_first_tokens(arguments: argparse.Namespace) -> FirstTokens:
    """Start a local fleet, run the callers and return the times."""
    fleet = LocalFleet(make_plan(arguments.daemons, arguments.engines))
    try:
        await fleet.start()
        await seed_fleet(fleet.plan, (ORGANISATION,))
        callers = Callers(fleet, arguments.seed)
        await callers.wait_ready()
        return await callers.run(arguments.callers, arguments.pairs)
    finally:
        await fleet.close()


def describe(times: FirstTokens) -> str:
    """Format the median and the 95th percentile as a Markdown table."""
    rows = ["| | median, ms | 95th percentile, ms |", "|---|---|---|"]
    for name, sample in (("direct", times.direct), ("routed", times.routed)):
        median, p95 = (compute_percentile(sample, percent) for percent in (50, 95))
        rows.append(f"| {name} | {median:.1f} | {p95:.1f} |")
    added = (times.compute_added(50), times.compute_added(95))
    rows.append(f"| added | {added[0]:.1f} | {added[1]:.1f} |")
    return "\n".join(rows)


def write_report(path: Path, arguments: argparse.Namespace, table: str) -> None:
    """Write the table and the parameters of the run as a Markdown page."""
    day = time.strftime("%Y-%m-%d %H:%M UTC", time.gmtime())
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text(
        "# Time added to the first token\n\n"
        "Written by `python -m kingcuphead.bench.first_token --report FILE`.\n\n"
        f"Run of {day}: {arguments.daemons} daemons, {arguments.engines} stand-in"
        f" engines, {arguments.callers} callers at once, {arguments.pairs} pairs of"
        f" requests each, seed {arguments.seed}; the platform healthy.\n\n{table}\n"
    )


def _make_parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--daemons", type=int, default=3)
    parser.add_argument("--engines", type=int, default=2)
    parser.add_argument("--callers", type=int, default=4)
    parser.add_argument(
        "--pairs", type=int, default=100, help="pairs of requests per caller"
    )
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--report", type=Path, help="Markdown file to write")
    return parser


def main() -> int:
    """Measure, print and report; return 1 if the added time exceeds the bound."""
    arguments = _make_parser().parse_args()
    times = asyncio.run(measure_first_tokens(arguments))
    table = describe(times)
    print(table)
    if arguments.report:
        write_report(arguments.report, arguments, table)
    return 0 if times.compute_added(95) <= MAX_ADDED_MS else 1


if __name__ == "__main__":
    sys.exit(main())

"""Measure what the daemon adds to the time to the first token.

A local fleet with a healthy platform: each caller sends its requests in pairs, one
straight to an engine and one through a daemon, in random order, so that both meet
the same load. The added time is the difference of the percentiles.
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
#: Seconds until the daemons serve.
START_TIMEOUT = 20.0
#: Output tokens of each request.
ANSWER_TOKENS = 8
#: Longest pause between two requests of a caller, in seconds.
MAX_PAUSE = 0.04
#: Time that a daemon may add at the 95th percentile, in milliseconds.
TARGET_MS = 10.0


@dataclasses.dataclass(frozen=True, slots=True)
class FirstTokens:
    """Times to the first token, in milliseconds."""

    #: Requests straight to an engine.
    direct: tuple[float, ...]
    #: Requests through a daemon.
    routed: tuple[float, ...]

    def find_added(self, percent: int) -> float:
        """Return the difference of one percentile, in milliseconds."""
        routed = find_percentile(self.routed, percent)
        return routed - find_percentile(self.direct, percent)


class Callers:
    """Sends the requests and keeps the times.

    Parameters
    ----------
    fleet : LocalFleet
        A fleet that has started.
    seed : int
        Seed of the pauses and the order of each pair.
    """

    def __init__(self, fleet: LocalFleet, seed: int) -> None:
        self._fleet = fleet
        self._random = random.Random(seed)
        self._numbers = itertools.count(1)
        self._direct: list[float] = []
        self._routed: list[float] = []

    async def run(self, callers: int, pairs: int) -> FirstTokens:
        """Send that many pairs from each of the callers at once."""
        await asyncio.gather(*(self._run_caller(pairs) for _ in range(callers)))
        return FirstTokens(tuple(self._direct), tuple(self._routed))

    async def wait_ready(self) -> None:
        """Wait until every daemon serves."""
        deadline = time.monotonic() + START_TIMEOUT
        for daemon in self._fleet.daemons:
            while not await self._is_serving(daemon):
                if time.monotonic() > deadline:
                    raise TimeoutError(f"{daemon.name} does not serve")
                await asyncio.sleep(0.2)

    async def _is_serving(self, daemon: DaemonPlan) -> bool:
        result = await send_chat(self._fleet.client, daemon, self._make_call())
        return result.whole

    async def _run_caller(self, pairs: int) -> None:
        plan = self._fleet.plan
        for _ in range(pairs):
            engine = self._random.choice(plan.engines)
            daemon = self._random.choice(plan.daemons)
            sends = [
                (f"http://{engine.address}", self._direct),
                (daemon.caller_url, self._routed),
            ]
            self._random.shuffle(sends)
            for url, times in sends:
                await asyncio.sleep(self._random.uniform(0, MAX_PAUSE))
                times.append(await self._measure(url))

    async def _measure(self, url: str) -> float:
        call = self._make_call()
        firsts: list[float] = []

        def take(block: bytes) -> None:
            if not firsts and b'"content"' in block:
                firsts.append(time.monotonic())

        started = time.monotonic()
        reply = await self._fleet.client.request(
            "POST", f"{url}/v1/chat/completions", call.headers, call.body, take
        )
        if reply.status != 200 or not firsts:
            raise AssertionError(f"{url} answered with status {reply.status}")
        return (firsts[0] - started) * 1000

    def _make_call(self) -> ChatCall:
        number = next(self._numbers)
        return ChatCall(
            ORGANISATION,
            f"bench-{number}",
            f"request {number}: which beam holds the roof?",
            ANSWER_TOKENS,
            stream=True,
        )


def find_percentile(times: Sequence[float], percent: int) -> float:
    """Return a percentile of times."""
    return statistics.quantiles(times, n=100)[percent - 1]


async def measure_first_tokens(arguments: argparse.Namespace) -> FirstTokens:
    """Run a fleet and measure."""
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
    """Return the figures as a Markdown table."""
    rows = ["| | median, ms | 95th percentile, ms |", "|---|---|---|"]
    for name, sample in (("direct", times.direct), ("routed", times.routed)):
        median, late = (find_percentile(sample, percent) for percent in (50, 95))
        rows.append(f"| {name} | {median:.1f} | {late:.1f} |")
    added = (times.find_added(50), times.find_added(95))
    rows.append(f"| added | {added[0]:.1f} | {added[1]:.1f} |")
    return "\n".join(rows)


def write_report(path: Path, arguments: argparse.Namespace, table: str) -> None:
    """Write the figures as a page."""
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
    parser.add_argument("--pairs", type=int, default=100, help="of each caller")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--report", type=Path, help="Markdown file to write")
    return parser


def main() -> int:
    """Measure, print, and report; 1 if more is added than the target allows."""
    arguments = _make_parser().parse_args()
    times = asyncio.run(measure_first_tokens(arguments))
    table = describe(times)
    print(table)
    if arguments.report:
        write_report(arguments.report, arguments, table)
    return 0 if times.find_added(95) <= TARGET_MS else 1


if __name__ == "__main__":
    sys.exit(main())

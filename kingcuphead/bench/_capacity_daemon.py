"""Processor time and memory of daemon processes, read from /proc."""

import asyncio
import os
from collections.abc import Iterator
from pathlib import Path

from kingcuphead.bench._capacity_results import Point, Slope
from kingcuphead.localfleet import (
    ChatCall,
    LocalFleet,
    LocalOrganisation,
    make_plan,
    seed_fleet,
    send_chat,
)

MICROSECONDS = 1e6
KILOBYTE = 1000.0
#: Clock ticks per second of the processor times in /proc.
CLOCK_TICKS = os.sysconf("SC_CLK_TCK")
#: Seconds over which an idle daemon is measured.
IDLE_SECONDS = 10.0
#: Seconds between the start of a fleet and the measurement.
SETTLE_SECONDS = 3.0
#: Concurrent callers, and requests per caller in one run.
CALLERS = 20
REQUESTS_PER_CALLER = 5
#: Repeated runs at each size.
RUNS = 3
#: Time between two tokens of an engine, in milliseconds.
TOKEN_INTERVAL_MS = "4"

#: Default intervals of the product, which local fleets shorten.
PRODUCTION_SETTINGS = {
    "platform": {"poll_interval_seconds": "1"},
    "budgets": {"flush_interval_seconds": "0.5"},
    "peers": {"probe_interval_seconds": "1", "suspect_timeout_seconds": "3"},
    "configuration": {"poll_interval_seconds": "1"},
}

ORGANISATION = LocalOrganisation("capacity", 10**9, policy="available")


async def measure_idle(daemons: int) -> tuple[float, float]:
    """Return the processor time of an idle daemon in us/s and its memory in KB.

    The time is the mean of the fleet, the memory the maximum.
    """
    fleet = LocalFleet(make_plan(daemons, 2), PRODUCTION_SETTINGS)
    try:
        await fleet.start()
        await seed_fleet(fleet.plan, (ORGANISATION,))
        await asyncio.sleep(SETTLE_SECONDS)
        pids = [fleet.get_process(daemon.name).pid for daemon in fleet.daemons]
        before = sum(map(read_cpu_seconds, pids))
        await asyncio.sleep(IDLE_SECONDS)
        spent = sum(map(read_cpu_seconds, pids)) - before
        memory = max(map(read_resident_kilobytes, pids))
    finally:
        await fleet.close()
    return spent / IDLE_SECONDS / daemons * MICROSECONDS, memory


async def measure_requests(tokens: tuple[int, ...]) -> dict[int, tuple[float, ...]]:
    """Return the processor time per streamed request, in us, by number of tokens."""
    options = (
        *("--answer-tokens", "1000"),
        *("--token-interval-ms", TOKEN_INTERVAL_MS),
        *("--concurrency", "64"),
    )
    fleet = LocalFleet(make_plan(1, 2, engine_options=options))
    try:
        await fleet.start()
        await seed_fleet(fleet.plan, (ORGANISATION,), max_output_tokens=1000)
        await asyncio.sleep(SETTLE_SECONDS)
        await _send_all(fleet, 8, "warm")
        results = {}
        for count in tokens:
            runs = [await _measure_run(fleet, count, run) for run in range(RUNS)]
            results[count] = tuple(runs)
        return results
    finally:
        await fleet.close()


async def _measure_run(fleet: LocalFleet, tokens: int, run: int) -> float:
    pid = fleet.get_process(fleet.daemons[0].name).pid
    before = read_cpu_seconds(pid)
    answered = await _send_all(fleet, tokens, f"run-{tokens}-{run}")
    return (read_cpu_seconds(pid) - before) / answered * MICROSECONDS


async def _send_all(fleet: LocalFleet, tokens: int, name: str) -> int:
    """Send requests from concurrent callers; return the number of complete answers."""

    async def call(caller: int) -> int:
        answered = 0
        for number in range(REQUESTS_PER_CALLER):
            request_id = f"{name}-{caller}-{number}"
            chat = ChatCall(ORGANISATION, request_id, request_id, tokens, stream=True)
            result = await send_chat(fleet.client, fleet.daemons[0], chat)
            answered += result.whole
        return answered

    return sum(await asyncio.gather(*map(call, range(CALLERS))))


def measure_daemons() -> Iterator[Slope]:
    """Measure idle daemons and requests through one daemon; yield the slopes."""
    idle = {size: asyncio.run(measure_idle(size)) for size in (3, 6, 12)}
    yield Slope(
        "idle_us",
        "idle daemon, everything included",
        "us/s",
        "daemons",
        tuple(Point(size, (cost,)) for size, (cost, _) in idle.items()),
    )
    yield Slope(
        "memory_kb",
        "resident memory of an idle daemon",
        "KB",
        "daemons",
        tuple(Point(size, (memory,)) for size, (_, memory) in idle.items()),
    )
    requests = asyncio.run(measure_requests((16, 64, 256)))
    yield Slope(
        "request_us",
        "streamed request through a daemon, at 20 streams of 250 tokens a second",
        "us",
        "tokens",
        tuple(Point(count, values) for count, values in requests.items()),
    )


def read_cpu_seconds(pid: int) -> float:
    """Return the user and system time of a process, in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS


def read_resident_kilobytes(pid: int) -> float:
    """Return the resident memory of a process, in kilobytes."""
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / KILOBYTE

"""BUDGET: daemons that are killed and start again retry beyond the shared budget."""

import asyncio
import bisect
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "lib-3"))

from fleet import TROUBLE, CannotRun, Fleet, Runner, run_case  # noqa: E402

#: Daemons, and how many of them are killed at once.
DAEMONS, KILLED = 12, 7
RATIO, BURST, WINDOW = 0.2, 54, 10.0
#: Seconds of traffic; short and long requests a second.
LENGTH, LOOKUPS, REPORTS = 24, 36, 5
#: When they are killed, and seconds until they start again.
KILL_AT, DOWN = 5.0, 0.5


def make_route(name, prefix, kind, attempts, timeout_ms):
    return {
        "name": name, "host": "desk.example", "prefix": prefix, "kind": kind,
        "timeout_ms": timeout_ms, "target_latency_ms": 400, "priority": 2,
        "service": "order-desk", "max_attempts": attempts, "allow_anonymous": False,
    }


def make_configuration():
    routes = [
        make_route("stock-lookup", "/stock/", "safe", 2, 1500),
        make_route("order-report", "/report/", "unsafe", 1, 12000),
    ]
    service = {"name": "order-desk", "health_path": "/health", "max_connections": 100}
    limits = {"max_header_bytes": 16384, "max_body_bytes": 4194304,
              "header_timeout_ms": 3000, "idle_timeout_ms": 15000}
    tenant = {"name": "atelier", "api_keys": ["key-1"], "priority": 1}
    return {"version": 7, "routes": routes, "services": [service],
            "limits": limits, "tenants": [tenant]}


async def kill_many(fleet):
    """Kill a part of the daemons at the same moment, once, and start them again."""
    await asyncio.sleep(KILL_AT)
    killed = fleet.daemons[:KILLED]
    for daemon in killed:
        daemon.kill()
    for daemon in killed:
        await daemon.process.wait()
    await asyncio.sleep(DOWN)
    for daemon in killed:
        await daemon.start()


async def send_evenly(fleet, sent_at, rate, method, prefix, patience):
    """Send requests at a rate, each to the next daemon that listens."""
    tasks = []
    for number in range(LENGTH * rate):
        daemon = fleet.daemons[number % DAEMONS]
        sent_at.append(time.monotonic())
        tasks.append(asyncio.create_task(fleet.send(
            daemon, method, f"{prefix}{number}", {"Api-Key": "key-1"},
            patience=patience,
        )))
        await asyncio.sleep(1 / rate)
    return await asyncio.gather(*tasks)


def count(times, start, end):
    return bisect.bisect_left(times, end) - bisect.bisect_left(times, start)


def judge(fleet, sent_at, answers):
    """Compare the arrivals beyond the first of each request with the budget."""
    arrivals = sorted(
        (said["at"], said.get("run") or said["refused"])
        for said in fleet.runs
        if "run" in said or "refused" in said
    )
    seen, repeats = set(), []
    for at, request_id in arrivals:
        if request_id in seen:
            repeats.append(at)
        seen.add(request_id)
    sent_at.sort()
    worst = None
    for start in repeats:
        end = start + WINDOW
        requests = max(
            count(sent_at, start - shift, end - shift)
            for shift in (0, WINDOW / 2, WINDOW)
        )
        most = RATIO * requests + BURST
        excess = count(repeats, start, end) - most
        if worst is None or excess > worst[0]:
            worst = excess, count(repeats, start, end), requests, most
    if worst is None or len(arrivals) < 200:
        raise CannotRun("too few requests arrive")
    excess, repeated, requests, most = worst
    served = sum(answer.is_success for answer in answers)
    text = (f"{len(answers)} requests, {served} successes, {len(arrivals)} arrivals, "
            f"{len(repeats)} beyond the first; at most {repeated} of them in "
            f"{WINDOW:g} s with {requests} requests, where {most:.1f} are allowed")
    fleet.record.write(text)
    print(text)
    return excess > 0


async def case(folder):
    fleet = Fleet(folder, daemons=DAEMONS)
    # Three runners with two places each, which long requests mostly take up.
    options = ["--mode", "whole", "--slots", "2", "--work-ms", "60", "--long-ms", "8000"]
    for number in range(3):
        fleet.runners.append(Runner(fleet, "order-desk", number, options))
    fleet.configuration = make_configuration()
    kills = []
    try:
        await fleet.start()
        if TROUBLE:
            kills = [asyncio.create_task(kill_many(fleet))]
        sent_at = []
        lookups, reports = await asyncio.gather(
            send_evenly(fleet, sent_at, LOOKUPS, "GET", "/stock/", 1.5),
            send_evenly(fleet, sent_at, REPORTS, "POST", "/report/", 12.0),
        )
        await asyncio.sleep(0.5)
        return judge(fleet, sent_at, lookups + reports)
    finally:
        for task in kills:
            task.cancel()
        await fleet.stop()


run_case(case)

"""Daemons that are killed forget what they have spent of the retry budget."""

import asyncio
import collections
import os
import pathlib
import random
import signal
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))

import harness  # noqa: E402

#: Whether the disruption is brought about; `TROUBLE=0` leaves it out.
IS_TROUBLED = os.environ.get("TROUBLE", "1") != "0"
DAEMONS = tuple(f"127.0.51.{number}" for number in range(1, 8))
RUNNERS = tuple(f"127.0.52.{number}" for number in range(1, 4))
#: Requests a second of all clients.
RATE = 24.0
#: Seconds of traffic.
DAY = 30.0
#: `retry_budget_ratio`, `budget_window_s` and `retry_budget_burst` of the site.
RATIO, WINDOW, BURST = 0.2, 10.0, 54
#: Herd kills: machines of seven (share 0.55), seconds until the platform starts them
#: again, seconds between two kills.
KILLED, DELAY, INTERVAL = 4, 0.3, 2.0
#: Seconds of a request at a runner, and requests that a runner takes at once.
WORK, SLOTS = 1.0, 2


class FullRunner(harness.Runner):
    """Notes each request that arrives, also those that it has no room for."""

    arrivals: list[tuple[float, str]] = []

    async def start(self) -> None:
        self.handler = self._handle
        await super().start()

    async def _handle(self, line, headers, body, writer) -> None:
        request_id = headers.get("attempt-id", "")
        self.arrivals.append((time.monotonic(), request_id))
        if self.running >= self.slots:
            self.record.write(f"runner {self.name} has no room for {request_id}")
            await self.refuse(writer, headers)
            return
        self.begin(headers, body)
        try:
            await asyncio.sleep(WORK)
        finally:
            self.running -= 1
        await self.reply(writer, 200, b"x" * 800, self.make_head(headers))


class Clients:
    """Sends `safe` requests to daemons in rotation; none is sent again."""

    def __init__(self, record) -> None:
        self._record = record
        self.rotation = set(DAEMONS)
        self.sent: list[float] = []
        self.statuses = collections.Counter()

    async def run(self) -> None:
        began = time.monotonic()
        tasks = []
        for number in range(int(DAY * RATE)):
            await asyncio.sleep(began + number / RATE - time.monotonic())
            tasks.append(asyncio.create_task(self._send()))
        await asyncio.gather(*tasks)

    async def _send(self) -> None:
        ip = random.choice(sorted(self.rotation))
        request_id = harness.new_id()
        headers = {
            "Attempt-Id": request_id,
            "Api-Key": harness.KEY,
            "Deadline-Ms": "3000",
        }
        self.sent.append(time.monotonic())
        try:
            answer = await harness.fetch(ip, 8227, "GET", "/stock/x", headers)
        except OSError as error:
            answer = harness.Answer()
            answer.error = type(error).__name__
        self.statuses[answer.status] += 1
        self._record.write(f"client gets for {request_id} at {ip}: {answer}")


async def kill_herds(daemons, clients, record) -> None:
    rng = random.Random(1)

    async def restart(ip: str) -> None:
        await daemons.processes[ip].wait()
        await asyncio.sleep(DELAY)
        await daemons.start(ip)
        clients.rotation.add(ip)

    while True:
        await asyncio.sleep(INTERVAL)
        ips = rng.sample(DAEMONS, KILLED)
        record.write(f"herd kill: {', '.join(ips)}")
        for ip in ips:
            clients.rotation.discard(ip)
            daemons.signal(ip, signal.SIGKILL)
        await asyncio.gather(*(restart(ip) for ip in ips))


def find_excess(arrivals, sent, record) -> float:
    """Return by how much the worst window exceeds the retry budget."""
    seen = set()
    again = []
    for at, request_id in sorted(arrivals):
        if request_id in seen:
            again.append(at)
        seen.add(request_id)

    def count(times, start: float) -> int:
        return sum(start <= at < start + WINDOW for at in times)

    worst = float("-inf")
    text = "no request was sent again"
    for start in again:
        earlier = (start, start - WINDOW / 2, start - WINDOW)
        requests = max(count(sent, each) for each in earlier)
        repeated = count(again, start)
        excess = repeated - RATIO * requests - BURST
        if excess > worst:
            worst = excess
            text = (
                f"worst window: {repeated} arrivals beyond the first of each request, "
                f"{requests} requests; {RATIO * requests + BURST:.0f} are allowed"
            )
    record.write(text)
    return worst


async def main(record) -> bool:
    store = harness.Store("127.0.0.1", record)
    await store.start()
    route = harness.make_route("stock", "/stock/", "safe", "desk", timeout_ms=3000)
    services = [{"name": "desk", "max_connections": 100}]
    store.put("op", "config", harness.make_config([route], services))
    FullRunner.arrivals = []
    runners = [FullRunner(store, "desk", ip, record, slots=SLOTS) for ip in RUNNERS]
    for runner in runners:
        await runner.start()
    settings = {"bounds.retry_budget_burst": BURST}
    daemons = harness.Daemons(store, record, **settings)
    clients = Clients(record)
    kills = None
    try:
        await asyncio.gather(*(daemons.start(ip) for ip in DAEMONS))
        if IS_TROUBLED:
            kills = asyncio.create_task(kill_herds(daemons, clients, record))
        await clients.run()
    finally:
        if kills is not None:
            kills.cancel()
            await asyncio.gather(kills, return_exceptions=True)
        await daemons.close()
    record.write(f"answers by status, 0 for none: {dict(clients.statuses)}")
    return find_excess(FullRunner.arrivals, clients.sent, record) <= 0


if __name__ == "__main__":
    harness.run_case(main, FOLDER)

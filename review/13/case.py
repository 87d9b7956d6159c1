"""LOST: one request of a size that no runner can hold ends a daemon."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib-3"))

from fleet import FRONT, TROUBLE, Answer, CannotRun, Fleet, Runner, run_case  # noqa: E402

#: Seconds of traffic, clients that keep their connections, and the pause between two
#: requests of one of them.
LENGTH, CLIENTS, PAUSE = 30, 24, 0.1
#: When the large request is sent, and how often: the client retries once.
SENT_AT, TRIES = 8.0, 2
#: The largest number of 64 bits, such as a client gets from -1 without a sign.
TOKENS = 2**64 - 1


def make_route(name, prefix, kind, service, timeout_ms):
    return {
        "name": name, "host": "desk.example", "prefix": prefix, "kind": kind,
        "timeout_ms": timeout_ms, "target_latency_ms": 1000, "priority": 1,
        "service": service, "max_attempts": 1, "allow_anonymous": False,
        "session_affinity": kind == "streaming", "gap_aim_ms": 400,
    }


def make_configuration():
    routes = [
        make_route("dealer-query", "/plan/", "streaming", "pool", 12000),
        make_route("timber-order", "/order/", "unsafe", "order-desk", 1500),
    ]
    engine = {"slots": 64, "kv_capacity_tokens": 497407, "stride": 6}
    services = [
        {"name": "pool", "health_path": "/health", "max_connections": 360,
         "engine": engine},
        {"name": "order-desk", "health_path": "/health", "max_connections": 100},
    ]
    limits = {"max_header_bytes": 16384, "max_body_bytes": 4194304,
              "header_timeout_ms": 3000, "idle_timeout_ms": 15000}
    tenants = [
        {"name": "atelier", "api_keys": ["key-1"], "priority": 1, "prepaid": 9000000},
        {"name": "dealer", "api_keys": ["key-2"], "priority": 1},
    ]
    return {"version": 7, "routes": routes, "services": services, "limits": limits,
            "tenants": tenants}


class KeptClient:
    """Sends one request after the other on a connection that it keeps."""

    def __init__(self, fleet, number):
        self.fleet, self.daemon = fleet, fleet.daemons[number % len(fleet.daemons)]
        self.lost = []
        self.answers = []

    async def run(self, until):
        loop = asyncio.get_running_loop()
        while loop.time() < until:
            try:
                reader, writer = await asyncio.open_connection(self.daemon.host, FRONT)
            except OSError:
                await asyncio.sleep(0.2)
                continue
            await self.use(reader, writer, until)
            writer.close()

    async def use(self, reader, writer, until):
        sent = 0
        while asyncio.get_running_loop().time() < until:
            answer = Answer(self.fleet.make_request_id())
            sent += 1
            writer.write(
                f"POST /order/1 HTTP/1.1\r\nHost: desk.example\r\nApi-Key: key-1\r\n"
                f"Attempt-Id: {answer.request_id}\r\nDeadline-Ms: 1500\r\n"
                f"Content-Length: 4\r\n\r\nplan".encode()
            )
            is_closed = False
            try:
                async with asyncio.timeout(3):
                    await answer.read(reader)
            except (OSError, asyncio.IncompleteReadError):
                is_closed = True
            except TimeoutError:
                pass
            self.fleet.record.write(f"kept client gets {answer.describe()}")
            self.answers.append(answer)
            if is_closed and answer.status == 0 and sent > 1:
                self.lost.append((answer.request_id, self.daemon.number))
            if not answer.is_complete:
                return
            await asyncio.sleep(PAUSE)


async def restart(daemon):
    """Start a daemon again that has ended by itself, as the platform does."""
    while True:
        await daemon.process.wait()
        daemon.fleet.record.write(
            f"daemon {daemon.number} ended by itself: {daemon.process.returncode}"
        )
        await asyncio.sleep(0.5)
        await daemon.start()


async def ask_too_much(fleet):
    await asyncio.sleep(SENT_AT)
    headers = {"Api-Key": "key-2", "Model": "m", "Token-Counts": f"{TOKENS},80",
               "Prompt-Prefix": f"5c1e07a2:800,e4402b7d:{TOKENS - 800}"}
    for attempt in range(TRIES):
        daemon = fleet.daemons[attempt]
        await fleet.send(daemon, "POST", "/plan/1", headers, b"x" * 800, patience=6)


def judge(fleet, clients):
    """Count requests that a sound runner got and whose connection was then closed."""
    ended = {said["end"]: said["id"] for said in fleet.runs if "end" in said}
    lost = [
        (request_id, daemon)
        for client in clients
        for request_id, daemon in client.lost
        if request_id in ended
    ]
    for request_id, daemon in lost:
        fleet.record.write(
            f"LOST {request_id}: run to its end by {ended[request_id]}; daemon "
            f"{daemon} closed the kept connection without an answer"
        )
    answers = [answer for client in clients for answer in client.answers]
    served = sum(answer.is_success for answer in answers)
    text = f"{len(answers)} requests, {served} successes, {len(lost)} lost"
    fleet.record.write(text)
    print(text)
    if served < len(answers) / 2:
        raise CannotRun("too few requests are served")
    return len(lost) > 3


async def case(folder):
    fleet = Fleet(folder, daemons=3)
    for number in range(2):
        # A request that is larger than their memory is rejected as if they were full.
        options = ["--mode", "stream", "--memory", "497407"]
        fleet.runners.append(Runner(fleet, "pool", number, options))
    for number in range(2, 4):
        options = ["--mode", "whole", "--slots", "24", "--work-ms", "250"]
        fleet.runners.append(Runner(fleet, "order-desk", number, options))
    fleet.configuration = make_configuration()
    tasks = []
    try:
        await fleet.start()
        tasks = [asyncio.create_task(restart(daemon)) for daemon in fleet.daemons]
        if TROUBLE:
            tasks.append(asyncio.create_task(ask_too_much(fleet)))
        until = asyncio.get_running_loop().time() + LENGTH
        clients = [KeptClient(fleet, number) for number in range(CLIENTS)]
        await asyncio.gather(*(client.run(until) for client in clients))
        await asyncio.sleep(0.5)
        return judge(fleet, clients)
    finally:
        for task in tasks:
            task.cancel()
        await fleet.stop()


run_case(case)

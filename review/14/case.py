"""LOST: HEAD requests that are refused get no answer; their connection is closed."""

import asyncio
import os
import pathlib
import random
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib-3"))

from fleet import FRONT, TROUBLE, Answer, CannotRun, Fleet, Runner, run_case  # noqa: E402

#: Seconds of traffic, and when one tenant sends many times its usual, for how long.
LENGTH, HOT_AT, HOT_FOR, HOT_FACTOR = 24, 8.0, 6.5, 7.5
#: Clients of the tenant that gets hot, and of the other one.
HOT_CLIENTS, OTHER_CLIENTS = 6, 4
#: Seconds between two requests of a client.
PAUSE = 1.7
#: Method of the requests; with GET the same requests are refused with 503.
METHOD = os.environ.get("METHOD", "HEAD")


def make_configuration():
    route = {
        "name": "stock-lookup", "host": "desk.example", "prefix": "/stock/",
        "kind": "safe", "timeout_ms": 1500, "target_latency_ms": 400, "priority": 2,
        "service": "order-desk", "max_attempts": 2, "allow_anonymous": False,
    }
    service = {"name": "order-desk", "health_path": "/health", "max_connections": 100}
    limits = {"max_header_bytes": 16384, "max_body_bytes": 4194304,
              "header_timeout_ms": 3000, "idle_timeout_ms": 15000}
    tenants = [
        {"name": "atelier", "api_keys": ["key-1"], "priority": 1},
        {"name": "dealer", "api_keys": ["key-2"], "priority": 1},
    ]
    return {"version": 7, "routes": [route], "services": [service],
            "limits": limits, "tenants": tenants}


class KeptClient:
    """Sends one request after the other on a connection that it keeps."""

    def __init__(self, fleet, key):
        self.fleet, self.key = fleet, key
        self.daemon = random.choice(fleet.daemons)
        self.lost = []
        self.answers = []

    async def run(self, until):
        loop = asyncio.get_running_loop()
        await asyncio.sleep(random.uniform(0, PAUSE))
        while loop.time() < until:
            reader, writer = await asyncio.open_connection(self.daemon.host, FRONT)
            await self.use(reader, writer, until)
            writer.close()
            await asyncio.sleep(PAUSE)

    async def use(self, reader, writer, until):
        sent = 0
        while asyncio.get_running_loop().time() < until:
            answer = Answer(self.fleet.make_request_id())
            sent += 1
            writer.write(
                f"{METHOD} /stock/{sent} HTTP/1.1\r\nHost: desk.example\r\n"
                f"Api-Key: {self.key}\r\nAttempt-Id: {answer.request_id}\r\n"
                f"Deadline-Ms: 1500\r\n\r\n".encode()
            )
            try:
                async with asyncio.timeout(3):
                    await answer.read(reader, has_body=METHOD != "HEAD")
            except (OSError, asyncio.IncompleteReadError):
                if answer.status == 0 and sent > 1:
                    self.lost.append((answer.request_id, self.daemon.number))
            except TimeoutError:
                pass
            self.fleet.record.write(f"kept client gets {answer.describe()}")
            self.answers.append(answer)
            if not answer.is_complete:
                return
            await asyncio.sleep(PAUSE)


def judge(fleet, clients):
    """Count requests that reached a runner and whose connection was then closed."""
    arrived = {said.get("run") or said.get("refused") for said in fleet.runs}
    lost = [
        (request_id, daemon)
        for client in clients
        for request_id, daemon in client.lost
        if request_id in arrived
    ]
    for request_id, daemon in lost:
        fleet.record.write(
            f"LOST {request_id}: passed on to a runner; daemon {daemon} closed the "
            f"kept connection without an answer"
        )
    answers = [answer for client in clients for answer in client.answers]
    served = sum(answer.is_success for answer in answers)
    refused = sum(answer.status == 503 for answer in answers)
    text = (f"{len(answers)} requests, {served} successes, {refused} answers 503, "
            f"{len(lost)} lost")
    fleet.record.write(text)
    print(text)
    if served < len(answers) / 2:
        raise CannotRun("too few requests are served")
    return len(lost) > 3


async def case(folder):
    fleet = Fleet(folder, daemons=3)
    options = ["--mode", "whole", "--slots", "2", "--work-ms", "300"]
    for number in range(3):
        fleet.runners.append(Runner(fleet, "order-desk", number, options))
    fleet.configuration = make_configuration()
    try:
        await fleet.start()
        now = asyncio.get_running_loop().time()
        clients = [KeptClient(fleet, "key-1") for _ in range(HOT_CLIENTS)]
        clients += [KeptClient(fleet, "key-2") for _ in range(OTHER_CLIENTS)]
        tasks = [asyncio.create_task(each.run(now + LENGTH)) for each in clients]
        if TROUBLE:
            await asyncio.sleep(HOT_AT)
            more = int(HOT_CLIENTS * (HOT_FACTOR - 1))
            hot = [KeptClient(fleet, "key-1") for _ in range(more)]
            until = now + HOT_AT + HOT_FOR
            tasks += [asyncio.create_task(each.run(until)) for each in hot]
            clients += hot
        await asyncio.gather(*tasks)
        await asyncio.sleep(0.5)
        return judge(fleet, clients)
    finally:
        await fleet.stop()


run_case(case)

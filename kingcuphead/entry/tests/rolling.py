"""Runs daemons of two versions side by side and checks what callers are promised.

    python -m kingcuphead.entry.tests.rolling BEFORE [--seconds 4] [--seed 1]

`BEFORE` is a checkout of the other version. The daemons are processes; the store, the
targets and the callers are in this one. Both directions are run: daemons of `BEFORE`
are replaced by those of this checkout, and the reverse. In each of them one daemon is
killed, then all of them, each of which starts again as the other version.
"""

import argparse
import asyncio
import base64
import collections
import contextlib
import dataclasses
import itertools
import json
import os
import pathlib
import random
import signal
import sys
import tempfile
from collections import Counter, defaultdict
from typing import Any

from tornado.testing import bind_unused_port

import kingcuphead
from kingcuphead.entry.tests._fleet import (
    CALLER_PORT,
    INTERNAL_PORT,
    NETWORK,
    READINESS_PORT,
)
from kingcuphead.entry.tests._target import EVENT_GAP, STREAM_EVENTS, LocalTarget
from kingcuphead.platform.tests._documents import (
    encode_entry,
    encode_value,
    make_answer,
    make_event,
    make_head,
    make_stream_head,
    parse_resumption,
)
from kingcuphead.platform.tests._table_store import TableStore
from kingcuphead.verdict import Reason

CURRENT = pathlib.Path(kingcuphead.__file__).parents[1]
#: Number of daemons.
SIZE = 3
#: Requests of each kind in a second.
RATE = 12
#: Tokens of each prompt, and the most tokens of its answer.
PROMPT_TOKENS, OUTPUT_TOKENS = 100, STREAM_EVENTS
#: Prepaid tokens of the organisation with a budget.
BUDGET = 40_000
#: Key of that organisation, and of one without a budget.
BUDGET_KEY, FREE_KEY = "kb", "k"
#: Shares of the requests that a target refuses, and that it runs but doesn't answer.
REFUSED_SHARE, BROKEN_SHARE = 0.08, 0.04
#: Seconds between two crashes of a target.
CRASH_INTERVAL = 4.0
#: Seconds between SIGTERM and the end of a daemon at most.
GRACE_SECONDS = 4
#: Tries of a caller whose request was not run.
MAX_TRIES = 8
#: Statuses that promise that a request was not run.
NOT_RUN = frozenset({402, 408, 421, 429, 503})
KINDS = ("safe", "unsafe", "streaming")
#: Body of a request that crashes each target, and seconds between two tries of it.
CRASHING_BODY, CRASHING_BODY_INTERVAL = "unsafe-deadly", 0.7
#: Crashes after which it is quarantined.
MAX_REQUEST_CRASHES = 3


def encode_configuration(version: int) -> str:
    """Return the row of a configuration; from version 2 on it has one route more."""
    kinds = [*KINDS, *(["late"] if version > 1 else [])]
    routes = [
        {
            "name": kind,
            "host": "h",
            "prefix": f"/{kind}/",
            "kind": "safe" if kind == "late" else kind,
            "service": "pool",
            "max_attempts": 2,
            "stream_resume": kind == "streaming",
            "timeout_ms": 2_000,
        }
        for kind in kinds
    ]
    tenants = [
        {"name": "atelier", "api_keys": [FREE_KEY]},
        {"name": "budgeted", "api_keys": [BUDGET_KEY], "prepaid": BUDGET},
    ]
    services = [{"name": "pool"}]
    value: str = encode_value(
        {"version": version, "routes": routes, "services": services, "tenants": tenants}
    )
    return value


class RecordingTarget(LocalTarget):
    """Answers requests and streams, refuses some, and breaks off others.

    Parameters
    ----------
    records
        Runs of all targets.
    rng
        Selects the requests that are refused or broken off.
    """

    def __init__(self, name, version, register, records, rng):
        super().__init__(name, version, register)
        self._records = records
        self._rng = rng
        #: Crashes under the request that crashes each target.
        self.request_crashes = 0

    @property
    def is_up(self):
        """Whether it accepts connections."""
        return self._server is not None and self._server.is_serving()

    async def answer(self, headers, body, writer):
        """Answer one request; its body is its id, which all its tries share."""
        request_id = headers["attempt-id"]
        if body.decode() == CRASHING_BODY:
            self.request_crashes += 1
            self.crash()
            return
        chance = self._rng.random()
        if chance < REFUSED_SHARE:
            lines = [f"Attempt-Id: {request_id}", "Not-Executed: 1"]
            writer.write(make_head("503 Busy", lines))
            return
        run = Run(request_id, body.decode(), headers["tenant"], self.version)
        self._records.append(run)
        if chance < REFUSED_SHARE + BROKEN_SHARE:
            writer.close()
            await writer.wait_closed()
            raise ConnectionResetError
        if not run.body.startswith("streaming"):
            await asyncio.sleep(EVENT_GAP)
            writer.write(make_answer(request_id, self.version.encode()))
            return
        writer.write(make_stream_head(request_id))
        for event_id in range(parse_resumption(headers) + 1, STREAM_EVENTS + 1):
            writer.write(make_event(event_id, self.version))
            await writer.drain()
            run.events += 1
            await asyncio.sleep(EVENT_GAP)
        writer.write(b"0\r\n\r\n")


@dataclasses.dataclass
class Run:
    """One run of a request at a target."""

    request_id: str
    body: str
    organisation: str
    version: str
    events: int = 0


@dataclasses.dataclass
class Answer:
    """What a caller got in one try; the status is 0 without an answer."""

    status: int = 0
    content: str = ""
    is_sent: bool = False
    event_ids: list[int] = dataclasses.field(default_factory=list)
    versions: list[str] = dataclasses.field(default_factory=list)


class Fleet:
    """Daemons of two checkouts, each at an address of its own."""

    def __init__(self, store_port: int, folder: pathlib.Path) -> None:
        self._store_port = store_port
        self._folder = folder
        self._starts = itertools.count()
        self.processes: dict[int, Any] = {}
        #: Checkout of each daemon.
        self.checkouts: dict[int, pathlib.Path] = {}
        #: Exit statuses by the signal that ended a daemon.
        self.exits: list[tuple[str, int]] = []

    async def start(self, number: int, checkout: pathlib.Path) -> None:
        """Start a daemon and wait until it is ready."""
        self.checkouts[number] = checkout
        ip = f"{NETWORK}.{number}"
        start = next(self._starts)
        profile = self._folder / f"{number}.conf"
        profile.write_text(
            f"node=d{number}\nzone=z\nip={ip}\nlisten.front={ip}:{CALLER_PORT}\n"
            f"listen.ready={ip}:{READINESS_PORT}\ninternal_ports={INTERNAL_PORT}\n"
            f"platform.address=127.0.0.1:{self._store_port}\n"
            f"bounds.grace_s={GRACE_SECONDS}\nbounds.retry_budget_ratio=1\n"
            "bounds.retry_budget_burst=1000\n"
        )
        log = (self._folder / f"{start}.log").open("w")
        environment = os.environ | {"PYTHONPATH": str(checkout)}
        self.processes[number] = await asyncio.create_subprocess_exec(
            *(sys.executable, "-m", "kingcuphead.entry", "--profile", str(profile)),
            cwd=checkout,
            env=environment,
            stdout=log,
            stderr=log,
        )
        async with asyncio.timeout(20):
            while not await self._is_ready(ip):
                await asyncio.sleep(0.1)

    async def end(self, number: int, how: signal.Signals) -> None:
        """End a daemon by a signal."""
        process = self.processes.pop(number)
        if process.returncode is not None:
            self.exits.append(("by itself", process.returncode))
            return
        process.send_signal(how)
        self.exits.append((how.name, await process.wait()))

    async def _is_ready(self, ip: str) -> bool:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            reader, writer = await asyncio.open_connection(ip, READINESS_PORT)
            writer.write(b"GET /api/ready HTTP/1.1\r\nHost: h\r\n\r\n")
            line = await reader.readline()
            writer.close()
            return b" 200 " in line
        return False


class Callers:
    """Sends requests of all kinds and keeps what they got."""

    def __init__(self, fleet: Fleet, rng: random.Random) -> None:
        self._fleet = fleet
        self._rng = rng
        self._numbers = itertools.count()
        self.knows_late_route: set[Any] = set()
        self.statuses: dict[str, Counter[int]] = defaultdict(Counter)
        #: Bodies of requests whose callers got a complete answer.
        self.answered: set[str] = set()
        #: Events and versions of each stream.
        self.streams: dict[str, tuple[list[int], list[str]]] = {}
        #: Streams that were resumed at a daemon of the other version.
        self.crossed: Counter[str] = Counter()
        #: Bodies of requests that were answered as not run in each try.
        self.refused: set[str] = set()
        #: Answers of daemons that no longer knew a route that they had known.
        self.reverted = 0

    async def run(self, kind: str) -> None:
        """Send requests of a kind until cancelled."""
        while len(self._fleet.checkouts) < SIZE:
            await asyncio.sleep(0.1)
        async with asyncio.TaskGroup() as tasks:
            while True:
                number = next(self._numbers)
                send = self._stream if kind == "streaming" else self._send
                tasks.create_task(send(kind, f"{kind}-{number}"))
                await asyncio.sleep(self._rng.uniform(0.5, 1.5) / RATE)

    async def _send(self, kind: str, body: str) -> None:
        key = self._rng.choice((BUDGET_KEY, FREE_KEY))
        route = "late" if kind == "safe" and self._rng.random() < 0.3 else kind
        statuses = []
        for _ in range(MAX_TRIES):
            number, process = self._choose()
            answer = await self._try(number, route, body, key)
            self.statuses[kind][answer.status] += 1
            statuses.append(answer.status)
            if route == "late" and answer.status:
                self._check_route(process, answer)
            if answer.status == 200:
                self.answered.add(body)
            is_safe = kind == "safe" and answer.status != 200
            is_not_run = answer.status in NOT_RUN or not answer.is_sent
            if not is_safe and not is_not_run or answer.status in (402, 404):
                break
            await asyncio.sleep(0.1)
        if NOT_RUN.issuperset(statuses):
            self.refused.add(body)

    async def send_crashing(self) -> None:
        """Send the request that crashes targets until cancelled."""
        while True:
            await asyncio.sleep(CRASHING_BODY_INTERVAL)
            number, _ = self._choose()
            answer = await self._try(number, "unsafe", CRASHING_BODY, FREE_KEY)
            self.statuses["deadly"][answer.status] += 1

    async def _stream(self, kind: str, body: str) -> None:
        """Leave a stream after some events and resume it elsewhere."""
        key = self._rng.choice((BUDGET_KEY, FREE_KEY))
        event_ids, versions = self.streams.setdefault(body, ([], []))
        begun, checkout = "", None
        for attempt in range(MAX_TRIES):
            number, _ = self._choose()
            request_id = f"{next(self._numbers):016x}"
            count = self._rng.randint(1, 4) if attempt == 0 else STREAM_EVENTS
            last = event_ids[-1] if event_ids else 0
            current = self._fleet.checkouts[number]
            answer = await self._try(
                number, kind, body, key, request_id, begun, last, count
            )
            self.statuses[kind][answer.status] += 1
            event_ids += answer.event_ids
            versions += answer.versions
            if answer.event_ids and not begun:
                begun, checkout = request_id, current
            elif answer.event_ids and current != checkout:
                direction = (
                    "to today's" if current == CURRENT else "to the version before"
                )
                self.crossed[direction] += 1
            if len(event_ids) >= STREAM_EVENTS:
                self.answered.add(body)
                return
            if answer.status in (402, 404, 409, 410):
                return
            await asyncio.sleep(self._rng.uniform(0.0, 0.4))

    def _choose(self) -> tuple[int, Any]:
        number = self._rng.randint(1, SIZE)
        return number, self._fleet.processes.get(number)

    def _check_route(self, process: Any, answer: Answer) -> None:
        if answer.status == 404:
            self.reverted += process in self.knows_late_route
        elif answer.content != Reason.CONFIGURATION_STALE.value:
            # A daemon without any configuration refuses whatever the route is.
            self.knows_late_route.add(process)

    async def _try(
        self,
        number: int,
        route: str,
        body: str,
        key: str,
        request_id: str = "",
        begun: str = "",
        last: int = 0,
        count: int = STREAM_EVENTS,
    ) -> Answer:
        answer = Answer()
        headers = {
            "Host": "h",
            "Api-Key": key,
            "Attempt-Id": request_id or f"{next(self._numbers):016x}",
            "Deadline-Ms": "2000",
            "Token-Counts": f"{PROMPT_TOKENS},{OUTPUT_TOKENS}",
            "Content-Length": str(len(body)),
        }
        if begun:
            headers |= {"Resumes": begun, "Last-Event-Id": str(last)}
        lines = [
            f"POST /{route}/x HTTP/1.1",
            *(f"{k}: {v}" for k, v in headers.items()),
        ]
        content = "\r\n".join([*lines, "", body]).encode()
        with contextlib.suppress(OSError, EOFError, TimeoutError, IndexError):
            async with asyncio.timeout(3.0):
                reader, writer = await asyncio.open_connection(
                    f"{NETWORK}.{number}", CALLER_PORT
                )
                try:
                    answer.is_sent = True
                    writer.write(content)
                    await _read(reader, answer, count)
                finally:
                    writer.close()
        return answer


async def _read(reader: Any, answer: Answer, count: int) -> None:
    status = int((await reader.readline()).split()[1])
    headers = {}
    while line := (await reader.readline()).decode().strip():
        name, _, value = line.partition(": ")
        headers[name.lower()] = value
    if "content-length" in headers:
        content = await reader.readexactly(int(headers["content-length"]))
        answer.status, answer.content = status, content.decode().strip()
        return
    answer.status = status
    # A last event without its data may be cut off; both are in one chunk.
    while len(answer.versions) < count:
        line = await reader.readline()
        if not line or line == b"0\r\n":
            break
        name, _, value = line.decode().strip().partition(": ")
        if name == "id":
            answer.event_ids.append(int(value))
        elif name == "data":
            answer.versions.append(value)


async def crash_targets(targets: list[RecordingTarget], rng: random.Random) -> None:
    """Crash a target now and then until cancelled."""
    while True:
        await asyncio.sleep(CRASH_INTERVAL)
        target = rng.choice(targets)
        if target.is_up:
            target.crash()


async def replace_daemons(
    fleet: Fleet,
    store: TableStore,
    first: pathlib.Path,
    second: pathlib.Path,
    pause: float,
) -> None:
    """Run the fleet, kill daemons, and replace the first version by the second."""
    other = {first: second, second: first}
    await asyncio.gather(*(fleet.start(n, first) for n in range(1, SIZE + 1)))
    await asyncio.sleep(pause)
    await fleet.end(1, signal.SIGKILL)
    await asyncio.sleep(pause / 2)
    await fleet.start(1, second)
    await asyncio.sleep(pause)
    store.put("op", "", "config", encode_configuration(2))
    checkouts = dict(fleet.checkouts)
    await asyncio.gather(*(fleet.end(n, signal.SIGKILL) for n in checkouts))
    await asyncio.gather(*(fleet.start(n, other[c]) for n, c in checkouts.items()))
    await asyncio.sleep(pause)
    for number, checkout in dict(fleet.checkouts).items():
        if checkout == first:
            await fleet.end(number, signal.SIGTERM)
            await fleet.start(number, second)
            await asyncio.sleep(pause / 2)
    # Those of the second version that came up in between are replaced, too.
    for number in range(1, SIZE + 1):
        await fleet.end(number, signal.SIGTERM)
        await fleet.start(number, first if number == 1 else second)
        await asyncio.sleep(pause / 2)
    await fleet.end(1, signal.SIGTERM)
    await fleet.start(1, second)
    await asyncio.sleep(pause)


def read_budget(store: TableStore) -> tuple[int, int]:
    """Return the tokens that the rows have charged and settled."""
    rows = store.list_rows("credit", "budgeted", "shard/", "shard0")
    shards = [json.loads(base64.b64decode(row["value"])) for row in rows]
    return sum(each[0] for each in shards), sum(each[1] for each in shards)


def check(runs: list[Run], callers: Callers) -> dict[str, Any]:
    """Compare what callers got with the records of the targets."""
    counts = Counter(run.body for run in runs)
    tokens: dict[str, int] = collections.defaultdict(int)
    for run in runs:
        if run.organisation == "budgeted":
            spent = PROMPT_TOKENS + run.events
            tokens[run.request_id] = max(tokens[run.request_id], spent)
    streams = callers.streams.values()
    return {
        "runs": len(runs),
        "at most once, run": sum(body.startswith("unsafe") for body in counts),
        "VIOLATION run twice": sum(
            count > 1 for body, count in counts.items() if body.startswith("unsafe")
        ),
        "VIOLATION run, told it was not": sum(
            body in counts for body in callers.refused
        ),
        "VIOLATION answered, not run": len(callers.answered - counts.keys()),
        "tokens spent at targets": sum(tokens.values()),
        "VIOLATION tokens above the budget": max(0, sum(tokens.values()) - BUDGET),
        "streams": len(callers.streams),
        "streams complete": sum(len(ids) == STREAM_EVENTS for ids, _ in streams),
        "streams taken up at another version": dict(callers.crossed),
        "VIOLATION streams of two versions": sum(
            len(set(versions)) > 1 for _, versions in streams
        ),
        "VIOLATION events missing or repeated": sum(
            ids != list(range(1, len(ids) + 1)) for ids, _ in streams
        ),
        "VIOLATION configuration reverted": callers.reverted,
        "statuses": {kind: dict(each) for kind, each in callers.statuses.items()},
    }


def read_logs(folder: pathlib.Path) -> dict[str, int]:
    """Count the warnings and errors of all daemons, by their text."""
    counts: Counter[str] = Counter()
    for path in folder.glob("*.log"):
        for line in path.read_text().splitlines():
            with contextlib.suppress(ValueError):
                entry = json.loads(line)
                if "taken back" in entry["message"]:
                    counts["info: a reserve was taken back"] += 1
                if entry["level"] in ("warning", "error", "critical"):
                    counts[f"{entry['level']}: {entry['message'][:60]}"] += 1
                    if "exception" in entry:
                        print(entry["exception"], file=sys.stderr)
                continue
            counts[f"other: {line[:60]}"] += 1
    return dict(counts.most_common(12))


async def run_direction(
    first: pathlib.Path, second: pathlib.Path, pause: float, seed: int
) -> dict[str, Any]:
    """Replace the daemons of one checkout by those of another, with traffic."""
    rng = random.Random(seed)
    store = TableStore()
    runs: list[Run] = []
    sock, port = bind_unused_port()
    server = store.serve(sock)
    store.put("op", "", "config", encode_configuration(1))

    def register(name, address, version):
        entry = None if address is None else encode_entry(address, version)
        store.put("servers", "", name, entry)

    targets = [
        RecordingTarget(f"t{n}", f"v{n % 2}", register, runs, rng) for n in range(4)
    ]
    for target in targets:
        await target.start()
    with tempfile.TemporaryDirectory() as folder:
        fleet = Fleet(port, pathlib.Path(folder))
        callers = Callers(fleet, rng)
        traffic = [asyncio.create_task(callers.run(kind)) for kind in KINDS]
        traffic.append(asyncio.create_task(crash_targets(targets, rng)))
        traffic.append(asyncio.create_task(callers.send_crashing()))
        try:
            await replace_daemons(fleet, store, first, second, pause)
        finally:
            for task in traffic:
                task.cancel()
            results = await asyncio.gather(*traffic, return_exceptions=True)
            for number in tuple(fleet.processes):
                await fleet.end(number, signal.SIGTERM)
            for target in targets:
                target.stop()
            server.stop()
        charged, settled = read_budget(store)
        crashes = sum(target.request_crashes for target in targets)
        failures = [each for each in results if isinstance(each, Exception)]
        return {
            **check(runs, callers),
            "tokens charged, settled": [charged, settled],
            "VIOLATION charged or settled above the budget": max(
                0, charged - BUDGET, settled - charged
            ),
            "crashes under the deadly request": crashes,
            "VIOLATION crashes above the limit": max(0, crashes - MAX_REQUEST_CRASHES),
            "failures of callers": [repr(each) for each in failures],
            "exits": {str(each): n for each, n in Counter(fleet.exits).items()},
            "log lines": read_logs(pathlib.Path(folder)),
        }


def main() -> int:
    """Run both directions, print the figures, and return 1 after a violation."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("before", type=pathlib.Path)
    parser.add_argument("--seconds", type=float, default=4.0)
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    before = options.before.resolve()
    is_kept = True
    for first, second in ((before, CURRENT), (CURRENT, before)):
        results = asyncio.run(
            run_direction(first, second, options.seconds, options.seed)
        )
        print(json.dumps({"from": str(first), "to": str(second), **results}, indent=1))
        is_kept &= not any(
            value for name, value in results.items() if name.startswith("VIOLATION")
        )
    return 0 if is_kept else 1


if __name__ == "__main__":
    sys.exit(main())

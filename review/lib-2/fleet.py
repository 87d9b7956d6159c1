"""Stand-ins for the platform, its runners and its clients, for the scripts of a review.

Everything listens on loopback addresses. The store follows the page on the protocol:
tables of rows with versions from one counter, conditional transactions, range reads
and feeds. Runners are processes of their own (`runner.py`), so that they can crash.
"""

import asyncio
import base64
import contextlib
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.parse

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
HISTORY_SECONDS = 20.0
HEARTBEAT_MS = 1200


class Record:
    """Writes what was sent, answered and run, with the seconds since the start."""

    def __init__(self, path):
        self._file = open(path, "w", encoding="utf-8")
        self._began = time.monotonic()

    def now(self):
        return time.monotonic() - self._began

    def write(self, text):
        self._file.write(f"{self.now():9.3f} {text}\n")
        self._file.flush()


async def read_message(reader):
    """Return the first line, the headers and the body of a message; None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, separator, value = line.partition(":")
        if separator:
            headers[name.strip().lower()] = value.strip()
    body = b""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int((await reader.readline()).strip() or b"0", 16)
            block = await reader.readexactly(size + 2)
            if not size:
                break
            body += block[:-2]
    elif "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    return lines[0], headers, body


class Store:
    """The platform's store."""

    def __init__(self):
        self.version = 1
        self.rows = {}
        self.changes = []
        self.calls = []
        self._changed = asyncio.Event()
        self._server = None
        self._clock = time.monotonic()
        #: Returns whether a call is answered; for outages.
        self.delay = lambda path: 0.0

    async def start(self, host):
        self._server = await asyncio.start_server(self._serve, host, 0)
        self.address = "%s:%d" % self._server.sockets[0].getsockname()

    def put(self, table, part, key, value):
        self._apply([("put", table, part, key, value)])

    def remove(self, table, part, key):
        if (table, part, key) in self.rows:
            self._apply([("remove", table, part, key, None)])

    def _apply(self, entries):
        self.version += 1
        now = time.monotonic()
        for kind, table, part, key, value in entries:
            identity = (table, part, key)
            if kind == "put":
                self.rows[identity] = (value, self.version)
            else:
                self.rows.pop(identity, None)
            self.changes.append((self.version, now, identity, value))
        self._changed.set()
        self._changed = asyncio.Event()

    def _show(self, identity, value, version):
        table, part, key = identity
        return {
            "table": table, "part": part, "key": key, "value": value, "ver": version,
        }

    def _stamp(self, content):
        elapsed = time.monotonic() - self._clock
        return {**content, "ver": self.version, "now_ms": 50_000 + int(elapsed * 1000)}

    async def _serve(self, reader, writer):
        with contextlib.suppress(
            ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError
        ):
            while (message := await read_message(reader)) is not None:
                line, _, body = message
                method, target, _ = line.split(" ", 2)
                path, _, query = target.partition("?")
                values = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
                self.calls.append((time.monotonic(), path, values))
                if delay := self.delay(path):
                    await asyncio.sleep(delay)
                status, content = await self._answer(method, path, values, body)
                text = json.dumps(content).encode()
                writer.write(
                    b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
                    b"Content-Length: %d\r\n\r\n%b" % (status, len(text), text)
                )
                await writer.drain()
        writer.close()

    async def _answer(self, method, path, values, body):
        await asyncio.sleep(0.004)
        if path == "/api/rows-tx":
            return self._transact(json.loads(body))
        if path == "/api/rows-get":
            return 200, self._read(values)
        if path == "/api/rows-feed":
            return await self._feed(values)
        return 404, {}

    def _transact(self, call):
        failed = False
        for each in call.get("expect", []):
            identity = (each["table"], each["part"], each["key"])
            if self.rows.get(identity, (None, 0))[1] != each["ver"]:
                failed = True
        if failed:
            shown = []
            for each in call["expect"]:
                identity = (each["table"], each["part"], each["key"])
                if identity in self.rows:
                    shown.append(self._show(identity, *self.rows[identity]))
            return 412, self._stamp({"rows": shown})
        entries = [
            ("put", each["table"], each["part"], each["key"], each["value"])
            for each in call.get("puts", [])
        ]
        entries += [
            ("remove", each["table"], each["part"], each["key"], None)
            for each in call.get("remove", [])
        ]
        if any(each[1] in ("op", "servers") for each in entries):
            return 403, {}
        self._apply(entries)
        return 200, self._stamp({})

    def _read(self, values):
        first, last = values.get("from", ""), values.get("to", "")
        limit = min(500, int(values.get("limit", 500)))
        found = sorted(
            identity
            for identity in self.rows
            if identity[0] == values["table"]
            and identity[1] == values.get("part", "")
            and identity[2].encode() >= first.encode()
            and (not last or identity[2].encode() < last.encode())
        )
        shown = [self._show(each, *self.rows[each]) for each in found[:limit]]
        return self._stamp({"rows": shown, "has_more": len(found) > limit})

    async def _feed(self, values):
        after = int(values["start_after"])
        until = time.monotonic() + min(30_000, int(values.get("wait_ms", 0))) / 1000
        while True:
            oldest = time.monotonic() - HISTORY_SECONDS
            while self.changes and self.changes[0][1] < oldest:
                self._forgotten = self.changes.pop(0)[0]
            if after < getattr(self, "_forgotten", 0):
                return 410, {}
            shown = []
            for version, _, identity, value in self.changes:
                if version > after and identity[0] == values["table"]:
                    row = self._show(identity, value or "", version)
                    if value is None:
                        row["removed"] = True
                    shown.append(row)
            if shown or time.monotonic() >= until:
                content = {"rows": shown[:500], "has_more": len(shown) > 500}
                return 200, self._stamp(content)
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(
                    self._changed.wait(), max(0.001, until - time.monotonic())
                )


def encode(content):
    return base64.b64encode(json.dumps(content).encode()).decode()


class Runner:
    """A runner process, its entry in the store, and its restart after a crash."""

    def __init__(self, fleet, service, host, number, slots, options):
        self.fleet, self.service, self.slots = fleet, service, slots
        self.number, self.options = number, options
        self.address = f"{host}:{find_port(host)}"
        self.crashes = 0
        self.down_seconds = 3.0
        self._process = None
        self._sequence = 0

    async def run(self):
        """Start the process, keep its entry, and start it again after a crash."""
        while not self.fleet.is_over:
            name = f"i-{self.number}-{random.getrandbits(32):08x}"
            born = int(time.time() * 1000)
            self._process = await asyncio.create_subprocess_exec(
                sys.executable,
                os.path.join(os.path.dirname(__file__), "runner.py"),
                self.address,
                name,
                json.dumps(self.options),
                stdout=asyncio.subprocess.PIPE,
            )
            self.fleet.processes.append(self._process)
            line = (await self._process.stdout.readline()).decode().strip()
            self.fleet.record.write(f"runner {name} at {self.address}: {line}")
            self._register(name, born)
            async for text in self._process.stdout:
                self.fleet.handle_runner(name, text.decode().strip())
            await self._process.wait()
            if self.fleet.is_over:
                return
            self.crashes += 1
            self.fleet.record.write(f"runner {name} has crashed")
            # The entry expires after three heartbeats of silence.
            asyncio.get_running_loop().call_later(
                3 * HEARTBEAT_MS / 1000, self.fleet.store.remove, "servers", "", name
            )
            await asyncio.sleep(self.down_seconds)

    def crash(self):
        """Kill the process."""
        with contextlib.suppress(ProcessLookupError):
            self._process.kill()

    def _register(self, name, born):
        self.fleet.store.put(
            "servers",
            "",
            name,
            encode(
                {
                    "service": self.service,
                    "address": self.address,
                    "zone": "zone-a",
                    "version": "v1",
                    "slots": self.slots,
                    "state": "ready",
                    "cold_left_ms": 0,
                    "sequence": 1,
                    "born": born,
                }
            ),
        )


def find_port(host):
    with socket.socket() as sock:
        sock.bind((host, 0))
        return sock.getsockname()[1]


class Fleet:
    """A small deployment: daemons, runners, the store."""

    def __init__(self, record):
        self.record = record
        self.store = Store()
        self.processes = []
        self.daemons = []
        self.runners = []
        self.tasks = []
        self.runs = []
        self.is_over = False
        self.network = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
        self.folder = tempfile.mkdtemp(prefix="review-")

    def handle_runner(self, name, text):
        """Note a line of a runner: what it runs, ends or refuses."""
        self.record.write(f"runner {name} {text}")
        self.runs.append((self.record.now(), name, text))

    async def start(self, daemons, configuration, runners):
        """Start everything; `runners` has (service, count, slots, options) entries."""
        await self.store.start(f"{self.network}.250")
        self.store.put("op", "", "config", encode(configuration))
        number = 0
        for service, count, slots, options in runners:
            for _ in range(count):
                number += 1
                runner = Runner(
                    self, service, f"{self.network}.{100 + number}", number, slots,
                    options,
                )
                self.runners.append(runner)
                self.tasks.append(asyncio.create_task(runner.run()))
        for index in range(daemons):
            self.daemons.append(Daemon(self, index + 1))
            self.daemons[-1].start()
        for daemon in self.daemons:
            await daemon.wait_until_ready()

    async def stop(self):
        """End all processes that were started."""
        self.is_over = True
        for task in self.tasks:
            task.cancel()
        for daemon in self.daemons:
            daemon.kill(signal.SIGCONT)
            daemon.kill(signal.SIGKILL)
            daemon.wait()
        for process in self.processes:
            with contextlib.suppress(ProcessLookupError):
                process.kill()
            await process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)


class Daemon:
    """A process of the project, started with the command of its deploy file."""

    def __init__(self, fleet, number):
        self.fleet, self.number = fleet, number
        self.host = f"{fleet.network}.{number}"
        self.front, self.ready, self.control = 8227, 8220, 8229
        self.process = None
        self.path = os.path.join(fleet.folder, f"boot-{number}.conf")

    def write_settings(self):
        with open(self.path, "w", encoding="utf-8") as file:
            file.write(SETTINGS.format(d=self, store=self.fleet.store.address))

    def start(self):
        self.write_settings()
        environment = {
            "PATH": os.environ["PATH"],
            "HOME": self.fleet.folder,
            "LANG": os.environ.get("LANG", "C"),
            "PYTHONPATH": os.path.join(ROOT, "target", "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "KINGCUPHEAD_CONFIG": self.path,
        }
        log = open(os.path.join(self.fleet.folder, f"log-{self.number}"), "ab")
        self.process = subprocess.Popen(
            ["python3", "-m", "kingcuphead.entry"],
            cwd=ROOT, env=environment, stdout=log, stderr=log,
        )
        log.close()
        self.fleet.record.write(f"daemon {self.number} started, {self.host}")

    def read_log(self):
        path = os.path.join(self.fleet.folder, f"log-{self.number}")
        with open(path, encoding="utf-8", errors="replace") as file:
            return file.read()

    async def wait_until_ready(self):
        for _ in range(400):
            if await self.is_ready():
                return
            await asyncio.sleep(0.05)
        raise RuntimeError(f"daemon {self.number} isn't ready")

    async def is_ready(self):
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            reader, writer = await asyncio.open_connection(self.host, self.ready)
            writer.write(b"GET /api/ready HTTP/1.1\r\nHost: x\r\n\r\n")
            line = await reader.readline()
            writer.close()
            return b" 200 " in line
        return False

    def kill(self, number):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def wait(self):
        if self.process is not None:
            self.process.wait()


async def send(daemon, path, headers, body=b"", method="POST", timeout=20.0):
    """Send one request; return the status, the headers and the body of its answer.

    The status is 0 if the connection ends before a head, or after the time-out.
    """
    head = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
    request = f"{method} {path} HTTP/1.1\r\n{head}Content-Length: {len(body)}\r\n\r\n"
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(daemon.host, daemon.front)
            writer.write(request.encode("latin1") + body)
            message = await read_message(reader)
    except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
        return 0, {}, repr(error).encode()
    finally:
        if writer is not None:
            writer.close()
    if message is None:
        return 0, {}, b""
    line, answer, content = message
    return int(line.split(" ")[1]), answer, content


async def send_stream(daemon, path, headers, body, timeout):
    """Send a request for a stream.

    Returns the status (0 without a head), the numbers of the events, and whether the
    stream is complete.
    """
    head = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
    request = f"POST {path} HTTP/1.1\r\n{head}Content-Length: {len(body)}\r\n\r\n"
    status, events, is_complete, writer = 0, [], False, None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(daemon.host, daemon.front)
            writer.write(request.encode("latin1") + body)
            text = (await reader.readuntil(b"\r\n\r\n")).decode("latin1")
            status = int(text.split(" ")[1])
            if "chunked" not in text.lower():
                return status, events, False
            while size := int((await reader.readline()).strip() or b"0", 16):
                block = await reader.readexactly(size + 2)
                for line in block.decode().split("\n"):
                    if line.startswith("id: "):
                        events.append(int(line[4:]))
            is_complete = await reader.readline() == b"\r\n"
    except (OSError, TimeoutError, ValueError, asyncio.IncompleteReadError):
        pass
    finally:
        if writer is not None:
            writer.close()
    return status, events, is_complete


SETTINGS = """node=front-{d.number}
role=entry
machine_class=front
serves=front
ip={d.host}
zone=zone-a
region=region-a
zones.zone-a=region-a
listen.front={d.host}:{d.front}
listen.ready={d.host}:{d.ready}
internal_ports=7340,7355
bootstrap=true
limits.cpu_share=0.537
limits.cores=2
limits.memory_mb=300
limits.max_fds=4100
limits.link_mbps=1000.0
limits.disk_mb=0
discovery=platform
entry=vip
heartbeat_ms=1200
contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,platform
fault_tolerance.machines=2
fault_tolerance.zones=0
fault_tolerance.regions=0
bounds.stable_window_ms=3000
bounds.ack_ms=4000
bounds.drain_ms=2000
bounds.grace_s=8
bounds.loss_slack_ms=200
bounds.config_apply_ms=2000
bounds.retry_budget_ratio=0.2
bounds.budget_window_s=10
bounds.retry_budget_burst=54
bounds.recover_s=12
bounds.pass_ms=120
bounds.settle_ms=1500
platform.address={store}
platform.form=table
platform.writes_per_s=600
platform.reads_per_s=2000
platform.tx_ms=5.0
platform.part_writes_per_s=200
platform.row_bytes=65536
platform.across=false
platform.history_s=20
"""

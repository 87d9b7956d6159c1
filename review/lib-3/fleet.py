"""What the scripts share: the platform's store, daemons, runners and clients.

Only the standard library is used. The store and the clients are in the script's
process; daemons and runners are processes of their own.
"""

import asyncio
import base64
import contextlib
import json
import os
import pathlib
import random
import signal
import socket
import sys
import tempfile
import time
import tomllib
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
FRONT, READY, CONTROL, INTERNAL = 8227, 8220, 8229, 7340
STORE_PORT, RUNNER_PORT = 8223, 8080
HEARTBEAT = 1.2
#: Seconds of silence after which the store removes a runner's entry.
EXPIRY = 3 * HEARTBEAT


def choose_network():
    """Return the first three numbers of loopback addresses that nobody uses."""
    for _ in range(100):
        net = f"127.{random.randint(20, 220)}.{random.randint(1, 250)}"
        try:
            for port in (FRONT, READY, INTERNAL, STORE_PORT, RUNNER_PORT, 9464):
                with socket.socket() as probe:
                    probe.bind((f"{net}.1", port))
        except OSError:
            continue
        return net
    raise SystemExit(2)


class Record:
    """Writes what was sent, answered and run."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.started_at = time.monotonic()

    def write(self, text):
        self.file.write(f"{time.monotonic() - self.started_at:8.3f} {text}\n")


class Store:
    """The platform's store: tables, transactions under conditions, feeds."""

    def __init__(self):
        self.rows = {}
        self.changes = []
        self.version = 0
        self.changed = asyncio.Event()

    def put(self, table, part, key, content):
        """Write a row as the operator or a runner does; None removes it."""
        value = None
        if content is not None:
            value = base64.b64encode(json.dumps(content).encode()).decode()
        self.version += 1
        self._write(table, part, key, value)
        self._notify()

    def _write(self, table, part, key, value):
        row = {"table": table, "part": part, "key": key, "ver": self.version}
        if value is None:
            if self.rows.pop((table, part, key), None) is None:
                return
            row |= {"value": "", "removed": True}
        else:
            row["value"] = value
            self.rows[table, part, key] = row
        self.changes.append(row)

    def _notify(self):
        self.changed.set()
        self.changed = asyncio.Event()

    async def start(self, host):
        self.server = await asyncio.start_server(self._serve, host, STORE_PORT)

    async def _serve(self, reader, writer):
        with contextlib.suppress(
            asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError
        ):
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
                method, target, _ = head[0].split(" ", 2)
                headers = dict(
                    (line.split(":", 1)[0].lower(), line.split(":", 1)[1].strip())
                    for line in head[1:]
                    if line
                )
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                status, reply = await self._handle(method, target, body)
                content = json.dumps(reply).encode()
                writer.write(
                    f"HTTP/1.1 {status} x\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(content)}\r\n\r\n".encode() + content
                )
                await writer.drain()
                if headers.get("connection", "").lower() == "close":
                    break
        writer.close()

    async def _handle(self, method, target, body):
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query, keep_blank_values=True))
        await asyncio.sleep(0.004)
        match url.path:
            case "/api/rows-get":
                return 200, self._state(rows=self._list(query))
            case "/api/rows-feed":
                return 200, self._state(rows=await self._follow(query))
            case "/api/rows-tx":
                return self._commit(json.loads(body))
        return 404, {}

    def _state(self, **fields):
        now_ms = int(time.monotonic() * 1000)
        return {"ver": self.version, "now_ms": now_ms, "has_more": False, **fields}

    def _list(self, query):
        scope = query["table"], query.get("part", "")
        first, end = query.get("from", ""), query.get("to", "")
        return [
            row
            for (table, part, key), row in sorted(self.rows.items())
            if (table, part) == scope and first <= key and (not end or key < end)
        ]

    async def _follow(self, query):
        after, table = int(query["start_after"]), query["table"]
        deadline = time.monotonic() + int(query.get("wait_ms", 0)) / 1000
        while True:
            changed = self.changed
            rows = [
                row
                for row in self.changes
                if row["table"] == table and row["ver"] > after
            ]
            remaining = deadline - time.monotonic()
            if rows or remaining <= 0:
                return rows
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(changed.wait(), remaining)

    def _commit(self, call):
        absent = {"ver": 0}
        current = [
            self.rows.get((row["table"], row["part"], row["key"]), absent)
            for row in call["expect"]
        ]
        expected = [row["ver"] for row in call["expect"]]
        if [row["ver"] for row in current] != expected:
            return 412, self._state(rows=[row for row in current if row["ver"]])
        self.version += 1
        for row in call["puts"]:
            self._write(row["table"], row["part"], row["key"], row["value"])
        for row in call["remove"]:
            self._write(row["table"], row["part"], row["key"], None)
        self._notify()
        return 200, self._state()


class Runner:
    """A runner's process and its entry in the store."""

    def __init__(self, fleet, service, number, options):
        self.fleet, self.service, self.options = fleet, service, options
        self.host = f"{fleet.net}.{100 + number}"
        self.starts = 0
        self.process = None

    async def start(self):
        self.starts += 1
        self.id = f"i-{self.host.rsplit('.', 1)[1]}{self.starts:04d}"
        command = [sys.executable, str(ROOT / "review/lib-3/runner.py")]
        command += ["--id", self.id, "--host", self.host, "--port", str(RUNNER_PORT)]
        self.process = await asyncio.create_subprocess_exec(
            *command, *self.options, stdin=-1, stdout=-1, limit=1 << 20
        )
        self.entry = {
            "service": self.service,
            "address": f"{self.host}:{RUNNER_PORT}",
            "zone": "rabat-a",
            "version": "v1",
            "slots": 64,
            "state": "ready",
            "cold_left_ms": 0,
            "sequence": 0,
            "born": int(time.time() * 1000),
        }
        self.tasks = [
            asyncio.create_task(self._read(self.process, self.id)),
            asyncio.create_task(self._beat(self.process, self.id, self.entry)),
        ]

    async def _read(self, process, own_id):
        while line := await process.stdout.readline():
            said = json.loads(line)
            self.fleet.record.write(f"runner {own_id} {line.decode().strip()}")
            self.fleet.runs.append(said)

    async def _beat(self, process, own_id, entry):
        written_at = 0.0
        while process.returncode is None:
            entry["sequence"] += 1
            self.fleet.store.put("servers", "", own_id, entry)
            written_at = time.monotonic()
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(process.wait(), HEARTBEAT)
        await asyncio.sleep(max(0, written_at + EXPIRY - time.monotonic()))
        self.fleet.store.put("servers", "", own_id, None)

    def kill(self):
        """End the process as a crash does; it says nothing."""
        self.fleet.record.write(f"runner {self.id} is killed")
        self.process.send_signal(signal.SIGKILL)


class Daemon:
    """A daemon's process, started by the command of the deploy file."""

    def __init__(self, fleet, number):
        self.fleet, self.number = fleet, number
        self.host = f"{fleet.net}.{10 + number}"
        self.process = None

    async def start(self):
        fleet = self.fleet
        settings = fleet.folder / f"boot-{self.number}.conf"
        settings.write_text(fleet.make_settings(self.number, self.host))
        with open(ROOT / "deploy/system.toml", "rb") as file:
            command = tomllib.load(file)["roles"]["entry"]["run"].split(" ")
        kept = {name: os.environ[name] for name in ("PATH", "HOME", "LANG")
                if name in os.environ}
        env = kept | {
            "KINGCUPHEAD_CONFIG": str(settings),
            "PYTHONPATH": str(ROOT / "target/deps"),
        }
        with open(fleet.folder / f"daemon-{self.number}.log", "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *command, cwd=ROOT, env=env, stdout=log, stderr=log
            )
        fleet.record.write(f"daemon {self.number} starts")

    @property
    def runs(self):
        return self.process is not None and self.process.returncode is None

    def kill(self):
        self.fleet.record.write(f"daemon {self.number} is killed")
        self.process.send_signal(signal.SIGKILL)

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(self.host, READY)
            writer.write(b"GET /api/ready HTTP/1.1\r\nHost: r\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 1)
            writer.close()
        except (OSError, TimeoutError):
            return False
        return b" 200 " in line


class Fleet:
    """A small deployment on loopback addresses."""

    def __init__(self, folder, daemons):
        self.net = choose_network()
        self.record = Record(pathlib.Path(folder) / "record.txt")
        self.temporary = tempfile.TemporaryDirectory()
        self.folder = pathlib.Path(self.temporary.name)
        self.store = Store()
        self.daemons = [Daemon(self, number + 1) for number in range(daemons)]
        self.runners = []
        self.runs = []
        self.configuration = {}
        self.sent = 0

    def make_settings(self, number, ip):
        zone = ("rabat-a", "rabat-b", "kenitra-c")[number % 3]
        lines = {
            "node": f"front-{zone}-{number}",
            "role": "entry",
            "machine_class": "front",
            "serves": "front",
            "ip": ip,
            "zone": zone,
            "region": "maghreb-north",
            "listen.front": f"{ip}:{FRONT}",
            "listen.ready": f"{ip}:{READY}",
            "listen.control": f"{ip}:{CONTROL}",
            "internal_ports": f"{INTERNAL},{INTERNAL + 15}",
            "bootstrap": "true",
            "limits.cpu_share": "0.537",
            "limits.cores": "2",
            "limits.memory_mb": "300",
            "limits.max_fds": "4100",
            "limits.link_mbps": "1000.0",
            "discovery": "platform",
            "entry": "vip",
            "heartbeat_ms": "1200",
            "contracts": "base,drain,config,cost,retry,recover,engine,stream,tenants,"
            "platform",
            "bounds.stable_window_ms": "3000",
            "bounds.drain_ms": "2000",
            "bounds.grace_s": "8",
            "bounds.config_apply_ms": "2000",
            "bounds.retry_budget_ratio": "0.2",
            "bounds.budget_window_s": "10",
            "bounds.retry_budget_burst": "54",
            "bounds.settle_ms": "1500",
            "platform.address": f"{self.net}.2:{STORE_PORT}",
            "platform.form": "table",
        }
        return "".join(f"{name}={value}\n" for name, value in lines.items())

    async def start(self):
        await self.store.start(f"{self.net}.2")
        self.apply(self.configuration)
        for runner in self.runners:
            await runner.start()
        for daemon in self.daemons:
            await daemon.start()
        deadline = time.monotonic() + 20
        while time.monotonic() < deadline:
            if all([await daemon.is_ready() for daemon in self.daemons]):
                await asyncio.sleep(1.0)
                return
            await asyncio.sleep(0.2)
        raise CannotRun("the daemons don't get ready")

    def apply(self, configuration):
        """Write a configuration as the operator does; the store's reply is its ack."""
        self.configuration = configuration
        self.store.put("op", "", "config", configuration)
        self.record.write(f"configuration {configuration['version']} acknowledged")

    async def stop(self):
        for each in (*self.daemons, *self.runners):
            if each.process is not None and each.process.returncode is None:
                each.process.send_signal(signal.SIGKILL)
                await each.process.wait()
        self.record.file.close()
        self.temporary.cleanup()

    def make_request_id(self):
        self.sent += 1
        return f"{random.getrandbits(32):08x}{self.sent:08x}"

    async def send(self, daemon, method, path, headers, body=b"", patience=15.0):
        """Send one request on a connection of its own; return what the client gets."""
        request_id = self.make_request_id()
        answer = Answer(request_id)
        fields = {"Host": "desk.example", "Attempt-Id": request_id}
        fields |= {"Deadline-Ms": str(int(patience * 1000)), **headers}
        if body or method == "POST":
            fields["Content-Length"] = str(len(body))
        lines = [f"{method} {path} HTTP/1.1", *(f"{k}: {v}" for k, v in fields.items())]
        self.record.write(f"client sends {request_id} {method} {path} to {daemon.number}")
        writer = None
        try:
            async with asyncio.timeout(patience):
                reader, writer = await asyncio.open_connection(daemon.host, FRONT)
                writer.write("\r\n".join([*lines, "", ""]).encode() + body)
                await answer.read(reader)
        except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            if writer is not None:
                writer.close()
        self.record.write(f"client gets {answer.describe()}")
        return answer


class CannotRun(Exception):
    """The case can't be shown here."""


class Answer:
    """What a client got."""

    def __init__(self, request_id):
        self.request_id = request_id
        self.status = 0
        self.headers = {}
        self.body = bytearray()
        self.is_complete = False

    async def read(self, reader, has_body=True):
        self.status = int((await reader.readuntil(b"\r\n")).split()[1])
        while (line := await reader.readuntil(b"\r\n")) != b"\r\n":
            name, _, value = line.decode("latin1").partition(":")
            self.headers[name.lower()] = value.strip()
        if not has_body:
            self.is_complete = True
            return
        if self.headers.get("transfer-encoding", "").lower() == "chunked":
            while size := int(await reader.readuntil(b"\r\n"), 16):
                self.body += (await reader.readexactly(size + 2))[:size]
            await reader.readuntil(b"\r\n")
        else:
            length = int(self.headers["content-length"])
            self.body += await reader.readexactly(length)
        self.is_complete = True

    @property
    def is_success(self):
        return self.status == 200 and self.is_complete

    @property
    def event_ids(self):
        lines = bytes(self.body).split(b"\n")
        return [int(line[4:]) for line in lines if line.startswith(b"id: ")]

    def describe(self):
        whole = "whole" if self.is_complete else "cut"
        return f"{self.request_id} {self.status} {whole} {len(self.body)} bytes"


def run_case(case):
    """Run a case and exit: 1 if the rule was broken, 0 if it held, 2 if it couldn't."""
    folder = pathlib.Path(sys.argv[0]).resolve().parent

    async def play():
        task = asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        return await case(folder)

    try:
        is_broken = asyncio.run(play())
    except (CannotRun, asyncio.CancelledError, OSError) as error:
        print(f"the case can't run: {error!r}")
        sys.exit(2)
    print("the rule is broken" if is_broken else "the rule holds")
    sys.exit(1 if is_broken else 0)

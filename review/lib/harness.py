"""Stand-ins and process control for the scripts of the review; standard library only.

A fleet here is a few entry daemons on loopback addresses, started with the `run` command
of `deploy/system.toml`, a stand-in for the platform's store, and runners. They follow
`PROTOCOL.md` and `DEPLOY.md`; where these are silent, they behave as sound ones do.
"""

import asyncio
import base64
import json
import os
import pathlib
import random
import shlex
import signal
import sys
import tempfile
import time
import tomllib
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = "desk.example"
KEY = "key-of-tenant-a"
TENANT = "tenant-a"


class Record:
    """Writes `record.txt`: what was sent, answered and run."""

    def __init__(self, folder: pathlib.Path) -> None:
        self._file = (folder / "record.txt").open("w")
        self._began = time.monotonic()

    def write(self, text: str) -> None:
        """Write one line with the seconds since the start."""
        print(
            f"{time.monotonic() - self._began:8.3f} {text}", file=self._file, flush=True
        )


class Store:
    """The platform's store: tables of rows, transactions and a feed of changes."""

    def __init__(self, ip: str, record: Record) -> None:
        self.ip = ip
        self.port = 0
        self.rows: dict[tuple[str, str, str], tuple[int, bytes]] = {}
        self.version = 0
        self.history: list[tuple[int, str, str, str, bytes | None]] = []
        self._record = record
        self._changed = asyncio.Event()
        self._began = time.monotonic() - 1000.0
        #: Called with each call; a false result means that the call gets no answer.
        self.delay = 0.004

    async def start(self) -> None:
        server = await asyncio.start_server(self._serve, self.ip, 0, backlog=512)
        self.port = server.sockets[0].getsockname()[1]

    def put(self, table: str, key: str, value: object, part: str = "") -> None:
        """Write a row as the operator or a runner does."""
        self._apply([(table, part, key, json.dumps(value).encode())])

    def remove(self, table: str, key: str, part: str = "") -> None:
        self._apply([(table, part, key, None)])

    def _apply(self, changes) -> None:
        self.version += 1
        for table, part, key, value in changes:
            if value is None:
                self.rows.pop((table, part, key), None)
            else:
                self.rows[table, part, key] = (self.version, value)
            self.history.append((self.version, table, part, key, value))
        self._changed.set()
        self._changed = asyncio.Event()

    def _now(self) -> int:
        return int((time.monotonic() - self._began) * 1000)

    async def _serve(self, reader, writer) -> None:
        try:
            while True:
                request = await read_message(reader)
                if request is None:
                    return
                line, _, body = request
                method, target, _ = line.split(" ", 2)
                url = urllib.parse.urlsplit(target)
                query = dict(urllib.parse.parse_qsl(url.query))
                await asyncio.sleep(self.delay)
                status, reply = await self._answer(method, url.path, query, body)
                content = json.dumps(reply).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(content)}\r\n\r\n".encode()
                    + content
                )
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _answer(self, method, path, query, body):
        state = {"now_ms": self._now()}
        if path == "/api/rows-tx":
            return self._transact(json.loads(body))
        if path == "/api/rows-get":
            begin, end = query.get("from", ""), query.get("to")
            rows = [
                self._row(each)
                for each in sorted(self.rows)
                if each[0] == query["table"]
                and each[1] == query.get("part", "")
                and each[2] >= begin
                and (end is None or each[2] < end)
            ]
            return 200, state | {"rows": rows, "has_more": False, "ver": self.version}
        if path == "/api/rows-feed":
            after = int(query["start_after"])
            end = time.monotonic() + int(query.get("wait_ms", "0")) / 1000
            while True:
                found = [
                    each
                    for each in self.history
                    if each[0] > after and each[1] == query["table"]
                ]
                left = end - time.monotonic()
                if found or left <= 0:
                    break
                try:
                    await asyncio.wait_for(self._changed.wait(), left)
                except TimeoutError:
                    pass
            rows = [
                {"table": t, "part": p, "key": k, "ver": v}
                | (
                    {"removed": True}
                    if c is None
                    else {"value": base64.b64encode(c).decode()}
                )
                for v, t, p, k, c in found
            ]
            return 200, {
                "now_ms": self._now(),
                "rows": rows,
                "ver": self.version,
                "has_more": False,
            }
        return 404, state

    def _row(self, name):
        version, value = self.rows[name]
        table, part, key = name
        return {
            "table": table,
            "part": part,
            "key": key,
            "ver": version,
            "value": base64.b64encode(value).decode(),
        }

    def _transact(self, call):
        def name(each):
            return each["table"], each.get("part", ""), each["key"]

        expected = [(name(each), each["ver"]) for each in call.get("expect", [])]
        state = {"ver": self.version, "now_ms": self._now()}
        if any(self.rows.get(n, (0, b""))[0] != v for n, v in expected):
            rows = [self._row(n) for n, _ in expected if n in self.rows]
            return 412, state | {"rows": rows}
        puts = [(*name(e), base64.b64decode(e["value"])) for e in call.get("puts", [])]
        drops = [(*name(each), None) for each in call.get("remove", [])]
        self._apply(puts + drops)
        return 200, {"ver": self.version, "now_ms": self._now()}


async def read_message(reader):
    """Read a request or an answer; None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError:
        return None
    line, *fields = head.decode("latin1").split("\r\n")[:-2]
    headers = {}
    for field in fields:
        key, _, value = field.partition(":")
        headers[key.strip().lower()] = value.strip()
    body = b""
    if "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    elif headers.get("transfer-encoding") == "chunked":
        while True:
            size = int(await reader.readline(), 16)
            body += await reader.readexactly(size)
            await reader.readexactly(2)
            if not size:
                break
    return line, headers, body


class Daemons:
    """Starts daemons with the command of the deploy file, and ends them."""

    def __init__(self, store: Store, record: Record, **extra: object) -> None:
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        role = next(iter(deploy["roles"].values()))
        self._command = shlex.split(role["run"])
        self._store = store
        self._record = record
        self._extra = extra
        self.folder = tempfile.TemporaryDirectory()
        self.processes: dict[str, asyncio.subprocess.Process] = {}
        self.ports: dict[str, int] = {}

    async def start(self, ip: str, port: int = 8227, wait: bool = True) -> None:
        path = pathlib.Path(self.folder.name) / f"{ip}.conf"
        settings = {
            "node": f"front-{ip}",
            "role": "entry",
            "machine_class": "front",
            "serves": "front",
            "ip": ip,
            "zone": "zone-a",
            "region": "region-a",
            "zones.zone-a": "region-a",
            "listen.front": f"{ip}:{port}",
            "listen.ready": f"{ip}:{port + 1}",
            "internal_ports": f"{port + 10},{port + 20}",
            "bootstrap": "false",
            "limits.cpu_share": "0.537",
            "limits.cores": "2",
            "limits.memory_mb": "300",
            "limits.max_fds": "4200",
            "limits.link_mbps": "1000.0",
            "discovery": "platform",
            "entry": "vip",
            "heartbeat_ms": "1200",
            "contracts": "base,drain,config,cost,retry,recover,engine,stream,tenants,platform",
            "bounds.stable_window_ms": "3000",
            "bounds.drain_ms": "2000",
            "bounds.grace_s": "8",
            "bounds.retry_budget_ratio": "0.2",
            "bounds.budget_window_s": "10",
            "bounds.retry_budget_burst": "52",
            "platform.address": f"{self._store.ip}:{self._store.port}",
            "platform.form": "table",
            "platform.writes_per_s": "600",
            "platform.reads_per_s": "2000",
        } | self._extra
        path.write_text("".join(f"{k}={v}\n" for k, v in settings.items()))
        names = ("PATH", "HOME", "LANG")
        environment = {n: os.environ[n] for n in names if n in os.environ}
        environment |= {
            "KINGCUPHEAD_CONFIG": str(path),
            "PYTHONPATH": str(ROOT / "target/deps"),
        }
        log = (pathlib.Path(self.folder.name) / f"{ip}.log").open("ab")
        process = await asyncio.create_subprocess_exec(
            *self._command, cwd=ROOT, env=environment, stdout=log, stderr=log
        )
        log.close()
        self.processes[ip] = process
        self.ports[ip] = port
        self._record.write(f"daemon {ip} started, process {process.pid}")
        if wait:
            await self.wait_ready(ip)

    async def wait_ready(self, ip: str, timeout: float = 20.0) -> None:
        end = time.monotonic() + timeout
        while time.monotonic() < end:
            if await self.is_ready(ip):
                self._record.write(f"daemon {ip} is ready")
                return
            await asyncio.sleep(0.1)
        raise CannotRun(f"daemon {ip} isn't ready: {self.read_log(ip)[-500:]}")

    async def is_ready(self, ip: str) -> bool:
        """Ask as the platform does."""
        try:
            answer = await asyncio.wait_for(
                fetch(ip, self.ports[ip] + 1, "GET", "/api/ready", {}), 1.0
            )
        except (OSError, TimeoutError):
            return False
        return answer.status == 200

    def signal(self, ip: str, number: int) -> None:
        self._record.write(f"daemon {ip} gets {signal.Signals(number).name}")
        self.processes[ip].send_signal(number)

    def read_log(self, ip: str) -> str:
        path = pathlib.Path(self.folder.name) / f"{ip}.log"
        return path.read_text() if path.exists() else ""

    async def close(self) -> None:
        for process in self.processes.values():
            if process.returncode is None:
                process.kill()
                await process.wait()
        if os.environ.get("KEEP_LOGS"):
            for ip in self.processes:
                print(self.read_log(ip))
        self.folder.cleanup()


class CannotRun(Exception):
    """The case couldn't run."""


class Answer:
    """An answer as the client sees it."""

    def __init__(self) -> None:
        self.status = 0
        self.headers: dict[str, str] = {}
        self.body = b""
        self.is_complete = False
        self.error = ""

    def __str__(self) -> str:
        end = "complete" if self.is_complete else f"broken off {self.error}"
        return f"{self.status} {len(self.body)} bytes {end}"


async def fetch(ip, port, method, path, headers, body=b"", on_data=None) -> Answer:
    """Send a request on a new connection and read its answer."""
    reader, writer = await asyncio.open_connection(ip, port)
    answer = Answer()
    try:
        await exchange(reader, writer, answer, method, path, headers, body, on_data)
    except (ConnectionError, asyncio.IncompleteReadError, ValueError) as error:
        answer.error = type(error).__name__
    finally:
        writer.close()
    return answer


async def exchange(
    reader, writer, answer, method, path, headers, body=b"", on_data=None
):
    """Send a request on a connection and read its answer."""
    fields = {"Host": HOST} | headers
    if body or method == "POST":
        fields["Content-Length"] = str(len(body))
    head = f"{method} {path} HTTP/1.1\r\n"
    head += "".join(f"{k}: {v}\r\n" for k, v in fields.items())
    writer.write(head.encode() + b"\r\n" + body)
    await writer.drain()
    raw = await reader.readuntil(b"\r\n\r\n")
    line, *lines = raw.decode("latin1").split("\r\n")[:-2]
    answer.status = int(line.split(" ")[1])
    for each in lines:
        key, _, value = each.partition(":")
        answer.headers[key.lower()] = value.strip()
    if answer.headers.get("transfer-encoding") == "chunked":
        while True:
            size = int(await reader.readline(), 16)
            block = await reader.readexactly(size)
            await reader.readexactly(2)
            if not size:
                break
            answer.body += block
            if on_data is not None:
                on_data(block)
    elif "content-length" in answer.headers:
        answer.body = await reader.readexactly(int(answer.headers["content-length"]))
    else:
        answer.body = await reader.read()
    answer.is_complete = True


def new_id(rng=random) -> str:
    return f"{rng.getrandbits(64):016x}"


def run_case(main, folder) -> None:
    """Run a case; `main` returns whether the rule held."""
    record = Record(pathlib.Path(folder))
    try:
        held = asyncio.run(asyncio.wait_for(main(record), 115))
    except (CannotRun, OSError, TimeoutError) as error:
        record.write(f"couldn't run: {type(error).__name__} {error}")
        sys.exit(2)
    record.write("the rule held" if held else "THE RULE WAS BROKEN")
    sys.exit(0 if held else 1)


class Runner:
    """A runner of a plain service or a model runner; registers and beats in the store.

    Parameters
    ----------
    store
        Where it registers.
    service
        Name of its service.
    ip
        Loopback address.
    record
        Gets a line for each request that begins to run.
    """

    def __init__(self, store, service, ip, record, *, slots=64, name=None) -> None:
        self.store, self.service, self.ip, self.record = store, service, ip, record
        self.name = name or f"i-{random.getrandbits(40):010x}"
        self.slots = slots
        self.port = 0
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        #: Seconds that a plain request takes.
        self.work = 0.05
        #: Requests that began to run, as (id, headers, body).
        self.runs = []
        self.running = 0
        self._server = None
        self._beat = None
        self._writers = set()
        #: Replaces the handling of a request; gets line, headers, body, writer.
        self.handler = None

    async def start(self, port=0) -> None:
        self._server = await asyncio.start_server(
            self._serve, self.ip, port, backlog=512, limit=2**20
        )
        self.port = self._server.sockets[0].getsockname()[1]
        self._beat = asyncio.create_task(self._beat_repeatedly())

    def register(self) -> None:
        self.sequence += 1
        entry = {
            "service": self.service,
            "address": f"{self.ip}:{self.port}",
            "zone": "zone-a",
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "cold_left_ms": 0,
            "sequence": self.sequence,
            "born": self.born,
        }
        self.store.put("servers", self.name, entry)

    async def _beat_repeatedly(self) -> None:
        while True:
            self.register()
            await asyncio.sleep(1.2)

    async def crash(self) -> None:
        """End as a crashed process does: connections are reset, no farewell."""
        self._beat.cancel()
        self._server.close()
        for writer in tuple(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer) -> None:
        self._writers.add(writer)
        try:
            while True:
                request = await read_message(reader)
                if request is None:
                    return
                line, headers, body = request
                expected = headers.get("expect-instance", self.name)
                if expected != self.name:
                    await self.reply(writer, 421, b"", {"Instance-Id": self.name})
                    continue
                if " /health" in line:
                    await self.reply(writer, 200, b"", {"Instance-Id": self.name})
                    continue
                if self.handler is not None:
                    await self.handler(line, headers, body, writer)
                    continue
                if self.running >= self.slots:
                    await self.refuse(writer, headers)
                    continue
                self.begin(headers, body)
                try:
                    await asyncio.sleep(self.work)
                finally:
                    self.running -= 1
                await self.reply(writer, 200, b"x" * 800, self.make_head(headers))
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    def begin(self, headers, body) -> None:
        self.running += 1
        self.runs.append((headers.get("attempt-id", ""), headers, len(body)))
        self.record.write(
            f"runner {self.name} runs {headers.get('attempt-id')} "
            f"({len(body)} bytes, tenant {headers.get('tenant')})"
        )

    def make_head(self, headers):
        return {
            "Attempt-Id": headers.get("attempt-id", ""),
            "Response-Seal": f"seal-of-{self.name}",
        }

    async def refuse(self, writer, headers) -> None:
        head = {"Attempt-Id": headers.get("attempt-id", ""), "Not-Executed": "1"}
        await self.reply(writer, 503, b"", head)

    async def reply(self, writer, status, body, headers) -> None:
        lines = "".join(f"{k}: {v}\r\n" for k, v in headers.items())
        head = f"HTTP/1.1 {status} X\r\n{lines}Content-Length: {len(body)}\r\n\r\n"
        writer.write(head.encode() + body)
        await writer.drain()


def make_config(routes, services, *, version=1, prepaid=None, tenants=None):
    """Return a configuration; the idle time-out is that of a small deployment."""
    tenant = {"name": TENANT, "api_keys": [KEY]}
    if prepaid is not None:
        tenant["prepaid"] = prepaid
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": tenants if tenants is not None else [tenant],
    }


def make_route(name, prefix, kind, service, **fields):
    return {
        "name": name,
        "host": HOST,
        "prefix": prefix,
        "kind": kind,
        "timeout_ms": 15000,
        "target_latency_ms": 400,
        "priority": 2,
        "service": service,
        "max_attempts": 2,
        "allow_anonymous": False,
    } | fields

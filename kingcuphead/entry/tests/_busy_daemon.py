"""A daemon on an event loop of its own that callers keep busy beyond its capacity.

The store and the callers run on a second event loop, in another thread.
"""

import asyncio
import base64
import concurrent.futures
import contextlib
import json
import os
import signal
import threading
import time

from tornado.httpclient import AsyncHTTPClient
from tornado.testing import bind_unused_port

from kingcuphead.entry._daemon import EntryDaemon
from kingcuphead.entry._main import _run_daemon
from kingcuphead.entry.tests._fleet import READINESS_PORT, make_profile
from kingcuphead.forwarding import refuse
from kingcuphead.platform.tests._documents import (
    encode_configuration,
    encode_entry,
    make_caller_headers,
)
from kingcuphead.platform.tests._table_store import TableStore
from kingcuphead.verdict import Reason

#: Seconds of processor time that each request takes, as on a small share of a core.
REQUEST_SECONDS = 0.02
#: Callers that send their next request as soon as they have an answer.
CALLERS = 120
#: Seconds after which a caller whose request wasn't answered connects again.
PATIENCE = 1.0


class BusyDaemon:
    """The daemon, its store and its callers; `play` runs them.

    Parameters
    ----------
    number
        Number of the daemon, which determines its address.
    """

    def __init__(self, number=9):
        self._number = number
        #: Number of requests that callers sent.
        self.requests = 0
        #: Time at which each version of the configuration took effect.
        self.applied_at = {}
        #: Seconds that each answer took, by status.
        self.answers = {}
        #: Number of requests that the daemon served.
        self.served = 0

    def play(self, scenario):
        """Run the daemon until a scenario on the other loop ends; return its result."""
        started = threading.Event()
        executor = concurrent.futures.ThreadPoolExecutor(max_workers=1)
        result = executor.submit(
            lambda: asyncio.run(self._play_outside(scenario, started))
        )
        started.wait()
        self._daemon = EntryDaemon(make_profile(self._number, self._store_port), "")
        forwarder = vars(self._daemon._forwarder)
        apply = self._daemon._forwarder.apply

        def record(table):
            self.applied_at[table.configuration.version] = time.monotonic()
            apply(table)

        forwarder["apply"] = record
        forwarder["serve"] = self._serve
        _run_daemon(self._daemon)
        return result.result()

    async def write_version(self, version):
        """Write a version of the configuration and return the time."""
        content = json.loads(base64.b64decode(encode_configuration("safe", 2)))
        content["version"] = version
        value = base64.b64encode(json.dumps(content).encode()).decode()
        self._store.put("op", "", "config", value)
        return time.monotonic()

    async def check_readiness(self):
        """Return the seconds that the answer to a readiness check takes."""
        began_at = time.monotonic()
        url = f"http://{self._profile.ip}:{READINESS_PORT}/api/ready"
        await AsyncHTTPClient().fetch(url, raise_error=False, request_timeout=20.0)
        return time.monotonic() - began_at

    async def wait_for_version(self, version, seconds):
        """Wait until a version is in force; return False if it takes longer."""
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            if version in self.applied_at:
                return True
            await asyncio.sleep(0.02)
        return False

    async def _serve(self, request, caller):
        time.sleep(REQUEST_SECONDS)
        self.served += 1
        return refuse(503, Reason.NO_TARGET, 0.1)

    async def _play_outside(self, scenario, started):
        sock, self._store_port = bind_unused_port()
        self._profile = make_profile(self._number, self._store_port)
        self._store = TableStore()
        server = self._store.serve(sock)
        await self.write_version(1)
        self._store.put("servers", "", "t1", encode_entry("127.0.0.1:9", "v1"))
        started.set()
        callers = []
        try:
            assert await self.wait_for_version(1, 10.0)
            callers = [asyncio.create_task(self._call()) for _ in range(CALLERS)]
            return await scenario(self)
        finally:
            for caller in callers:
                caller.cancel()
            for end in await asyncio.gather(*callers, return_exceptions=True):
                assert isinstance(end, asyncio.CancelledError), end
            os.kill(os.getpid(), signal.SIGTERM)
            server.stop()

    async def _call(self):
        """Send requests one after the other, mostly on one connection."""
        endpoint = self._profile.callers
        while True:
            with contextlib.suppress(OSError, TimeoutError, EOFError):
                reader, writer = await asyncio.open_connection(
                    endpoint.host, endpoint.port
                )
                try:
                    await self._call_on(reader, writer)
                finally:
                    writer.close()
            await asyncio.sleep(0.05)

    async def _call_on(self, reader, writer):
        while True:
            self.requests += 1
            headers = make_caller_headers(f"{self.requests:016x}")
            lines = [f"{name}: {value}" for name, value in headers.items()]
            head = "\r\n".join(["GET /r/1 HTTP/1.1", *lines, "", ""])
            began_at = time.monotonic()
            writer.write(head.encode())
            async with asyncio.timeout(PATIENCE):
                answer = await reader.readuntil(b"\r\n\r\n")
                await reader.readexactly(_find_length(answer))
            status = int(answer.split()[1])
            self.answers.setdefault(status, []).append(time.monotonic() - began_at)
            if b"connection: close" in answer.lower():
                return


def _find_length(head):
    """Return the length of the body that an answer states."""
    for line in head.lower().splitlines():
        if line.startswith(b"content-length:"):
            return int(line.split(b":")[1])
    return 0

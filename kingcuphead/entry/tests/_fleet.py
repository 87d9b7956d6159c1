"""Daemons, their store and their targets in one event loop, on loopback addresses."""

import asyncio

from tornado.httpclient import AsyncHTTPClient
from tornado.testing import bind_unused_port

from kingcuphead.entry._daemon import EntryDaemon
from kingcuphead.entry.tests._target import CrashingTarget
from kingcuphead.platform import Endpoint, Profile, RetryBudget
from kingcuphead.platform.tests._documents import (
    encode_configuration,
    encode_entry,
    make_caller_headers,
)
from kingcuphead.platform.tests._table_store import TableStore

#: Port of every daemon for callers; each daemon has an address of its own.
CALLER_PORT = 21_801
READINESS_PORT = 21_802
INTERNAL_PORT = 21_803
#: Seconds after which a daemon looks for those that started after it.
PEER_POLL_INTERVAL = 0.1


def make_profile(number, store_port):
    ip = f"127.0.1.{number}"
    return Profile(
        instance=f"d{number}",
        zone="z",
        ip=ip,
        callers=Endpoint(ip, CALLER_PORT),
        readiness=Endpoint(ip, READINESS_PORT),
        internal_port=INTERNAL_PORT,
        store=Endpoint("127.0.0.1", store_port),
        max_descriptors=1_024,
        grace=1.0,
        drain=2.0,
        retries=RetryBudget(ratio=1.0, burst=1_200, window=10.0),
    )


class Fleet:
    """A fleet that serves one route.

    Parameters
    ----------
    daemons
        Number of daemons.
    targets
        Number of targets.
    kind
        Kind of the route, as the platform names it.
    max_attempts
        Number of targets that one try of a caller may reach.
    """

    def __init__(self, daemons=3, targets=6, kind="safe", max_attempts=2):
        self._daemon_count = daemons
        self._configuration = encode_configuration(kind, max_attempts)
        self._requests = 0
        self._daemons = {}
        self.store = TableStore()
        self.targets = [
            CrashingTarget(f"t{number}", self._register) for number in range(targets)
        ]

    @property
    def crashes(self):
        """How often the request that crashes targets has reached one."""
        return sum(target.crashes for target in self.targets)

    async def __aenter__(self):
        sock, self._store_port = bind_unused_port()
        self._server = self.store.serve(sock)
        self.store.put("op", "", "config", self._configuration)
        for target in self.targets:
            await target.start()
        await self.start_daemons()
        return self

    async def __aexit__(self, *error):
        await self.kill_daemons()
        for target in self.targets:
            target.stop()
        self._server.stop()
        await self._server.close_all_connections()

    async def start_daemons(self):
        """Start all daemons and wait until each of them serves."""
        for number in range(1, self._daemon_count + 1):
            daemon = EntryDaemon(make_profile(number, self._store_port), "")
            daemon._links._peers._poll_interval = PEER_POLL_INTERVAL
            self._daemons[number] = (daemon, asyncio.create_task(daemon.run()))
        for number in self._daemons:
            while await self.send(number, b"probe") != 200:
                await asyncio.sleep(0.05)

    async def kill_daemons(self):
        """End all daemons without a shutdown: nothing in their memory is passed on."""
        for daemon, task in self._daemons.values():
            # A daemon that fails skips the steps of a graceful shutdown.
            daemon._failure = RuntimeError("killed by the test")
            daemon._stop.set()
            await task
        self._daemons.clear()

    async def send(self, number, body):
        """Send a request with an id of its own to a daemon.

        Returns the status of the answer, or 0 if the daemon sent none.
        """
        self._requests += 1
        headers = make_caller_headers(f"{self._requests:016x}")
        url = f"http://127.0.1.{number}:{CALLER_PORT}/r/1"
        try:
            answer = await AsyncHTTPClient().fetch(
                url, method="POST", headers=headers, body=body, raise_error=False
            )
        except OSError:
            # The daemon does not listen yet, or closed the connection.
            return 0
        return answer.code

    def _register(self, name, address):
        entry = None if address is None else encode_entry(address)
        self.store.put("servers", "", name, entry)

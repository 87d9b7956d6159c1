"""Daemons, their store and their targets in one event loop, on loopback addresses."""

import asyncio
import contextlib
import contextvars
import dataclasses
import os

from tornado.httpclient import AsyncHTTPClient, HTTPClientError
from tornado.testing import bind_unused_port

from kingcuphead.entry._daemon import EntryDaemon
from kingcuphead.entry.tests._cut import current_daemon
from kingcuphead.entry.tests._target import STREAM_EVENTS
from kingcuphead.platform import Endpoint, Profile, RetryBudget
from kingcuphead.platform.tests._documents import (
    encode_configuration,
    encode_entry,
    make_caller_headers,
)
from kingcuphead.platform.tests._table_store import TableStore

#: Requests of callers that may be open at once.
MAX_OPEN_REQUESTS = 400
AsyncHTTPClient.configure(None, max_clients=MAX_OPEN_REQUESTS)

#: Loopback network of this process, so that two test runs don't meet.
NETWORK = f"127.{16 + os.getpid() % 200}.{os.getpid() // 200 % 250}"
#: Port of every daemon for callers; each daemon has an address of its own.
CALLER_PORT = 21_801
READINESS_PORT = 21_802
INTERNAL_PORT = 21_803
#: Seconds after which a daemon looks for those that started after it.
PEER_POLL_INTERVAL = 0.1


def make_profile(number, store_port):
    ip = f"{NETWORK}.{number}"
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


@dataclasses.dataclass(frozen=True)
class StreamPart:
    """What a caller got of a stream in one try."""

    #: Id of the try.
    request_id: str
    #: HTTP status; 0 without an answer.
    status: int
    #: Ids of the events.
    event_ids: tuple[int, ...] = ()
    #: Versions of the targets that made the events.
    versions: tuple[str, ...] = ()

    @property
    def is_whole(self):
        """Whether the caller got each event of the stream."""
        return self.status == 200 and len(self.event_ids) == STREAM_EVENTS


class Fleet:
    """A fleet that serves one route.

    Parameters
    ----------
    make_targets
        Returns the targets; called with their `register` function.
    kind
        Kind of the route, as the platform names it.
    is_resumable
        Whether streams of the route may be resumed.
    slots
        Requests that each target runs at once, as its entry says.
    """

    #: Number of daemons.
    SIZE = 3

    def __init__(self, make_targets, kind="safe", is_resumable=False, slots=8):
        self._configuration = encode_configuration(kind, 2, is_resumable)
        self._slots = slots
        self._requests = 0
        self.daemons = {}
        self.store = TableStore()
        self.targets = make_targets(self._register)

    @property
    def crashes(self):
        """How often targets have crashed."""
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

    async def start_daemons(self, numbers=(1, 2, 3)):
        """Start daemons and wait until each of them serves."""
        self.begin_start(numbers)
        for number in numbers:
            while await self.send(number, b"probe") != 200:
                await asyncio.sleep(0.05)

    def begin_start(self, numbers=(1, 2, 3)):
        """Start daemons; callers come before they serve."""
        for number in numbers:
            self._start_daemon(number)

    async def kill_daemons(self, numbers=(1, 2, 3)):
        """End daemons without a shutdown: nothing in their memory is passed on."""
        for number in numbers:
            if number not in self.daemons:
                continue
            _, task = self.daemons.pop(number)
            # A daemon whose run is cancelled skips the steps of a graceful shutdown.
            task.cancel()
            await asyncio.wait((task,))

    async def stop_daemon(self, number):
        """Shut a daemon down gracefully."""
        daemon, task = self.daemons.pop(number)
        daemon.stop()
        await task

    def cut_datagrams(self):
        """Lose all datagrams of the daemons that run now."""
        for daemon, _ in self.daemons.values():
            daemon._links._datagrams._handle_message = _lose

    async def send(self, number, body, patience=20.0, request_id=None, lines=None):
        """Send a request to a daemon, with an id of its own unless one is given.

        Returns the status of the answer, or 0 if the daemon sent none. The caller
        leaves after `patience` seconds. `lines` are more headers.
        """
        headers = make_caller_headers(request_id or self._make_request_id())
        headers |= lines or {}
        url = f"http://{NETWORK}.{number}:{CALLER_PORT}/r/1"
        try:
            answer = await AsyncHTTPClient().fetch(
                url,
                method="POST",
                headers=headers,
                body=body,
                raise_error=False,
                request_timeout=patience,
            )
        except (OSError, HTTPClientError):
            # The daemon does not listen yet or closed the connection, or the caller
            # has left.
            return 0
        return answer.code

    async def read_stream(
        self,
        number,
        count=STREAM_EVENTS,
        resumed=None,
        last=0,
        parts=(),
        is_named=True,
    ):
        """Read a stream from a daemon and leave after some events.

        Parameters
        ----------
        number
            Number of the daemon.
        count
            Number of events after which the caller leaves.
        resumed
            Id of the try that began the stream; None to begin one.
        last
            Id of the last event that the caller has.
        parts
            Names of the parts of the prompt.
        is_named
            Whether the caller names the try that began the stream.
        """
        request_id = self._make_request_id()
        headers = make_caller_headers(request_id, resumed or "", last, parts)
        if not is_named:
            headers.pop("Resumes", None)
        # All tries of one stream have the same path.
        start_line = f"POST /r/{resumed or request_id} HTTP/1.1"
        lines = [start_line, *(f"{k}: {v}" for k, v in headers.items())]
        reader, writer = await asyncio.open_connection(
            f"{NETWORK}.{number}", CALLER_PORT
        )
        writer.write("\r\n".join([*lines, "Content-Length: 0", "", ""]).encode())
        try:
            return await _read_part(reader, request_id, count)
        finally:
            writer.close()

    async def read_bytes(self, number, version="HTTP/1.1", lines=()):
        """Read all bytes that a daemon sends in answer to a request.

        Returns them, and whether the daemon reset the connection rather than ended it.

        Parameters
        ----------
        number
            Number of the daemon.
        version
            Version of HTTP that the caller speaks.
        lines
            More lines of the head.
        """
        headers = make_caller_headers(self._make_request_id())
        fields = (f"{name}: {value}" for name, value in headers.items())
        head = [f"POST /r/1 {version}", *fields, *lines, "Content-Length: 0", "", ""]
        reader, writer = await asyncio.open_connection(
            f"{NETWORK}.{number}", CALLER_PORT
        )
        received = bytearray()
        is_reset = False
        try:
            writer.write("\r\n".join(head).encode())
            while block := await reader.read(65_536):
                received += block
        except ConnectionResetError:
            is_reset = True
        finally:
            writer.close()
        return bytes(received), is_reset

    def _make_request_id(self):
        self._requests += 1
        return f"{self._requests:016x}"

    def _start_daemon(self, number):
        daemon = EntryDaemon(make_profile(number, self._store_port), "")
        daemon._links._peers._poll_interval = PEER_POLL_INTERVAL
        context = contextvars.copy_context()
        context.run(current_daemon.set, number)
        task = asyncio.create_task(daemon.run(), context=context)
        self.daemons[number] = (daemon, task)

    def _register(self, name, address, version):
        entry = None
        if address is not None:
            entry = encode_entry(address, version, self._slots)
        self.store.put("servers", "", name, entry)


def _lose(message, sender):
    """Receive nothing."""


async def _read_part(reader, request_id, count):
    """Read events until there are `count` of them, or the answer ends.

    A caller that wants all of them reads the end of the stream, too.
    """
    event_ids: list[int] = []
    versions: list[str] = []
    status = 0
    with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
        status = int((await reader.readline()).split()[1])
        while status == 200 and len(versions) < count:
            line = await reader.readline()
            if not line or line == b"0\r\n":
                break
            name, _, value = line.decode().strip().partition(": ")
            if name == "id":
                event_ids.append(int(value))
            elif name == "data":
                versions.append(value)
        if len(versions) == STREAM_EVENTS:
            await reader.readuntil(b"0\r\n\r\n")
    return StreamPart(request_id, status, tuple(event_ids), tuple(versions))

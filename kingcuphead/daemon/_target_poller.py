"""Task that polls the load of targets and probes their health."""

import asyncio
import itertools
import time
from collections.abc import Callable

import msgspec
from expression import Result
from tornado.iostream import StreamClosedError
from tornado.tcpclient import TCPClient

from kingcuphead.queueing import LoadReported
from kingcuphead.records import Configuration, ServiceKind, Target
from kingcuphead.relay import Relay, RelayRequest, Timeouts

#: Maximum number of load reports requested in one second, for any number of targets.
LOAD_POLLS_PER_SECOND = 8
#: HTTP path of the load report of an engine.
LOAD_PATH = "/load"
#: Seconds between the end of one round of polls and the start of the next one.
POLL_INTERVAL = 1.0
#: Maximum size of the body of a load report in bytes.
MAX_REPORT_BYTES = 65_536


class LoadReport(msgspec.Struct, frozen=True):
    """Fields of an engine's load report that placement uses."""

    #: Number of requests in the current batch of the engine.
    running: int
    #: Number of requests queued in the engine.
    waiting: int
    #: Age of the report in seconds when the engine sent it.
    age: float = 0.0


class TargetPoller:
    """Polls the load of engines and probes targets for the scheduler.

    Parameters
    ----------
    relay
        HTTP client for targets.
    timeouts
        Timeouts for connections to targets and for their responses.
    post
        Callback for load reports.
    """

    def __init__(
        self, relay: Relay, timeouts: Timeouts, post: Callable[[LoadReported], None]
    ) -> None:
        self._relay = relay
        self._timeouts = timeouts
        self._post = post
        self._configuration = Configuration()
        self._client = TCPClient()
        self._offset = 0

    def apply(self, configuration: Configuration) -> None:
        """Poll and probe the targets of this configuration from now on."""
        self._configuration = configuration

    async def run(self) -> None:
        """Poll load reports until cancelled."""
        while True:
            await asyncio.sleep(POLL_INTERVAL)
            await asyncio.gather(*map(self._poll, self._choose_engines()))

    async def probe(self, target: str, address: str) -> bool:
        """Return whether a target is healthy, without sending it any work.

        An engine is healthy if it responds with a load report. Any call to a plain
        service may have side effects, so it is healthy if it accepts a connection.
        """
        configured = self._configuration.targets.get(target)
        if configured is None or self._is_engine(configured):
            return await self._fetch_report(address) is not None
        return await self._check_connection(address)

    def _choose_engines(self) -> tuple[Target, ...]:
        """Return the engines to poll in this round, in round-robin order."""
        targets = self._configuration.targets.values()
        engines = sorted(filter(self._is_engine, targets), key=lambda t: t.name)
        if not engines:
            return ()
        count = min(len(engines), LOAD_POLLS_PER_SECOND)
        rotation = itertools.islice(itertools.cycle(engines), self._offset, None)
        self._offset = (self._offset + count) % len(engines)
        return tuple(itertools.islice(rotation, count))

    def _is_engine(self, target: Target) -> bool:
        service = self._configuration.services.get(target.service)
        return service is not None and service.kind is ServiceKind.ENGINE

    async def _poll(self, target: Target) -> None:
        requested_at = time.monotonic()
        report = await self._fetch_report(target.address)
        if report is not None:
            observed_at = requested_at - report.age
            self._post(
                LoadReported(target.name, report.running, report.waiting, observed_at)
            )

    async def _fetch_report(self, address: str) -> LoadReport | None:
        request = RelayRequest(
            address, "GET", LOAD_PATH, idempotent=True, timeouts=self._timeouts
        )
        match await self._relay.open(request):
            case Result(tag="ok", ok=stream):
                try:
                    body = b"".join([block async for block in stream])
                    if stream.head.status != 200 or len(body) > MAX_REPORT_BYTES:
                        return None
                    return msgspec.json.decode(body, type=LoadReport)
                except msgspec.DecodeError:
                    return None
                finally:
                    stream.close()
        return None

    async def _check_connection(self, address: str) -> bool:
        host, port = address.rsplit(":", 1)
        try:
            stream = await self._client.connect(
                host, int(port), timeout=self._timeouts.connect
            )
        except (OSError, StreamClosedError, TimeoutError):
            return False
        stream.close()
        return True

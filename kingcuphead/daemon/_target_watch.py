"""The task that asks targets for their load and health."""

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

#: Most load reports asked for in one second, whatever the number of targets.
LOAD_POLLS_PER_SECOND = 8
#: Path at which engines report their load.
LOAD_PATH = "/load"
#: Seconds between two rounds of load reports.
ROUND_INTERVAL = 1.0
#: Longest body of a load report in bytes.
MAX_REPORT_BYTES = 65_536


class LoadReport(msgspec.Struct, frozen=True):
    """The parts of an engine's load report that placement uses."""

    #: Requests in the batch.
    running: int
    #: Requests that wait in the engine.
    waiting: int
    #: Age of the report in seconds.
    age: float = 0.0


class TargetWatch:
    """Polls engines' load and answers the scheduler's probes.

    Parameters
    ----------
    relay
        The way to targets.
    timeouts
        Limits towards targets.
    post
        Receives load reports.
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
        """Watch the targets of a configuration."""
        self._configuration = configuration

    async def run(self) -> None:
        """Ask for load reports until cancelled."""
        while True:
            await asyncio.sleep(ROUND_INTERVAL)
            await asyncio.gather(*map(self._poll, self._choose_engines()))

    async def probe(self, target: str, address: str) -> bool:
        """Return whether a target accepts work, without running any.

        An engine must answer its load report. A plain service must accept a
        connection: any call to it might do something.
        """
        known = self._configuration.targets.get(target)
        if known is None or self._is_engine(known):
            return await self._ask(address) is not None
        return await self._connect(address)

    def _choose_engines(self) -> tuple[Target, ...]:
        """Return the engines of this round, each in turn if there are many."""
        targets = self._configuration.targets.values()
        engines = sorted(filter(self._is_engine, targets), key=lambda t: t.name)
        if not engines:
            return ()
        count = min(len(engines), LOAD_POLLS_PER_SECOND)
        turn = itertools.islice(itertools.cycle(engines), self._offset, None)
        self._offset = (self._offset + count) % len(engines)
        return tuple(itertools.islice(turn, count))

    def _is_engine(self, target: Target) -> bool:
        service = self._configuration.services.get(target.service)
        return service is not None and service.kind is ServiceKind.ENGINE

    async def _poll(self, target: Target) -> None:
        asked_at = time.monotonic()
        report = await self._ask(target.address)
        if report is not None:
            observed_at = asked_at - report.age
            self._post(
                LoadReported(target.name, report.running, report.waiting, observed_at)
            )

    async def _ask(self, address: str) -> LoadReport | None:
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

    async def _connect(self, address: str) -> bool:
        host, port = address.rsplit(":", 1)
        try:
            stream = await self._client.connect(
                host, int(port), timeout=self._timeouts.connect
            )
        except (OSError, StreamClosedError, TimeoutError):
            return False
        stream.close()
        return True

"""The life of an entry daemon on the platform: start, run, graceful shutdown."""

import asyncio
import contextlib
import random
import secrets
import signal
from collections.abc import Coroutine
from typing import Any

from expression import Result
from loguru import logger

from kingcuphead.credit import (
    CreditAsked,
    CreditBook,
    CreditHanded,
    CreditTask,
    TransferClient,
    TransferEndpoint,
)
from kingcuphead.datagrams import Address, Datagram, DatagramSocket
from kingcuphead.dispatch import Dispatcher, DispatchSettings, RetryAllowance
from kingcuphead.entry._caller_server import CallerServer
from kingcuphead.entry._followers import ConfigurationFollower, TargetFollower
from kingcuphead.entry._following import TableWatch
from kingcuphead.entry._metrics import DaemonMetrics, serve_metrics
from kingcuphead.entry._peers import PeerWatch
from kingcuphead.entry._readiness import serve_readiness
from kingcuphead.forwarding import (
    AttemptRunner,
    ConnectionPool,
    Dependencies,
    RequestForwarder,
)
from kingcuphead.loads import LoadExchange, LoadsReported, PeerLoads
from kingcuphead.platform import (
    CONFIGURATION_TABLE,
    TARGETS_TABLE,
    PlatformHeaders,
    Profile,
    Store,
    StoreTable,
    read_profile,
)
from kingcuphead.routing import RoutingConfiguration, RoutingTable
from kingcuphead.targets import DirectoryChange, TargetDirectory, TargetLeft

#: Table and part in which credit is kept.
CREDIT_TABLE, CREDIT_PART = "credit", "totals"
#: Seconds between two looks at lapsed entries and idle connections.
SWEEP_INTERVAL = 0.25
#: Seconds after which the settings file is read again without a signal.
SETTINGS_INTERVAL = 2.0
#: Seconds after SIGTERM in which new callers may still come.
HANDOVER_PERIOD = 3.0
#: Seconds before the end of the grace period at which the daemon ends for certain.
GRACE_MARGIN = 0.5
#: Daemons among which the fixed part of the retry budget is divided.
ASSUMED_DAEMONS = 12


class EntryDaemon:
    """One entry daemon.

    Parameters
    ----------
    profile
        What the platform tells about this process.
    path_of_settings
        File that the profile was read from.
    """

    def __init__(self, profile: Profile, path_of_settings: str) -> None:
        self._profile = profile
        self._path_of_settings = path_of_settings
        self._reload = asyncio.Event()
        self._stop = asyncio.Event()
        self._is_stopping = False
        self._has_configuration = False
        draw = random.Random()
        # A machine that takes another's name has another address.
        instance = f"{profile.instance}@{profile.ip}"
        life = secrets.token_hex(6)
        self._store = Store(f"{profile.store.host}:{profile.store.port}")
        self._directory = TargetDirectory()
        self._metrics = DaemonMetrics()
        peer_loads = PeerLoads()
        self._dispatcher = Dispatcher(DispatchSettings(profile.zone), peer_loads, draw)
        self._datagrams = DatagramSocket(self._take_datagram)
        self._loads = LoadExchange(
            f"{instance}/{life}",
            peer_loads,
            self._dispatcher.list_loads,
            self._datagrams.send,
            draw,
        )
        self._dispatcher.announce = self._loads.trigger_report
        self._internal = (profile.ip, profile.internal_port)
        self._peers = PeerWatch(self._store, self._internal, self._take_peers)
        self._pool = ConnectionPool()
        book = CreditBook(instance, life)
        self._credit = CreditTask(
            book, StoreTable(self._store, CREDIT_TABLE, CREDIT_PART)
        )
        self._lending = TransferEndpoint(book, f"{instance}/{life}")
        self._borrower = TransferClient(
            self._lending, self._datagrams.send, lambda: self._loads.peers, draw
        )
        self._credit.transfer_client = self._borrower
        retries = profile.retries
        self._retries = RetryAllowance(
            retries.ratio, retries.burst / ASSUMED_DAEMONS, retries.window
        )
        self._path = RequestForwarder(
            Dependencies(
                self._directory,
                self._dispatcher,
                self._retries,
                self._credit,
                AttemptRunner(self._pool, PlatformHeaders()),
            ),
            draw,
            self._metrics.record,
        )
        self._callers = CallerServer(self._path)
        self._targets = TargetFollower(self._directory, self._take_change)
        self._failure: BaseException | None = None

    async def run(self) -> bool:
        """Run until a signal or a failure ends the daemon.

        Returns
        -------
        bool
            Whether it ended by a signal.
        """
        self._watch_signals()
        await self._datagrams.open(self._internal)
        tasks = [self._start(each) for each in self._list_tasks()]
        renewal = self._start(self._credit.run())
        profile = self._profile
        readiness = serve_readiness(
            profile.readiness.host, profile.readiness.port, self._is_ready
        )
        metrics = serve_metrics(profile.ip, self._metrics)
        self._callers.listen(profile.callers.host, profile.callers.port)
        logger.info("entry daemon started")
        await self._stop.wait()
        if self._failure is None:
            await self._drain(renewal)
        self._callers.stop_listening()
        await self._callers.close()
        readiness.stop()
        metrics.stop()
        for task in tasks:
            task.cancel()
        self._datagrams.close()
        self._pool.close()
        self._store.close()
        logger.info("entry daemon ended")
        return self._failure is None

    def _list_tasks(self) -> list[Coroutine[Any, Any, None]]:
        configuration = ConfigurationFollower(self._apply)
        report = self._directory.record_store_failure
        return [
            TableWatch(self._store, CONFIGURATION_TABLE, configuration, report).run(),
            TableWatch(self._store, TARGETS_TABLE, self._targets, report).run(),
            self._sweep(),
            self._watch_settings(),
            self._loads.run(),
            self._peers.run(),
        ]

    def _start(self, coroutine: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        task = asyncio.create_task(coroutine)
        task.add_done_callback(self._end_task)
        return task

    def _end_task(self, task: asyncio.Task[None]) -> None:
        """Stop the daemon when one of its tasks fails."""
        if task.cancelled() or task.exception() is None:
            return
        self._failure = task.exception()
        logger.opt(exception=self._failure).critical("a task failed")
        self._stop.set()

    def _watch_signals(self) -> None:
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._stop.set)
        loop.add_signal_handler(signal.SIGHUP, self._reload.set)

    async def _watch_settings(self) -> None:
        """Read the settings file again after SIGHUP, and now and then without."""
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(SETTINGS_INTERVAL):
                    await self._reload.wait()
            self._reload.clear()
            match read_profile(self._path_of_settings):
                case Result(tag="ok", ok=profile):
                    self._apply_profile(profile)
                case Result(error=fault):
                    logger.error(
                        "settings stay as they are: {} {}", fault.key, fault.cause
                    )

    def _apply_profile(self, profile: Profile) -> None:
        if profile == self._profile:
            return
        self._profile = profile
        logger.info("settings changed")
        self._store.change_address(f"{profile.store.host}:{profile.store.port}")
        self._retries.apply(
            profile.retries.ratio,
            profile.retries.burst / ASSUMED_DAEMONS,
            profile.retries.window,
        )

    def _is_ready(self) -> bool:
        return (
            self._has_configuration
            and not self._directory.is_empty
            and not self._is_stopping
        )

    def _apply(self, configuration: RoutingConfiguration) -> None:
        self._path.apply(RoutingTable(configuration))
        self._callers.apply(configuration.limits)
        self._credit.book.apply_limits(
            configuration.organisations.values(), configuration.version
        )
        self._has_configuration = True

    def _take_datagram(self, message: Datagram, sender: Address) -> None:
        match message:
            case LoadsReported():
                self._loads.handle_report(message)
            case CreditAsked():
                now = asyncio.get_running_loop().time()
                self._datagrams.send(self._lending.handle_request(message, now), sender)
            case CreditHanded():
                self._borrower.handle_reply(message)

    def _take_peers(self, peers: tuple[Address, ...]) -> None:
        self._loads.peers = peers
        self._credit.daemons = len(peers) + 1

    def _take_change(self, change: DirectoryChange) -> None:
        if isinstance(change, TargetLeft):
            self._pool.close_address(change.target.address)
            if change.is_removed:
                self._dispatcher.forget(change.target)

    async def _sweep(self) -> None:
        while True:
            await asyncio.sleep(SWEEP_INTERVAL)
            self._targets.tick()
            self._pool.sweep()

    async def _drain(self, renewal: asyncio.Task[None]) -> None:
        """Finish what is in flight and hand credit back."""
        loop = asyncio.get_running_loop()
        end = loop.time() + self._profile.grace - GRACE_MARGIN
        logger.info("shutdown started; {} s of grace", self._profile.grace)
        self._is_stopping = True
        self._callers.announce_close()
        self._start(self._peers.withdraw())
        await asyncio.sleep(min(HANDOVER_PERIOD, self._profile.grace / 2))
        self._callers.stop_listening()
        renewal.cancel()
        await asyncio.gather(renewal, return_exceptions=True)
        is_returned = False
        while loop.time() < end and not is_returned:
            is_returned = await self._credit.shut_down(SWEEP_INTERVAL)
            if self._callers.open_requests:
                is_returned = False
                await asyncio.sleep(SWEEP_INTERVAL / 5)
        if not is_returned:
            logger.warning("shutdown ends with credit that was not returned")

"""Startup, main loop and graceful shutdown of an entry daemon."""

import asyncio
import contextlib
import random
import signal

from expression import Result
from loguru import logger

from kingcuphead.capacity import LINK_TRAFFIC, TimedSelector
from kingcuphead.dispatch import HedgingPolicy
from kingcuphead.entry._assembly import (
    make_admission,
    make_dispatcher,
    make_request_memory,
    make_retries,
)
from kingcuphead.entry._background_tasks import BackgroundTask, TaskSupervisor
from kingcuphead.entry._caller_server import CallerServer
from kingcuphead.entry._evacuation_exchange import EvacuationExchange
from kingcuphead.entry._fleet_links import FleetLinks
from kingcuphead.entry._metrics import DaemonMetrics, serve_metrics
from kingcuphead.entry._readiness import serve_readiness
from kingcuphead.entry._settings import DEFAULT_SETTINGS, EntrySettings
from kingcuphead.entry._store_watches import StoreWatches
from kingcuphead.entry._table_listeners import (
    ConfigurationListener,
    EvacuationListener,
    TargetListener,
)
from kingcuphead.entry._table_watch import ListenerGroup
from kingcuphead.entry._view_age import ViewAge
from kingcuphead.forwarding import (
    AttemptRunner,
    ConnectionPool,
    Dependencies,
    EvidenceRecorder,
    RequestForwarder,
    TargetWatch,
)
from kingcuphead.loads import PeerLoads
from kingcuphead.paths import Connector, TunnelServer
from kingcuphead.platform import (
    PlatformHeaders,
    Profile,
    Store,
    read_profile,
)
from kingcuphead.routing import RoutingConfiguration, RoutingTable
from kingcuphead.targets import (
    ColdStart,
    DirectoryChange,
    TargetAdded,
    TargetDirectory,
    TargetLeft,
    ZoneChange,
    ZoneEvacuated,
)
from kingcuphead.timing import get_time, sleep_until_tick

#: Name of the task that renews credit.
CREDIT_TASK = "credit"
#: Seconds between two sweeps that drop expired entries and idle connections; also the
#: timeout of one attempt to return credit during shutdown.
SWEEP_INTERVAL = 0.25
#: Seconds after a process went on within which signals that waited are handled.
SIGNAL_DELAY = 0.05
#: Seconds after which the settings file is read again without SIGHUP.
SETTINGS_INTERVAL = 2.0
#: Seconds after SIGTERM in which new connections are still accepted, while callers
#: move to other daemons.
SHUTDOWN_ACCEPT_PERIOD = 3.0
#: Seconds before the end of the grace period at which shutdown stops waiting.
GRACE_MARGIN = 0.5
#: Seconds before that at which open requests get their final answers.
ANSWER_MARGIN = 0.1
#: Seconds before these in which no request is passed on any more, but no more than
#: this share of the grace period; most requests that begin earlier are answered.
LAST_START_MARGIN, LAST_START_SHARE = 1.0, 1 / 8


class EntryDaemon:
    """An entry daemon with all its components.

    Parameters
    ----------
    profile
        Settings of this process, as the platform provides them.
    settings_path
        Path of the file that the profile was read from.
    settings
        Settings of the operator for this daemon.
    """

    def __init__(
        self,
        profile: Profile,
        settings_path: str,
        settings: EntrySettings = DEFAULT_SETTINGS,
    ) -> None:
        self._profile = profile
        self._settings_path = settings_path
        self._reload = asyncio.Event()
        self._stop = asyncio.Event()
        self._is_stopping = False
        self._swept_at = self._stopped_at = float("inf")
        self._has_configuration = False
        self._failure: Exception | None = None
        #: Whether the credit of this daemon can still be accounted for.
        self._is_credit_trusted = True
        rng = random.Random()
        self._store = Store(f"{profile.store.host}:{profile.store.port}")
        self._directory = TargetDirectory(heartbeat=profile.heartbeat)
        self._metrics = DaemonMetrics()
        self._supervisor = TaskSupervisor(
            self._metrics.record_task_failure, self._handle_task_loss
        )
        self._selector: TimedSelector | None = None
        self._view_age = ViewAge(self._describe_load)
        peer_loads = PeerLoads()
        self._dispatcher = make_dispatcher(profile, peer_loads, rng)
        self._retries = make_retries(profile)
        self._hedging = HedgingPolicy(
            settings.max_hedged_share, self._retries, settings.hedges_streams
        )
        self._links = FleetLinks(
            profile,
            self._store,
            self._directory,
            self._dispatcher,
            peer_loads,
            self._retries,
            rng,
        )
        self._admission = make_admission(profile, self._dispatcher)
        self._targets = TargetListener(self._directory, self._handle_change)
        self._evacuations = EvacuationListener(
            self._directory, self._handle_zone_change
        )
        self._evacuation_exchange = EvacuationExchange(
            self._evacuations, self._links.ask_zones
        )
        self._connector, self._tunnels = self._make_paths(rng)
        self._pool = ConnectionPool(self._connector)
        self._watch = TargetWatch(self._pool, self._directory)
        self._forwarder = self._make_forwarder(rng)
        self._callers = self._make_caller_server()
        self._connect_components()

    def _make_paths(self, rng: random.Random) -> tuple[Connector, TunnelServer]:
        """Return the connector to targets and the server that helps other daemons."""
        connector = Connector(
            self._links.path_monitor,
            self._links.peer_paths,
            self._directory.list_addresses,
            rng,
        )
        tunnels = TunnelServer(
            connector, self._links.path_monitor, self._accepts_requests
        )
        return connector, tunnels

    def _make_forwarder(self, rng: random.Random) -> RequestForwarder:
        dependencies = Dependencies(
            directory=self._directory,
            dispatcher=self._dispatcher,
            retries=self._retries,
            credit=self._links.credit,
            runner=AttemptRunner(self._pool, PlatformHeaders()),
            quarantine=self._links.quarantine,
            evidence=EvidenceRecorder(self._links.quarantine, self._watch),
            resumption=self._links.resumption,
            report_leaving=self._targets.handle_leaving,
            report_statement=self._links.report_statement,
            permits=self._links.permits,
            admission=self._admission,
            hedging=self._hedging,
            is_configuration_current=lambda: self._view_age.is_current,
        )
        return RequestForwarder(dependencies, rng, self._metrics.record)

    def _make_caller_server(self) -> CallerServer:
        return CallerServer(
            self._forwarder,
            make_request_memory(self._profile, self._metrics),
            self._links.capacity.connections,
            self._metrics.record_unexpected_error,
        )

    def _connect_components(self) -> None:
        """Register the components that call each other."""
        self._links.admission = self._metrics.admission = self._admission
        self._links.evacuations = self._evacuation_exchange
        self._links.report_leaving = self._targets.handle_leaving
        self._links.permits.report_cold_denial = self._metrics.record_cold_denial
        self._links.capacity.is_serving = self._is_serving
        self._links.capacity.record = self._metrics.record_capacity
        self._dispatcher.observer = self._metrics.engines
        self._dispatcher.cold_costs.is_cold = self._directory.is_cold
        self._links.observe_unsent(self._metrics.record_unsent_datagram)
        self._metrics.observe_targets(self._directory)
        self._metrics.observe_view(self._view_age)
        self._metrics.observe_traffic(LINK_TRAFFIC)
        self._metrics.resumption.observe(self._links.resumption)

    def observe_loop(self, selector: TimedSelector) -> None:
        """Measure the load of the processor by the event loop's use of its selector."""
        self._selector = selector
        self._links.capacity.read_busy_seconds = selector.get_busy_seconds
        self._metrics.observe_loop(selector)

    def _describe_load(self) -> dict[str, float]:
        """Return log fields that tell why this daemon may be late."""
        turn = 0.0 if self._selector is None else self._selector.longest_turn
        load = self._links.capacity.describe_load()
        return load | {"longest_turn": round(turn, 3)}

    async def run(self) -> bool:
        """Run until a signal arrives or a background task is lost.

        Both end it by the steps of a graceful shutdown; to cancel the call ends it
        without them.

        Returns
        -------
        bool
            Whether a signal ended the daemon, rather than a failure.
        """
        self._watch_signals()
        await self._links.open()
        for task in self._list_tasks():
            self._supervisor.start(task)
        profile = self._profile
        readiness = serve_readiness(
            profile.readiness.host,
            profile.readiness.port,
            self._is_ready,
            self._links.capacity.record_check,
        )
        metrics = serve_metrics(profile.ip, self._metrics)
        self._callers.listen(profile.callers.host, profile.callers.port)
        self._tunnels.listen(profile.ip, profile.internal_port)
        logger.info("entry daemon started")
        try:
            await self._stop.wait()
            await self._drain()
        finally:
            self._callers.stop_listening()
            await self._callers.close()
            readiness.stop()
            metrics.stop()
            self._close()
        logger.info("entry daemon ended")
        return self._failure is None

    def _close(self) -> None:
        """End what runs in the background, and close all other connections."""
        self._supervisor.close()
        self._links.close()
        self._tunnels.close()
        self._watch.close()
        self._pool.close()
        self._store.close()

    def stop(self) -> None:
        """Begin a graceful shutdown, as a signal does.

        While the process is suspended or busy, signals wait, but the platform counts
        the grace period from their sending. A sweep that is overdue shows such a time.
        """
        if not self._stop.is_set():
            self._stopped_at = min(get_time(), self._swept_at + SWEEP_INTERVAL)
            self._stop.set()

    def _list_tasks(self) -> list[BackgroundTask]:
        watches = StoreWatches(
            self._store,
            ListenerGroup(
                # Evacuations are applied first, because the configuration makes this
                # daemon ready for callers.
                (self._evacuations, ConfigurationListener(self._apply_configuration))
            ),
            self._targets,
            self._directory,
            lambda: self._profile,
            self._view_age,
        )
        self._metrics.observe_polls(watches.pacings)
        self._evacuation_exchange.get_position = watches.get_configuration_position
        return [
            *watches.list_tasks(),
            BackgroundTask("evacuations", self._evacuation_exchange.run),
            BackgroundTask("sweep", self._sweep),
            BackgroundTask("settings", self._watch_settings),
            BackgroundTask("paths", self._connector.run),
            *self._links.list_tasks(),
            *map(watches.run_after_start, self._links.list_store_tasks()),
            # A failure may leave tokens that are counted twice or not at all.
            BackgroundTask(CREDIT_TASK, self._links.credit.run, is_restartable=False),
        ]

    def _handle_task_loss(self, task: BackgroundTask, failure: Exception) -> None:
        """Shut the daemon down, as it can't go on without a background task."""
        self._failure = failure
        if task.name == CREDIT_TASK:
            self._is_credit_trusted = False
        if not self._stop.is_set():
            self._stopped_at = get_time()
            self._stop.set()

    def _watch_signals(self) -> None:
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.stop)
        loop.add_signal_handler(signal.SIGHUP, self._reload.set)

    async def _watch_settings(self) -> None:
        """Reload the settings file after SIGHUP and every `SETTINGS_INTERVAL`."""
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(SETTINGS_INTERVAL):
                    await self._reload.wait()
            self._reload.clear()
            match read_profile(self._settings_path):
                case Result(tag="ok", ok=profile):
                    self._apply_profile(profile)
                case Result(error=fault):
                    logger.error(
                        "invalid settings; keeping the current ones: {} {}",
                        fault.key,
                        fault.cause,
                    )

    def _apply_profile(self, profile: Profile) -> None:
        if profile == self._profile:
            return
        self._profile = profile
        logger.info("settings changed")
        self._store.change_address(f"{profile.store.host}:{profile.store.port}")
        retries = profile.retries
        self._retries.apply(retries.ratio, retries.burst, retries.window)
        self._links.apply_profile(profile)

    def _is_ready(self) -> bool:
        return self._is_serving() and not self._links.capacity.is_unready

    def _is_serving(self) -> bool:
        return (
            self._has_configuration
            and not self._directory.is_empty
            and not self._is_stopping
        )

    def _accepts_requests(self, address: str) -> bool:
        """Whether the target at an address may get requests of another daemon."""
        target = self._directory.find_usable(address)
        return target is not None and bool(self._links.permits.select_open([target]))

    def _apply_configuration(self, configuration: RoutingConfiguration) -> None:
        self._forwarder.apply(RoutingTable(configuration))
        self._directory.apply_cold_starts(
            {
                service.name: ColdStart(service.cold_period, service.cold_limit)
                for service in configuration.services.values()
            }
        )
        self._dispatcher.apply_services(configuration.services)
        self._callers.apply_limits(configuration.limits)
        self._links.credit.apply_limits(
            configuration.organisations.values(), configuration.version
        )
        self._has_configuration = True

    def _handle_change(self, change: DirectoryChange) -> None:
        if isinstance(change, TargetAdded) and self._admission is not None:
            self._admission.wake(change.target.service)
        if isinstance(change, TargetLeft):
            self._pool.close_address(change.target.address)
            if change.is_removed:
                self._dispatcher.forget(change.target)
                self._hedging.forget(change.target.name)
                self._links.permits.forget(change.target)

    def _handle_zone_change(self, change: ZoneChange) -> None:
        if isinstance(change, ZoneEvacuated):
            for target in change.targets:
                self._pool.close_address(target.address)

    async def _sweep(self) -> None:
        while True:
            late = await sleep_until_tick(SWEEP_INTERVAL)
            self._targets.tick()
            self._evacuations.tick()
            # Attempts that were running have returned their connections to the pool.
            for target in self._directory.list_evacuated():
                self._pool.close_address(target.address)
            self._pool.sweep()
            if late > SWEEP_INTERVAL:
                # The process was suspended; signals of that time are handled first.
                await asyncio.sleep(SIGNAL_DELAY)
            self._swept_at = get_time()

    async def _drain(self) -> None:
        """Finish open requests and return credit before the grace period ends."""
        loop = asyncio.get_running_loop()
        grace = self._profile.grace
        end = self._stopped_at + grace - GRACE_MARGIN
        answers_end = end - ANSWER_MARGIN
        last_start_at = answers_end - min(LAST_START_MARGIN, LAST_START_SHARE * grace)
        logger.bind(lag=round(loop.time() - self._stopped_at, 3)).info(
            "shutdown started; grace period {} s", grace
        )
        self._forwarder.finish_by(last_start_at, answers_end)
        self._is_stopping = True
        self._links.permits.ranking.begin_leaving()
        # Another daemon can help; a stream that begins here might be cut off.
        self._tunnels.stop_accepting()
        self._callers.announce_close()
        if self._admission is not None:
            self._admission.close()
        if not self._is_credit_trusted:
            self._callers.refuse_requests()
        deregistration = asyncio.create_task(self._deregister())
        accept_end = self._stopped_at + min(SHUTDOWN_ACCEPT_PERIOD, grace / 2)
        await asyncio.sleep(max(0.0, accept_end - loop.time()))
        self._callers.stop_listening()
        await self._supervisor.cancel(CREDIT_TASK)
        is_returned = False
        while loop.time() < end and not is_returned:
            is_returned = await self._return_credit()
            if self._callers.open_requests or self._tunnels.open_tunnels:
                is_returned = False
                await asyncio.sleep(SWEEP_INTERVAL / 5)
        deregistration.cancel()
        if not (is_returned and self._is_credit_trusted):
            logger.warning("the daemon ends before all credit was returned")

    async def _deregister(self) -> None:
        """Remove this daemon from the list of daemons, if the store can be reached."""
        try:
            await self._links.deregister()
        except Exception as error:
            # The others go on sending datagrams to this daemon, which has ended.
            logger.opt(exception=error).error("cannot remove this daemon's row")

    async def _return_credit(self) -> bool:
        """Return credit to the store; return whether nothing is left to be returned.

        Credit that can't be accounted for stays charged, lest it be spent twice.
        """
        if not self._is_credit_trusted:
            return True
        try:
            return await self._links.credit.shut_down(SWEEP_INTERVAL)
        except Exception as error:
            logger.opt(exception=error).critical("cannot return credit; it is charged")
            self._failure = error
            self._is_credit_trusted = False
            return True

"""Builds the components of a daemon from its settings."""

import dataclasses
import random
import time
import typing

from kingcuphead import budgets, configuration, membership, placement, queueing
from kingcuphead.api import ApiLimits
from kingcuphead.claims import Claims
from kingcuphead.daemon._event_router import Components, EventRouter
from kingcuphead.daemon._ledger_task import LedgerTask
from kingcuphead.daemon._membership_task import MembershipTask
from kingcuphead.daemon._peer_router import PeerRouter
from kingcuphead.daemon._request_log import RequestLog
from kingcuphead.daemon._scheduler_task import SchedulerTask
from kingcuphead.daemon._target_poller import TargetPoller
from kingcuphead.metrics import Metrics
from kingcuphead.peers import PeerLinks
from kingcuphead.pipeline import (
    ChatDependencies,
    ChatForwarder,
    ChatTimeouts,
    ClaimedCalls,
    Gateway,
    GatewaySettings,
    ServiceForwarder,
    Settlements,
)
from kingcuphead.relay import Relay, Timeouts
from kingcuphead.settings import Settings
from kingcuphead.storage import (
    HttpInstanceList,
    HttpTable,
    PlatformConnection,
    PlatformSettings,
    Table,
)


@dataclasses.dataclass(frozen=True, slots=True)
class Assembly:
    """The components and connections of a daemon, not yet started."""

    #: Components that exchange events.
    components: Components
    #: Routes events between the components.
    event_router: EventRouter
    #: HTTP client for targets.
    relay: Relay
    #: Connections to peers.
    links: PeerLinks
    #: The platform's table.
    table: Table
    #: Prometheus metrics.
    metrics: Metrics
    #: Log and recent history of ended requests.
    request_log: RequestLog
    #: The platform's instance list.
    instances: HttpInstanceList


def assemble(settings: Settings, own: membership.Member) -> Assembly:
    """Build a daemon.

    Parameters
    ----------
    settings
        The validated settings.
    own
        Membership entry of this process.
    """
    event_router = EventRouter()
    links = PeerLinks()
    peer_router = PeerRouter(own, links)
    relay = Relay()
    timeouts = make_timeouts(settings)
    platform = _make_platform_connection(settings)
    table = HttpTable(platform)
    metrics = Metrics()
    ledger = _make_ledger_task(settings, own, table, peer_router, metrics)
    target_poller = TargetPoller(
        relay, timeouts, lambda report: components.scheduler.post(report)
    )
    scheduler = SchedulerTask(
        _make_scheduler(settings), target_poller.probe, event_router.raise_notice
    )
    request_log = RequestLog(own.name, metrics)
    components = Components(
        ledger=ledger,
        scheduler=scheduler,
        membership=_make_membership_task(settings, own, peer_router, event_router),
        configuration=_make_configuration_task(
            settings, table, peer_router, event_router
        ),
        gateway=Gateway(
            _make_gateway_settings(settings),
            _make_chat_forwarder(settings, ledger, scheduler, relay),
            ServiceForwarder(scheduler, relay, timeouts),
            ClaimedCalls(Claims(table), own.name),
            event_router.is_current,
            request_log.record,
        ),
        target_poller=target_poller,
        peer_router=peer_router,
    )
    event_router.connect(components)
    _register_handlers(components)
    return Assembly(
        components=components,
        event_router=event_router,
        relay=relay,
        links=links,
        table=table,
        metrics=metrics,
        request_log=request_log,
        instances=HttpInstanceList(platform),
    )


def make_timeouts(settings: Settings) -> Timeouts:
    """Return the timeouts for connections to targets and for their responses."""
    return Timeouts(
        connect=settings.targets.connect_timeout_seconds,
        first_byte=settings.targets.first_byte_timeout_seconds,
        idle=settings.targets.idle_timeout_seconds,
    )


def _make_platform_connection(settings: Settings) -> PlatformConnection:
    return PlatformConnection(
        PlatformSettings(
            settings.platform.url, request_timeout=settings.platform.timeout_seconds
        )
    )


def _make_ledger_task(
    settings: Settings,
    own: membership.Member,
    table: Table,
    peer_router: PeerRouter,
    metrics: Metrics,
) -> LedgerTask:
    ledger = budgets.Ledger(
        own.name,
        str(own.incarnation),
        own.zone,
        own.region,
        budgets.Settings(
            shards=settings.budgets.shards,
            flush_interval=settings.budgets.flush_interval_seconds,
        ),
    )
    return LedgerTask(
        ledger, table, peer_router.send, lambda fault: metrics.count_fault(fault.kind)
    )


def _make_chat_forwarder(
    settings: Settings, ledger: LedgerTask, scheduler: SchedulerTask, relay: Relay
) -> ChatForwarder:
    timeouts = ChatTimeouts(
        settings.budgets.hold_timeout_seconds, make_timeouts(settings)
    )
    return ChatForwarder(
        ChatDependencies(ledger, Settlements(ledger), scheduler, relay, timeouts)
    )


def _make_scheduler(settings: Settings) -> queueing.Scheduler:
    return queueing.Scheduler(
        queueing.SchedulerSettings(
            queueing=queueing.QueueingSettings(capacity=settings.limits.queue_length),
            placement=placement.PlacementSettings(zone=settings.instance.zone),
        ),
        settings.instance.name,
        random.Random(settings.instance.name),
    )


def _make_gateway_settings(settings: Settings) -> GatewaySettings:
    return GatewaySettings(
        limits=ApiLimits(max_body_bytes=settings.limits.body_bytes),
        default_deadline=settings.limits.default_deadline_seconds,
        concurrent_requests=settings.limits.concurrent_requests,
    )


def _make_membership_task(
    settings: Settings,
    own: membership.Member,
    peer_router: PeerRouter,
    event_router: EventRouter,
) -> MembershipTask:
    state_machine = membership.Membership(
        own,
        membership.MembershipSettings(
            probe_interval=settings.peers.probe_interval_seconds,
            probe_timeout=settings.peers.request_timeout_seconds,
            suspect_timeout=settings.peers.suspect_timeout_seconds,
        ),
        random.Random(own.incarnation),
    )
    return MembershipTask(
        state_machine,
        peer_router.send_to_address,
        event_router.handle_membership_effect,
    )


def _make_configuration_task(
    settings: Settings,
    table: Table,
    peer_router: PeerRouter,
    event_router: EventRouter,
) -> configuration.ConfigurationTask:
    watcher = configuration.Watcher(
        settings.instance.name,
        configuration.WatchPolicy(
            poll_interval=settings.configuration.poll_interval_seconds,
            stale_after=settings.configuration.stale_seconds,
            refuse_after=settings.configuration.refuse_seconds,
        ),
    )
    return configuration.ConfigurationTask(
        watcher,
        table,
        _PeerChannel(peer_router),
        time.monotonic,
        event_router.handle_configuration_notice,
    )


class _PeerChannel:
    """Channel of the configuration task to peers."""

    def __init__(self, peer_router: PeerRouter) -> None:
        self._peer_router = peer_router

    def send(
        self,
        instance: str,
        message: configuration.ConfigurationRequested
        | configuration.ConfigurationOffered,
    ) -> None:
        """Send a message to one peer; it may be lost."""
        self._peer_router.send(instance, message)

    def announce(self, revision: int) -> None:
        """Do nothing, as heartbeats carry the revision once this daemon applies it."""


def _register_handlers(components: Components) -> None:
    components.peer_router.register(
        (membership.Heartbeat, membership.HeartbeatAcknowledged),
        components.membership.post,
    )
    components.peer_router.register(
        typing.get_args(budgets.PeerMessage),
        components.ledger.post,
    )
    components.peer_router.register(
        (configuration.ConfigurationRequested, configuration.ConfigurationOffered),
        components.configuration.post,
    )

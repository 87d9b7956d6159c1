"""Builds the tasks of a daemon from its settings."""

import dataclasses
import random
import time
import typing

from kingcuphead import budgets, configuration, membership, placement, queueing
from kingcuphead.api import ApiLimits
from kingcuphead.claims import Claims
from kingcuphead.daemon._announcements import Announcements, Parts
from kingcuphead.daemon._ledger_task import LedgerTask
from kingcuphead.daemon._membership_task import MembershipTask
from kingcuphead.daemon._peer_router import PeerRouter
from kingcuphead.daemon._request_log import RequestLog
from kingcuphead.daemon._scheduler_task import SchedulerTask
from kingcuphead.daemon._target_watch import TargetWatch
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
    """Everything that a daemon runs, not yet started."""

    #: The tasks that tell each other things.
    parts: Parts
    #: Who tells whom.
    announcements: Announcements
    #: The way to targets.
    relay: Relay
    #: The connections to peers.
    links: PeerLinks
    #: The platform's table.
    table: Table
    #: What dashboards read.
    metrics: Metrics
    #: What became of recent requests.
    requests: RequestLog
    #: The platform's instance list.
    instances: HttpInstanceList


def assemble(settings: Settings, own: membership.Member) -> Assembly:
    """Build a daemon.

    Parameters
    ----------
    settings
        The checked settings.
    own
        This process as its peers will know it.
    """
    announcements = Announcements()
    links = PeerLinks()
    router = PeerRouter(own, links)
    relay = Relay()
    timeouts = make_timeouts(settings)
    platform = _make_platform_connection(settings)
    table = HttpTable(platform)
    metrics = Metrics()
    ledger = _make_ledger_task(settings, own, table, router, metrics)
    targets = TargetWatch(relay, timeouts, lambda report: parts.scheduler.post(report))
    scheduler = SchedulerTask(
        _make_scheduler(settings), targets.probe, announcements.tell
    )
    requests = RequestLog(own.name, metrics)
    parts = Parts(
        ledger=ledger,
        scheduler=scheduler,
        membership=_make_membership_task(settings, own, router, announcements),
        configuration=_make_configuration_task(settings, table, router, announcements),
        gateway=Gateway(
            _make_gateway_settings(settings),
            _make_chat_path(settings, ledger, scheduler, relay),
            ServiceForwarder(scheduler, relay, timeouts),
            ClaimedCalls(Claims(table), own.name),
            announcements.is_current,
            requests.report,
        ),
        targets=targets,
        router=router,
    )
    announcements.connect(parts)
    _route_messages(parts)
    return Assembly(
        parts=parts,
        announcements=announcements,
        relay=relay,
        links=links,
        table=table,
        metrics=metrics,
        requests=requests,
        instances=HttpInstanceList(platform),
    )


def make_timeouts(settings: Settings) -> Timeouts:
    """Return how long a target may stay silent."""
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
    router: PeerRouter,
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
        ledger, table, router.send, lambda fault: metrics.count_fault(fault.kind)
    )


def _make_chat_path(
    settings: Settings, ledger: LedgerTask, scheduler: SchedulerTask, relay: Relay
) -> ChatForwarder:
    times = ChatTimeouts(settings.budgets.hold_timeout_seconds, make_timeouts(settings))
    return ChatForwarder(
        ChatDependencies(ledger, Settlements(ledger), scheduler, relay, times)
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
    router: PeerRouter,
    announcements: Announcements,
) -> MembershipTask:
    machine = membership.Membership(
        own,
        membership.MembershipSettings(
            probe_interval=settings.peers.probe_interval_seconds,
            probe_timeout=settings.peers.request_timeout_seconds,
            suspect_timeout=settings.peers.suspect_timeout_seconds,
        ),
        random.Random(own.incarnation),
    )
    return MembershipTask(
        machine, router.send_to_address, announcements.take_membership
    )


def _make_configuration_task(
    settings: Settings,
    table: Table,
    router: PeerRouter,
    announcements: Announcements,
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
        _PeerChannel(router),
        time.monotonic,
        announcements.take_configuration,
    )


class _PeerChannel:
    """The configuration task's way to peers."""

    def __init__(self, router: PeerRouter) -> None:
        self._router = router

    def send(
        self,
        instance: str,
        message: configuration.ConfigurationRequested
        | configuration.ConfigurationOffered,
    ) -> None:
        """Send a message to one peer."""
        self._router.send(instance, message)

    def announce(self, revision: int) -> None:
        """Do nothing: heartbeats carry the revision once it is in force here."""


def _route_messages(parts: Parts) -> None:
    parts.router.route(
        (membership.Heartbeat, membership.HeartbeatAcknowledged),
        parts.membership.post,
    )
    parts.router.route(
        typing.get_args(budgets.PeerMessage),
        parts.ledger.post,
    )
    parts.router.route(
        (configuration.ConfigurationRequested, configuration.ConfigurationOffered),
        parts.configuration.post,
    )

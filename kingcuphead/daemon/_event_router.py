"""Routes events between the components of a daemon."""

import dataclasses
import time

from kingcuphead import budgets, configuration, membership, placement, queueing
from kingcuphead.daemon._ledger_task import LedgerTask
from kingcuphead.daemon._membership_task import MembershipTask
from kingcuphead.daemon._peer_router import PeerRouter
from kingcuphead.daemon._scheduler_task import SchedulerTask
from kingcuphead.daemon._target_poller import TargetPoller
from kingcuphead.pipeline import Gateway
from kingcuphead.records import Configuration
from kingcuphead.storage import Instance, InstanceState
from kingcuphead.verdict import Reason

#: Service under which the platform's instance list contains the daemons.
DAEMON_SERVICE = "kingcuphead"

#: Freshness at which the configuration may be used.
_USABLE = frozenset({configuration.Freshness.FRESH, configuration.Freshness.STALE})

#: Target state for each instance state of the platform's list.
_TARGET_STATES = {
    InstanceState.LIVE: placement.TargetState.LIVE,
    InstanceState.LEAVING: placement.TargetState.LEAVING,
    InstanceState.TERMINATED: placement.TargetState.LEAVING,
}


@dataclasses.dataclass(frozen=True, slots=True)
class Components:
    """The components of a daemon that exchange events."""

    #: Task that owns the credit, the holds and the bills.
    ledger: LedgerTask
    #: Task that owns the queue and the target states.
    scheduler: SchedulerTask
    #: Task that owns the membership view.
    membership: MembershipTask
    #: Task that keeps the configuration up to date.
    configuration: configuration.ConfigurationTask
    #: Request path from a caller to a target.
    gateway: Gateway
    #: Task that polls the load and probes the health of targets.
    target_poller: TargetPoller
    #: Messages from and to peers.
    peer_router: PeerRouter


class EventRouter:
    """Passes the events of each component to the components that depend on them."""

    def __init__(self) -> None:
        self._components: Components | None = None
        self._configuration = Configuration()
        #: Whether the daemon is shutting down and refuses requests.
        self.is_closing = False
        #: Instances of the daemon service in the last instance list, in any state.
        self.instances: tuple[Instance, ...] = ()
        #: Configuration revision last reported by each peer, by instance name.
        self.revisions: dict[str, int] = {}
        #: Members of the membership view, this daemon included.
        self.view: tuple[membership.Member, ...] = ()
        #: Freshness last reported by the configuration task.
        self.freshness = configuration.Freshness.MISSING

    @property
    def components(self) -> Components:
        """The connected components; raises AssertionError before `connect`."""
        if self._components is None:
            raise AssertionError("the components are not connected yet")
        return self._components

    @property
    def active_configuration(self) -> Configuration:
        """Active configuration; an empty one until a revision is applied."""
        return self._configuration

    def connect(self, components: Components) -> None:
        """Set the components; called once, before any event."""
        self._components = components

    def close(self) -> None:
        """Refuse all requests that arrive from now on."""
        self.is_closing = True
        self.components.gateway.close(Reason.SHUTTING_DOWN)

    def tick_membership(self) -> None:
        """Post a tick, and the time at which the configuration was last confirmed."""
        confirmed_at = self.components.configuration.watcher.confirmed_at
        if confirmed_at is not None:
            self.components.membership.post(membership.RevisionConfirmed(confirmed_at))
        self.components.membership.post(membership.Ticked())

    def is_current(self) -> bool:
        """Return whether the active configuration is fresh enough to serve requests."""
        watcher = self.components.configuration.watcher
        return watcher.assess(time.monotonic()) in _USABLE

    def handle_instances(self, instances: tuple[Instance, ...]) -> None:
        """Pass a new instance list to the membership and the scheduler."""
        self.instances = tuple(i for i in instances if i.service == DAEMON_SERVICE)
        self.components.membership.post(membership.InstancesListed(self.instances))
        for instance in instances:
            if instance.name in self._configuration.targets:
                self._report_target(
                    instance.name,
                    _TARGET_STATES[instance.state],
                    placement.StateSource.LIST,
                )

    def handle_membership_effect(self, effect: membership.Effect) -> None:
        """Handle an effect of the membership state machine."""
        match effect:
            case membership.ViewChanged():
                self._apply_view(effect)
            case membership.NoticeReceived(notice):
                self._handle_notice(notice)
            case membership.PeerRevisionSeen(name, revision, confirmed_at):
                self.revisions[name] = revision
                self.components.configuration.post(
                    configuration.PeerRevision(name, revision, confirmed_at)
                )

    def handle_configuration_notice(
        self, notice: configuration.ConfigurationNotice
    ) -> None:
        """Handle a notice of the configuration task."""
        match notice:
            case configuration.ConfigurationApplied(applied):
                self._configuration = applied
                self.components.gateway.apply(applied)
                self.components.target_poller.apply(applied)
                self.components.scheduler.post(queueing.ConfigurationApplied(applied))
                self.components.membership.post(
                    membership.RevisionApplied(applied.revision)
                )
            case configuration.FreshnessChanged(freshness):
                self.freshness = freshness

    def raise_notice(self, notice: membership.NoticeRaised) -> None:
        """Raise a notice that gossip spreads to every peer."""
        self.components.membership.post(notice)

    def _apply_view(self, view: membership.ViewChanged) -> None:
        members = view.members
        self.view = members
        self.components.peer_router.set_addresses((*members, *view.leaving))
        budget_members = tuple(
            budgets.Member(m.name, m.zone, m.region) for m in members
        )
        self.components.ledger.post(budgets.ViewChanged(budget_members))
        self.components.scheduler.post(queueing.DaemonsCounted(max(1, len(members))))

    def _handle_notice(self, notice: membership.Notice) -> None:
        kinds = membership.NoticeKind
        peer = placement.StateSource.PEER
        scheduler = self.components.scheduler
        match notice.kind:
            case kinds.TARGET_LEAVING:
                self._report_target(notice.subject, placement.TargetState.LEAVING, peer)
            case kinds.TARGET_SILENT:
                self._report_target(notice.subject, placement.TargetState.SILENT, peer)
            case kinds.TARGET_CRASHED:
                scheduler.post(
                    queueing.PeerCrashReported(notice.subject, notice.detail)
                )
            case kinds.FINGERPRINT_QUARANTINED:
                remaining = float(notice.detail or 0)
                scheduler.post(
                    queueing.PeerQuarantineReported(notice.subject, remaining)
                )
            case kinds.FINGERPRINT_RELEASED:
                scheduler.post(queueing.PeerReleaseReported(notice.subject))

    def _report_target(
        self, target: str, state: placement.TargetState, source: placement.StateSource
    ) -> None:
        self.components.scheduler.post(queueing.TargetReported(target, state, source))

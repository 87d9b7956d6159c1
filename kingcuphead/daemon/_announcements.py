"""Which task learns what from which other one."""

import dataclasses
import time

from kingcuphead import budgets, configuration, membership, placement, queueing
from kingcuphead.daemon._ledger_task import LedgerTask
from kingcuphead.daemon._membership_task import MembershipTask
from kingcuphead.daemon._peer_router import PeerRouter
from kingcuphead.daemon._scheduler_task import SchedulerTask
from kingcuphead.daemon._target_watch import TargetWatch
from kingcuphead.pipeline import Gateway
from kingcuphead.records import Configuration
from kingcuphead.storage import Instance, InstanceState
from kingcuphead.verdict import Reason

#: Name of the daemons' own service in the platform's instance list.
DAEMON_SERVICE = "kingcuphead"

_USABLE = frozenset({configuration.Freshness.FRESH, configuration.Freshness.STALE})

_TARGET_STATES = {
    InstanceState.LIVE: placement.TargetState.LIVE,
    InstanceState.LEAVING: placement.TargetState.LEAVING,
    InstanceState.TERMINATED: placement.TargetState.LEAVING,
}


@dataclasses.dataclass(frozen=True, slots=True)
class Parts:
    """The tasks of a daemon that tell each other things."""

    #: Credit and bills.
    ledger: LedgerTask
    #: Queue and targets.
    scheduler: SchedulerTask
    #: Peers.
    membership: MembershipTask
    #: Configuration.
    configuration: configuration.ConfigurationTask
    #: The request path.
    gateway: Gateway
    #: Load and health of targets.
    targets: TargetWatch
    #: Messages to peers.
    router: PeerRouter


class Announcements:
    """Hands what one task found to the tasks that need it."""

    def __init__(self) -> None:
        self._parts: Parts | None = None
        self._configuration = Configuration()
        #: Whether the daemon shuts down.
        self.closing = False
        #: Instances of the daemons' own service, as last listed.
        self.instances: tuple[Instance, ...] = ()
        #: Configuration revisions that peers last told, by instance name.
        self.revisions: dict[str, int] = {}
        #: Members in the view, this daemon included.
        self.view: tuple[membership.Member, ...] = ()
        #: How sure the daemon is of its configuration.
        self.freshness = configuration.Freshness.MISSING

    @property
    def parts(self) -> Parts:
        """The tasks, once they are connected."""
        if self._parts is None:
            raise AssertionError("announcements before the tasks were connected")
        return self._parts

    @property
    def applied(self) -> Configuration:
        """The configuration in force."""
        return self._configuration

    def connect(self, parts: Parts) -> None:
        """Name the tasks."""
        self._parts = parts

    def close(self) -> None:
        """Refuse callers from now on."""
        self.closing = True
        self.parts.gateway.close(Reason.SHUTTING_DOWN)

    def tick_membership(self) -> None:
        """Let the membership act, and tell it how fresh the configuration is."""
        confirmed_at = self.parts.configuration.watcher.confirmed_at
        if confirmed_at is not None:
            self.parts.membership.post(membership.RevisionConfirmed(confirmed_at))
        self.parts.membership.post(membership.Ticked())

    def is_current(self) -> bool:
        """Return whether the configuration in force may be used now."""
        watcher = self.parts.configuration.watcher
        return watcher.assess(time.monotonic()) in _USABLE

    def take_instances(self, instances: tuple[Instance, ...]) -> None:
        """Take the platform's instance list."""
        self.instances = tuple(i for i in instances if i.service == DAEMON_SERVICE)
        self.parts.membership.post(membership.InstancesListed(self.instances))
        for instance in instances:
            if instance.name in self._configuration.targets:
                self._report_target(
                    instance.name,
                    _TARGET_STATES[instance.state],
                    placement.SignSource.LIST,
                )

    def take_membership(self, effect: membership.Effect) -> None:
        """Take what the membership machine found."""
        match effect:
            case membership.ViewChanged():
                self._take_view(effect)
            case membership.NoticeLearnt(notice):
                self._take_notice(notice)
            case membership.PeerRevisionSeen(name, revision, confirmed_at):
                self.revisions[name] = revision
                self.parts.configuration.post(
                    configuration.PeerRevision(name, revision, confirmed_at)
                )

    def take_configuration(self, notice: configuration.ConfigurationNotice) -> None:
        """Take what the configuration's watcher found."""
        match notice:
            case configuration.ConfigurationApplied(applied):
                self._configuration = applied
                self.parts.gateway.apply(applied)
                self.parts.targets.apply(applied)
                self.parts.scheduler.post(queueing.ConfigurationApplied(applied))
                self.parts.membership.post(membership.RevisionApplied(applied.revision))
            case configuration.FreshnessChanged(freshness):
                self.freshness = freshness

    def tell(self, notice: membership.NoticeRaised) -> None:
        """Pass a fact on to every peer."""
        self.parts.membership.post(notice)

    def _take_view(self, view: membership.ViewChanged) -> None:
        members = view.members
        self.view = members
        self.parts.router.locate((*members, *view.leaving))
        known = tuple(budgets.Member(m.name, m.zone, m.region) for m in members)
        self.parts.ledger.post(budgets.ViewChanged(known))
        self.parts.scheduler.post(queueing.PeersCounted(max(1, len(members))))

    def _take_notice(self, notice: membership.Notice) -> None:
        kinds = membership.NoticeKind
        peer = placement.SignSource.PEER
        scheduler = self.parts.scheduler
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
        self, target: str, state: placement.TargetState, source: placement.SignSource
    ) -> None:
        self.parts.scheduler.post(queueing.TargetReported(target, state, source))

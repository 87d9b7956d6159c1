"""Messages of the membership protocol."""

import dataclasses
import enum
from typing import TypeAlias

from kingcuphead.storage import Instance


class MemberStatus(enum.StrEnum):
    """Status of a daemon in a membership view."""

    #: Listed as live or replying to probes.
    ALIVE = "alive"
    #: Has not acknowledged a probe in time; stays in the view until it is dead.
    SUSPECT = "suspect"
    #: Shuts down gracefully.
    LEAVING = "leaving"
    #: Unresponsive for longer than the timeouts allow, or listed as terminated.
    DEAD = "dead"


#: Precedence of two updates about a member with equal incarnation and counter.
STATUS_RANK = {
    MemberStatus.ALIVE: 0,
    MemberStatus.SUSPECT: 1,
    MemberStatus.LEAVING: 2,
    MemberStatus.DEAD: 3,
}


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """A daemon as represented in membership views and heartbeats."""

    #: Instance name; never reused for another instance.
    name: str
    #: IP address and port for peer messages, `IP:PORT`.
    address: str
    #: Availability zone of the instance.
    zone: str
    #: Region of the availability zone.
    region: str
    #: Wall-clock start time of the process in nanoseconds; increases with each start.
    incarnation: int
    #: Version of the status within an incarnation. Only the member itself increments
    #: it, to refute a suspicion.
    counter: int
    #: Status of the member as of this incarnation and counter.
    status: MemberStatus

    @property
    def precedence(self) -> tuple[int, int, int]:
        """Sort key of updates: one with a higher key replaces one with a lower key."""
        return self.incarnation, self.counter, STATUS_RANK[self.status]

    def with_changes(self, **changes: object) -> "Member":
        """Return a copy with the named fields replaced."""
        return dataclasses.replace(self, **changes)  # type: ignore[arg-type]


class NoticeKind(enum.StrEnum):
    """Event that a notice reports."""

    #: The target named by the subject shuts down.
    TARGET_LEAVING = "target_leaving"
    #: The target named by the subject is unresponsive.
    TARGET_SILENT = "target_silent"
    #: A target crashed on a request; the subject is the request's fingerprint, the
    #: detail the name of the target.
    TARGET_CRASHED = "target_crashed"
    #: Requests with the subject as fingerprint are quarantined; the detail is the
    #: remaining time in seconds.
    FINGERPRINT_QUARANTINED = "fingerprint_quarantined"
    #: The quarantine of the fingerprint in the subject has ended.
    FINGERPRINT_RELEASED = "fingerprint_released"


@dataclasses.dataclass(frozen=True, slots=True)
class Notice:
    """An event that gossip spreads to every daemon."""

    #: Event that the notice reports.
    kind: NoticeKind
    #: Name of the target or fingerprint of the request, depending on the kind.
    subject: str
    #: Additional value for kinds that have one, else empty.
    detail: str
    #: Daemon that raised the notice, as `NAME/INCARNATION`.
    origin: str
    #: Sequence number; it increases with each notice that the origin raises.
    number: int


@dataclasses.dataclass(frozen=True, slots=True)
class Heartbeat:
    """Probe that requests an acknowledgement and carries gossip."""

    #: Sequence number of the probe, unique for the sender's incarnation.
    number: int
    #: The sender with its current status.
    sender: Member
    #: Configuration revision in force on the sender.
    revision: int
    #: Updates about members that changed recently.
    members: tuple[Member, ...]
    #: Notices raised recently by any daemon.
    notices: tuple[Notice, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class HeartbeatAcknowledged:
    """Reply to a heartbeat, with gossip from the receiver of the probe."""

    #: Sequence number of the acknowledged probe.
    number: int
    #: The sender of the acknowledgement with its current status.
    sender: Member
    #: Configuration revision in force on the sender.
    revision: int
    #: Updates about members that changed recently.
    members: tuple[Member, ...]
    #: Notices raised recently by any daemon.
    notices: tuple[Notice, ...]
    #: Seconds since the sender last confirmed that its revision is the newest one in
    #: the store; None if it has not.
    confirmed_age: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class InstancesListed:
    """Local event: a poll of the platform returned its list of instances."""

    #: Instances of the daemon service, in any state.
    instances: tuple[Instance, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class NoticeRaised:
    """Local event: a task of this daemon raises a notice for all daemons."""

    #: Event that the notice will report.
    kind: NoticeKind
    #: Name of the target or fingerprint of the request, depending on the kind.
    subject: str
    #: Additional value for kinds that have one, else empty.
    detail: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class RevisionApplied:
    """Local event: another configuration revision is in force on this daemon."""

    #: Number of the configuration revision in force.
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class RevisionConfirmed:
    """Local event: the configuration revision in force was the newest one."""

    #: Monotonic time in seconds at which it was confirmed to be the newest one.
    confirmed_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class LeaveStarted:
    """Local event: the graceful shutdown of this daemon starts."""


@dataclasses.dataclass(frozen=True, slots=True)
class Ticked:
    """Local event: periodic tick that triggers probes and timeouts."""


Input: TypeAlias = (
    Heartbeat
    | HeartbeatAcknowledged
    | InstancesListed
    | NoticeRaised
    | RevisionApplied
    | RevisionConfirmed
    | LeaveStarted
    | Ticked
)


@dataclasses.dataclass(frozen=True, slots=True)
class SendToAddress:
    """Effect: send a message to a peer."""

    #: IP address and port of the peer, `IP:PORT`.
    address: str
    #: Heartbeat or acknowledgement to send.
    message: Heartbeat | HeartbeatAcknowledged


@dataclasses.dataclass(frozen=True, slots=True)
class ViewChanged:
    """Effect: the membership view changed."""

    #: Members with status alive or suspect, this daemon included, sorted by name.
    members: tuple[Member, ...]
    #: Members that are shutting down, sorted by name: they accept no new work, but
    #: still need replies to messages that they sent.
    leaving: tuple[Member, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class NoticeReceived:
    """Effect: a notice from a peer was received for the first time."""

    #: The notice as its origin raised it.
    notice: Notice


@dataclasses.dataclass(frozen=True, slots=True)
class PeerRevisionSeen:
    """Effect: a peer reported its configuration revision in a message."""

    #: Instance name of the peer.
    name: str
    #: Configuration revision in force on the peer.
    revision: int
    #: Local monotonic time in seconds at which that revision was confirmed to be the
    #: newest one; None without a confirmation.
    confirmed_at: float | None = None


Effect: TypeAlias = SendToAddress | ViewChanged | NoticeReceived | PeerRevisionSeen

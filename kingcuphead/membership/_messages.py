"""Messages of the membership protocol."""

import dataclasses
import enum
from typing import TypeAlias

from kingcuphead.storage import Instance


class MemberStatus(enum.StrEnum):
    """What a daemon believes of a peer."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    DEAD = "dead"


#: Precedence between two beliefs of the same incarnation and counter.
STATUS_RANK = {
    MemberStatus.ALIVE: 0,
    MemberStatus.SUSPECT: 1,
    MemberStatus.LEAVING: 2,
    MemberStatus.DEAD: 3,
}


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """One daemon as its peers know it."""

    #: Instance name, unique for ever.
    name: str
    #: IP number and port for peer messages.
    address: str
    #: Availability zone.
    zone: str
    #: Region.
    region: str
    #: Start of the process in nanoseconds of wall time; grows at each start.
    incarnation: int
    #: Raised by the member itself to refute a suspicion.
    counter: int
    #: Belief about the member.
    status: MemberStatus

    @property
    def precedence(self) -> tuple[int, int, int]:
        """Order of beliefs: a higher one replaces a lower one."""
        return self.incarnation, self.counter, STATUS_RANK[self.status]

    def with_changes(self, **changes: object) -> "Member":
        """Return a copy with the named fields replaced."""
        return dataclasses.replace(self, **changes)  # type: ignore[arg-type]


class NoticeKind(enum.StrEnum):
    """Subject of a notice."""

    TARGET_LEAVING = "target_leaving"
    TARGET_SILENT = "target_silent"
    TARGET_CRASHED = "target_crashed"
    FINGERPRINT_QUARANTINED = "fingerprint_quarantined"
    FINGERPRINT_RELEASED = "fingerprint_released"


@dataclasses.dataclass(frozen=True, slots=True)
class Notice:
    """A short fact that every daemon should learn soon."""

    #: What the notice is about.
    kind: NoticeKind
    #: Name of the target, or fingerprint of the request.
    subject: str
    #: A second name where the kind needs one, else empty.
    detail: str
    #: Daemon that found the fact.
    origin: str
    #: Number of the notice at its origin, in order of finding.
    number: int


@dataclasses.dataclass(frozen=True, slots=True)
class Heartbeat:
    """A probe that asks for an acknowledgement and carries recent facts."""

    #: Number of the probe at its sender.
    number: int
    #: The sender, as it describes itself.
    sender: Member
    #: Configuration revision in force at the sender.
    revision: int
    #: Recently changed members.
    members: tuple[Member, ...]
    #: Recent notices.
    notices: tuple[Notice, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class HeartbeatAcknowledged:
    """The answer to a heartbeat, with the receiver's own recent facts."""

    #: Number of the probe that it answers.
    number: int
    #: The sender of this answer, as it describes itself.
    sender: Member
    #: Configuration revision in force at the sender.
    revision: int
    #: Recently changed members.
    members: tuple[Member, ...]
    #: Recent notices.
    notices: tuple[Notice, ...]
    #: Seconds since the sender's revision was certainly the newest; None if unknown.
    confirmed_age: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class InstancesListed:
    """The platform's list of daemon instances was read."""

    #: Entries of the daemons' own service.
    instances: tuple[Instance, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class NoticeRaised:
    """A task of this daemon found a fact for everyone."""

    #: What the notice is about.
    kind: NoticeKind
    #: Name of the target, or fingerprint of the request.
    subject: str
    #: A second name where the kind needs one, else empty.
    detail: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class RevisionApplied:
    """The configuration revision in force here changed."""

    #: Revision now in force here.
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class RevisionConfirmed:
    """The revision in force here was certainly the newest one."""

    #: Monotonic time in seconds at which it was.
    confirmed_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class LeaveStarted:
    """The daemon begins its graceful shutdown."""


@dataclasses.dataclass(frozen=True, slots=True)
class Ticked:
    """Time passed."""


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
    """Send a message to a peer."""

    #: IP number and port of the peer.
    address: str
    #: The message.
    message: Heartbeat | HeartbeatAcknowledged


@dataclasses.dataclass(frozen=True, slots=True)
class ViewChanged:
    """The set of usable peers changed."""

    #: Members believed alive or suspect, this daemon included, by name.
    members: tuple[Member, ...]
    #: Members that leave: they take nothing new, but still wait for answers.
    leaving: tuple[Member, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class NoticeLearnt:
    """A peer found a fact that was not known here."""

    #: The fact.
    notice: Notice


@dataclasses.dataclass(frozen=True, slots=True)
class PeerRevisionSeen:
    """A peer has a configuration revision in force."""

    #: Name of the peer.
    name: str
    #: Its revision.
    revision: int
    #: Monotonic time here at which that revision was certainly the newest, or None.
    confirmed_at: float | None = None


Effect: TypeAlias = SendToAddress | ViewChanged | NoticeLearnt | PeerRevisionSeen

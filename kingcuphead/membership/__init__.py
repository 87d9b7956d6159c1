"""Which daemons are there: failure detection and dissemination of short facts."""

from kingcuphead.membership._membership import Membership, MembershipSettings
from kingcuphead.membership._messages import (
    Effect,
    Heartbeat,
    HeartbeatAcknowledged,
    Input,
    InstancesListed,
    LeaveStarted,
    Member,
    MemberStatus,
    Notice,
    NoticeKind,
    NoticeLearnt,
    NoticeRaised,
    PeerRevisionSeen,
    RevisionApplied,
    SendToAddress,
    Ticked,
    ViewChanged,
)

__all__ = [
    "Effect",
    "Heartbeat",
    "HeartbeatAcknowledged",
    "Input",
    "InstancesListed",
    "LeaveStarted",
    "Member",
    "MemberStatus",
    "Membership",
    "MembershipSettings",
    "Notice",
    "NoticeKind",
    "NoticeLearnt",
    "NoticeRaised",
    "PeerRevisionSeen",
    "RevisionApplied",
    "SendToAddress",
    "Ticked",
    "ViewChanged",
]

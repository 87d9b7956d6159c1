"""Queueing: admission, ordering and rejection of requests.

`Scheduler` combines queueing with placement and quarantine. It does no I/O: the
daemon sends it messages and carries out its effects.
"""

from kingcuphead.queueing._messages import (
    AnswerFinished,
    AnswerStarted,
    ConfigurationApplied,
    DaemonsCounted,
    Effect,
    LoadReported,
    PeerCrashReported,
    PeerQuarantineReported,
    PeerReleaseReported,
    ProbeAnswered,
    QuarantineReleased,
    RequestArrived,
    RequestPlaced,
    RequestRejected,
    RequestWithdrawn,
    SchedulerMessage,
    TargetReported,
    Ticked,
)
from kingcuphead.queueing._scheduler import Scheduler
from kingcuphead.queueing._settings import QueueingSettings, SchedulerSettings
from kingcuphead.queueing._snapshot import (
    QueueSnapshot,
    SchedulerSnapshot,
    TargetSnapshot,
)

__all__ = [
    "AnswerFinished",
    "AnswerStarted",
    "ConfigurationApplied",
    "DaemonsCounted",
    "Effect",
    "LoadReported",
    "PeerCrashReported",
    "PeerQuarantineReported",
    "PeerReleaseReported",
    "ProbeAnswered",
    "QuarantineReleased",
    "QueueSnapshot",
    "QueueingSettings",
    "RequestArrived",
    "RequestPlaced",
    "RequestRejected",
    "RequestWithdrawn",
    "Scheduler",
    "SchedulerMessage",
    "SchedulerSettings",
    "SchedulerSnapshot",
    "TargetReported",
    "TargetSnapshot",
    "Ticked",
]

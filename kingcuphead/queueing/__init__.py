"""Queueing: when each request runs, or why it is refused.

`Scheduler` joins queueing with placement and quarantine; the daemon drives it.
"""

from kingcuphead.queueing._messages import (
    AnswerFinished,
    AnswerStarted,
    ConfigurationApplied,
    CrashLearnt,
    Effect,
    LoadReported,
    PeersCounted,
    ProbeAnswered,
    QuarantineLearnt,
    QuarantineReleased,
    ReleaseLearnt,
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
    "CrashLearnt",
    "Effect",
    "LoadReported",
    "PeersCounted",
    "ProbeAnswered",
    "QuarantineLearnt",
    "QuarantineReleased",
    "ReleaseLearnt",
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

"""Messages that drive the scheduler, and what it asks for."""

import dataclasses
from typing import Any, TypeAlias

from kingcuphead.placement import (
    AnswerResult,
    ProbeRequested,
    SignSource,
    TargetState,
    TargetStateChanged,
)
from kingcuphead.quarantine import (
    CrashReported,
    FingerprintQuarantined,
    FingerprintReleased,
)
from kingcuphead.records import Configuration
from kingcuphead.verdict import Execution, Verdict


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigurationApplied:
    """A configuration came in force."""

    #: The whole configuration.
    configuration: Configuration


@dataclasses.dataclass(frozen=True, slots=True)
class RequestArrived:
    """A request wants a target; sent again, with `excluded`, for each retry."""

    #: Identity of the request, the same on a retry.
    request_id: str
    #: Organisation that sent it.
    organisation: str
    #: Name of its work class.
    work_class: str
    #: Service that does the work.
    service: str
    #: Model that it names; empty for plain services.
    model: str
    #: Size in tokens, the unit of fairness between organisations.
    size: int
    #: Time by which the first token is of use, in seconds.
    deadline: float
    #: Requests with the same key share a cached prefix; empty for none.
    affinity_key: bytes | str = b""
    #: Fingerprint of its content, the same whenever a caller sends it again.
    fingerprint: str = ""
    #: Whether it may run more than once.
    is_idempotent: bool = True
    #: Targets that must not run it, such as the one that just failed.
    excluded: tuple[str, ...] = ()
    #: What earlier attempts have done; it goes into the verdict of a refusal.
    execution: Execution = Execution.NOT_RUN

    @property
    def is_retry(self) -> bool:
        """Whether an earlier attempt failed."""
        return bool(self.excluded)

    def with_changes(self, **changes: Any) -> "RequestArrived":
        """Return a copy with the named fields replaced."""
        return dataclasses.replace(self, **changes)


@dataclasses.dataclass(frozen=True, slots=True)
class RequestWithdrawn:
    """The caller hung up.

    A waiting request is forgotten. One in flight keeps its slot until
    `AnswerFinished`, because its target still works on it.
    """

    #: Identity of the request.
    request_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerStarted:
    """The first token of an answer came."""

    #: Identity of the request.
    request_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerFinished:
    """An attempt ended; sent exactly once for each `RequestPlaced`."""

    #: Identity of the request.
    request_id: str
    #: Target that ran it.
    target: str
    #: How it ended.
    result: AnswerResult


@dataclasses.dataclass(frozen=True, slots=True)
class LoadReported:
    """A target published its load, some time ago."""

    #: Target concerned.
    target: str
    #: Requests that ran.
    running: int
    #: Requests that waited inside the target.
    waiting: int
    #: The time that the report describes, in seconds on this daemon's clock.
    observed_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class TargetReported:
    """A source made a statement about a target."""

    #: Target concerned.
    target: str
    #: The state it is said to be in.
    state: TargetState
    #: Who said so.
    source: SignSource


@dataclasses.dataclass(frozen=True, slots=True)
class ProbeAnswered:
    """A probe ended; optional on timeout, which the scheduler sees itself."""

    #: Target probed.
    target: str
    #: Whether it is healthy and takes new work.
    is_healthy: bool


@dataclasses.dataclass(frozen=True, slots=True)
class PeersCounted:
    """The number of daemons that share the targets changed."""

    #: Daemons, this one included.
    daemons: int


@dataclasses.dataclass(frozen=True, slots=True)
class CrashLearnt:
    """A peer saw a target die under a fingerprint."""

    #: Fingerprint of the request.
    fingerprint: str
    #: Target that died.
    target: str


@dataclasses.dataclass(frozen=True, slots=True)
class QuarantineLearnt:
    """A peer quarantined a fingerprint."""

    #: Fingerprint of the request.
    fingerprint: str
    #: Seconds until it is let go.
    remaining: float


@dataclasses.dataclass(frozen=True, slots=True)
class QuarantineReleased:
    """An operator let a fingerprint go here; peers are to be told."""

    #: Fingerprint of the request.
    fingerprint: str


@dataclasses.dataclass(frozen=True, slots=True)
class ReleaseLearnt:
    """An operator let a fingerprint go at a peer."""

    #: Fingerprint of the request.
    fingerprint: str


@dataclasses.dataclass(frozen=True, slots=True)
class Ticked:
    """Time passed; sent a few times a second."""


#: What the scheduler receives.
SchedulerMessage: TypeAlias = (
    ConfigurationApplied
    | RequestArrived
    | RequestWithdrawn
    | AnswerStarted
    | AnswerFinished
    | LoadReported
    | TargetReported
    | ProbeAnswered
    | PeersCounted
    | CrashLearnt
    | QuarantineLearnt
    | QuarantineReleased
    | ReleaseLearnt
    | Ticked
)


@dataclasses.dataclass(frozen=True, slots=True)
class RequestPlaced:
    """A request goes to a target now."""

    #: Identity of the request.
    request_id: str
    #: Target that runs it.
    target: str
    #: Its IP number and port.
    address: str
    #: Priority for engines that honour one; 0 goes first.
    priority: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class RequestRejected:
    """A request is answered with a verdict now."""

    #: Identity of the request.
    request_id: str
    #: What the caller is told.
    verdict: Verdict


#: What the scheduler asks of the daemon.
Effect: TypeAlias = (
    RequestPlaced
    | RequestRejected
    | ProbeRequested
    | TargetStateChanged
    | CrashReported
    | FingerprintQuarantined
    | FingerprintReleased
)

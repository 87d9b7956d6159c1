"""Messages that the scheduler receives, and effects that it returns."""

import dataclasses
from typing import Any, TypeAlias

from kingcuphead.placement import (
    AnswerResult,
    ProbeRequested,
    StateSource,
    TargetState,
    TargetStateChanged,
)
from kingcuphead.quarantine import QuarantineEffect
from kingcuphead.records import Configuration
from kingcuphead.verdict import Execution, Verdict


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigurationApplied:
    """A new configuration revision was applied."""

    #: Complete configuration.
    configuration: Configuration


@dataclasses.dataclass(frozen=True, slots=True)
class RequestArrived:
    """A request needs a target; sent again, with `excluded`, for each retry."""

    #: Id of the request; a retry keeps it.
    request_id: str
    #: Name of the organisation that sent it.
    organisation: str
    #: Name of its work class.
    work_class: str
    #: Name of the service that runs it.
    service: str
    #: Requested model; empty for plain services.
    model: str
    #: Size in tokens, the unit of fairness between organisations.
    size: int
    #: Time by which the first token has to arrive, in seconds on the monotonic clock.
    deadline: float
    #: Key of the shared prefix, equal for requests that share it; empty for none.
    affinity_key: bytes | str = b""
    #: Fingerprint of its content, equal when a caller retries it.
    fingerprint: str = ""
    #: Whether it may be executed more than once.
    is_idempotent: bool = True
    #: Targets that must not run it, such as those on which it failed.
    excluded: tuple[str, ...] = ()
    #: Execution by earlier attempts; reported in the verdict of a refusal.
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
    """The caller disconnected.

    A waiting request is removed. One in flight keeps its slot until
    `AnswerFinished`, because its target still runs it.
    """

    #: Id of the request.
    request_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerStarted:
    """The first token of an answer was received."""

    #: Id of the request.
    request_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerFinished:
    """An attempt ended; sent exactly once for each `RequestPlaced`."""

    #: Id of the request.
    request_id: str
    #: Target that ran it.
    target: str
    #: Result of the attempt.
    result: AnswerResult


@dataclasses.dataclass(frozen=True, slots=True)
class LoadReported:
    """A target reported its load as of `observed_at`."""

    #: Name of the target.
    target: str
    #: Number of requests that were running.
    running: int
    #: Number of requests that were queued inside the target.
    waiting: int
    #: Time of the observation, in seconds on this daemon's monotonic clock.
    observed_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class TargetReported:
    """A source reported the state of a target."""

    #: Name of the target.
    target: str
    #: Reported state.
    state: TargetState
    #: Source of the report.
    source: StateSource


@dataclasses.dataclass(frozen=True, slots=True)
class ProbeAnswered:
    """A probe ended; not required for a timeout, which the scheduler detects itself."""

    #: Probed target.
    target: str
    #: Whether it is healthy and accepts new requests.
    is_healthy: bool


@dataclasses.dataclass(frozen=True, slots=True)
class DaemonsCounted:
    """The number of daemons that share the targets changed."""

    #: Number of daemons, this one included.
    daemons: int


@dataclasses.dataclass(frozen=True, slots=True)
class PeerCrashReported:
    """A peer attributed a crash of a target to a fingerprint."""

    #: Fingerprint of the request.
    fingerprint: str
    #: Target that crashed.
    target: str


@dataclasses.dataclass(frozen=True, slots=True)
class PeerQuarantineReported:
    """A peer quarantined a fingerprint."""

    #: Fingerprint of the request.
    fingerprint: str
    #: Seconds until the quarantine ends.
    remaining: float


@dataclasses.dataclass(frozen=True, slots=True)
class QuarantineReleased:
    """An operator released a fingerprint on this daemon; peers are notified."""

    #: Fingerprint of the request.
    fingerprint: str


@dataclasses.dataclass(frozen=True, slots=True)
class PeerReleaseReported:
    """An operator released a fingerprint on a peer."""

    #: Fingerprint of the request.
    fingerprint: str


@dataclasses.dataclass(frozen=True, slots=True)
class Ticked:
    """Periodic timer message; sent several times per second."""


#: Messages that the scheduler receives.
SchedulerMessage: TypeAlias = (
    ConfigurationApplied
    | RequestArrived
    | RequestWithdrawn
    | AnswerStarted
    | AnswerFinished
    | LoadReported
    | TargetReported
    | ProbeAnswered
    | DaemonsCounted
    | PeerCrashReported
    | PeerQuarantineReported
    | QuarantineReleased
    | PeerReleaseReported
    | Ticked
)


@dataclasses.dataclass(frozen=True, slots=True)
class RequestPlaced:
    """The daemon has to send a request to a target."""

    #: Id of the request.
    request_id: str
    #: Target that runs it.
    target: str
    #: IP address and port of the target.
    address: str
    #: Priority for engines that support one; lower values run first.
    priority: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class RequestRejected:
    """The daemon has to answer a request with a verdict."""

    #: Id of the request.
    request_id: str
    #: Reason, execution and retry delay for the caller.
    verdict: Verdict


#: Effects that the daemon carries out.
Effect: TypeAlias = (
    RequestPlaced
    | RequestRejected
    | ProbeRequested
    | TargetStateChanged
    | QuarantineEffect
)

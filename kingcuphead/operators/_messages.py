"""What operators read, and why a command of theirs was refused."""

import dataclasses
import enum
from collections.abc import Mapping
from typing import Any

import msgspec

from kingcuphead.records import RecordName


class FaultKind(enum.StrEnum):
    """Class of a refusal; decides the HTTP status and the tool's exit code."""

    #: The command can't be carried out as it is.
    INVALID = "invalid"
    #: The token is missing or wrong.
    UNAUTHENTICATED = "unauthenticated"
    #: There is no such thing.
    NOT_FOUND = "not_found"
    #: Another change came first.
    CONFLICT = "conflict"
    #: The command does not say which revision it was made for.
    PRECONDITION_REQUIRED = "precondition_required"
    #: The platform was not reached; the command had no effect.
    UNAVAILABLE = "unavailable"
    #: The command may or may not have taken effect; repeat it under the same id.
    UNCERTAIN = "uncertain"


#: HTTP status of each kind of fault.
STATUSES = {
    FaultKind.INVALID: 422,
    FaultKind.UNAUTHENTICATED: 401,
    FaultKind.NOT_FOUND: 404,
    FaultKind.CONFLICT: 409,
    FaultKind.PRECONDITION_REQUIRED: 428,
    FaultKind.UNAVAILABLE: 503,
    FaultKind.UNCERTAIN: 504,
}


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeView:
    """One accepted change."""

    #: Revision that it made.
    revision: int
    #: Id that the operator's tool gave it.
    id: str
    #: Operator.
    author: str
    #: Seconds of the Unix epoch.
    at: float
    #: Records that it wrote or removed.
    touched: tuple[RecordName, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class OperatorFault:
    """Why a command was refused."""

    #: Class of the refusal.
    kind: FaultKind
    #: The sentence that the operator reads.
    message: str
    #: The change that came first, for a conflict.
    other: ChangeView | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class RecordView:
    """A record as it is in force."""

    #: Revision that wrote it.
    revision: int
    #: The record as it was written.
    record: msgspec.Raw


@dataclasses.dataclass(frozen=True, slots=True)
class AcceptedView:
    """A command that took effect."""

    #: Id of the command.
    id: str
    #: Revision that it made.
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class PeerView:
    """What this daemon knows of another one."""

    #: Instance name.
    instance: str
    #: Availability zone.
    zone: str
    #: Revision that it last told.
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class RevisionView:
    """Which configuration is in force here and elsewhere."""

    #: Instance name of this daemon.
    instance: str
    #: Revision in force here; None before the first one.
    revision: int | None
    #: How sure the daemon is of it.
    freshness: str
    #: Seconds since it was confirmed as the newest one.
    confirmed_age: float | None
    #: Highest schema version that the fleet accepts.
    schema: int
    #: Other daemons.
    peers: tuple[PeerView, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class QuarantineView:
    """A request that is not run any more."""

    #: Fingerprint of the request.
    fingerprint: str
    #: Targets that it crashed.
    targets: tuple[str, ...]
    #: Seconds until it is let go.
    remaining: float


@dataclasses.dataclass(frozen=True, slots=True)
class TargetView:
    """A target as this daemon sees it."""

    #: Name.
    name: str
    #: Service that it belongs to.
    service: str
    #: IP number and port.
    address: str
    #: State in force, for example "live" or "leaving".
    state: str
    #: Requests that this daemon runs there.
    in_flight: int
    #: Most requests that this daemon runs there at once.
    limit: int


@dataclasses.dataclass(frozen=True, slots=True)
class Explanation:
    """What became of one request."""

    #: Request id.
    request_id: str
    #: Daemon that took it.
    instance: str
    #: Organisation; "" if it was not known.
    organisation: str
    #: Work class; "" if it was not known.
    work_class: str
    #: Whether it ran: "ran", "not_run" or "may_have_run".
    execution: str
    #: Reason of a refusal; "" for an answer.
    reason: str
    #: The sentence that the caller read; "" for an answer.
    message: str
    #: Seconds that each phase took.
    phases: Mapping[str, float]


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimView:
    """A call that runs at most once."""

    #: Organisation that made it.
    organisation: str
    #: Idempotency key.
    key: str
    #: State, for example "held" or "recorded".
    state: str
    #: Request id of the attempt.
    request_id: str
    #: Daemon that made the attempt.
    instance: str
    #: Seconds of the Unix epoch.
    claimed_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class ReadyView:
    """Whether callers may be sent here."""

    #: Whether the daemon takes requests.
    ready: bool
    #: Freshness of the configuration.
    freshness: str
    #: Why it takes none, or what it lacks while it takes some.
    reasons: tuple[str, ...] = ()


def encode_view(view: Any) -> bytes:
    """Encode what an operator reads as JSON."""
    return msgspec.json.encode(view)

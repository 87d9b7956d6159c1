"""Response bodies of the operators' API and the faults it reports."""

import dataclasses
import enum
from collections.abc import Mapping
from typing import Any

import msgspec

from kingcuphead.records import RecordName


class FaultKind(enum.StrEnum):
    """Kind of fault; determines the HTTP status and the tool's exit code."""

    #: The command is malformed or violates a rule.
    INVALID = "invalid"
    #: The operator's token is missing or invalid.
    UNAUTHENTICATED = "unauthenticated"
    #: The path, record, budget or other object does not exist.
    NOT_FOUND = "not_found"
    #: A record has changed since the revision that the command expects.
    CONFLICT = "conflict"
    #: The command does not state the revision that it is based on.
    PRECONDITION_REQUIRED = "precondition_required"
    #: The platform was unavailable; the command had no effect.
    UNAVAILABLE = "unavailable"
    #: The command may have taken effect; retry it with the same id.
    UNCERTAIN = "uncertain"


#: HTTP status for each kind of fault.
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
    """An accepted change of the configuration."""

    #: Revision that the change created.
    revision: int
    #: Idempotency key of the change.
    id: str
    #: Operator who made the change.
    author: str
    #: Time of the change, in seconds since the Unix epoch.
    at: float
    #: Records that the change wrote or deleted.
    touched: tuple[RecordName, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class OperatorFault:
    """Error response to an operator's request."""

    #: Kind of fault, which determines the HTTP status.
    kind: FaultKind
    #: Message for the operator, in English.
    message: str
    #: The conflicting change, if the kind is `CONFLICT` and it is known.
    other: ChangeView | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class RecordView:
    """A configuration record in force."""

    #: Revision that wrote the record.
    revision: int
    #: The stored JSON of the record.
    record: msgspec.Raw


@dataclasses.dataclass(frozen=True, slots=True)
class AcceptedView:
    """Response to a committed change."""

    #: Idempotency key of the change.
    id: str
    #: Revision that the change created.
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class PeerView:
    """Configuration revision of a peer, as it last reported it."""

    #: Instance name of the peer.
    instance: str
    #: Availability zone of the peer.
    zone: str
    #: Last revision that the peer reported; 0 if none.
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class RevisionView:
    """Configuration revisions of this daemon and its peers."""

    #: Instance name of this daemon.
    instance: str
    #: Revision in force on this daemon; None before the first one is loaded.
    revision: int | None
    #: Freshness of the configuration: "missing", "fresh", "stale" or "expired".
    freshness: str
    #: Seconds since the revision was confirmed as the newest; None if it never was.
    confirmed_age: float | None
    #: Highest schema version of records that the configuration accepts; 0 before the
    #: first revision is loaded.
    schema: int
    #: Revisions of the peers.
    peers: tuple[PeerView, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class QuarantineView:
    """A quarantined request fingerprint."""

    #: Fingerprint of the request's content.
    fingerprint: str
    #: Names of the targets that the request crashed.
    targets: tuple[str, ...]
    #: Time until the quarantine expires, in seconds.
    remaining: float


@dataclasses.dataclass(frozen=True, slots=True)
class TargetView:
    """State and load of a target on this daemon."""

    #: Target name.
    name: str
    #: Name of the service that the target belongs to.
    service: str
    #: IP address and port.
    address: str
    #: State: "live", "checking", "leaving" or "silent".
    state: str
    #: Requests of this daemon that are in flight to the target.
    in_flight: int
    #: Current limit on this daemon's requests in flight to the target; the top work
    #: class may exceed it.
    limit: int


@dataclasses.dataclass(frozen=True, slots=True)
class Explanation:
    """Outcome of one arrival of a request; each retry of the caller has its own."""

    #: Request id from the caller, or generated if that is absent or invalid.
    request_id: str
    #: Instance name of the daemon that processed the request.
    instance: str
    #: Organisation name; "" if it was not identified.
    organisation: str
    #: Work class; "" if it was not determined.
    work_class: str
    #: Whether the request was executed: "ran", "not_run" or "may_have_run".
    execution: str
    #: Reason of a refusal; "" if the request was answered.
    reason: str
    #: Error message sent to the caller; "" if the request was answered.
    message: str
    #: Duration of each phase, in seconds.
    phases: Mapping[str, float]


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimView:
    """Idempotency claim of a call that is executed at most once."""

    #: Name of the organisation that made the call.
    organisation: str
    #: Idempotency key of the call.
    key: str
    #: State of the claim, for example "held" or "recorded".
    state: str
    #: Request id of the attempt that holds the claim.
    request_id: str
    #: Instance name of the daemon that made the attempt.
    instance: str
    #: Time of the claim, in seconds since the Unix epoch.
    claimed_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class ReadyView:
    """Readiness of a daemon to accept requests of callers."""

    #: Whether the daemon accepts requests.
    ready: bool
    #: Freshness of the configuration: "missing", "fresh", "stale" or "expired".
    freshness: str
    #: Reasons why the daemon is not ready, or why it is degraded while ready.
    reasons: tuple[str, ...] = ()


def encode_view(view: Any) -> bytes:
    """Encode a response body as JSON."""
    return msgspec.json.encode(view)

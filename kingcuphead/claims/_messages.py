"""Messages and effects of the claim state machines."""

import dataclasses
import hashlib
from typing import TypeAlias

from expression import Result

from kingcuphead.claims._rows import ClaimRow, Held, RecordedAnswer, make_row_key
from kingcuphead.storage import CommitOutcome, PlatformFault, Row, Transaction
from kingcuphead.verdict import Verdict


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimRequest:
    """A call that must run at most once, and one attempt at it."""

    #: Organisation that makes the call.
    organisation: str
    #: Idempotency key of the call, chosen by the caller.
    key: str
    #: Digest of the HTTP request, from `fingerprint_request`.
    fingerprint: str
    #: Unique id of this attempt; never reused.
    attempt: str
    #: Request id of this attempt, shown to operators.
    request_id: str
    #: Name of the instance that makes the attempt.
    instance: str
    #: Wall time in seconds since the epoch. Shown to operators, and used only for the
    #: retry hint and the retention period of the claim.
    claimed_at: float

    @property
    def row_key(self) -> str:
        """Key of the claim's row in the table."""
        return make_row_key(self.organisation, self.key)

    @property
    def row(self) -> ClaimRow:
        """Value of the claim's row while this attempt holds it."""
        return ClaimRow(
            attempt=self.attempt,
            fingerprint=self.fingerprint,
            instance=self.instance,
            request_id=self.request_id,
            claimed_at=self.claimed_at,
            state=Held(),
        )


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimSettings:
    """Timeouts, retry delays and limits of claims."""

    #: Seconds after which acquiring a claim times out and the call is refused.
    acquire_timeout: float = 2.0
    #: Seconds before the first retry of a table operation; doubles with each retry.
    initial_backoff: float = 0.1
    #: Maximum seconds between two retries of a table operation.
    max_backoff: float = 30.0
    #: Seconds for which the write of a final state is retried.
    close_timeout: float = 24 * 3600.0
    #: Maximum number of final states not yet written; at this limit new calls are
    #: refused before anything is written.
    max_pending_closings: int = 64
    #: Seconds after which a refused caller may retry.
    retry_after: float = 2.0
    #: Age in seconds from which a held claim is assumed never to be closed, so that
    #: a refusal gives no retry time.
    stale_after: float = 600.0

    def with_changes(self, **changes: object) -> "ClaimSettings":
        """Return a copy with the named fields replaced."""
        return dataclasses.replace(self, **changes)  # type: ignore[arg-type]


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimStarted:
    """The attempt starts to acquire its claim."""


@dataclasses.dataclass(frozen=True, slots=True)
class CommitReplied:
    """The commit of a transaction ended."""

    #: The outcome, which may be unknown.
    outcome: CommitOutcome


@dataclasses.dataclass(frozen=True, slots=True)
class ReadReplied:
    """The read of rows ended."""

    #: The rows that exist, or the fault of the read.
    result: Result[tuple[Row, ...], PlatformFault]


@dataclasses.dataclass(frozen=True, slots=True)
class BackoffElapsed:
    """The requested delay has passed."""


@dataclasses.dataclass(frozen=True, slots=True)
class DispatchStarted:
    """The first byte of the call is about to be sent; the call may run from then on."""


@dataclasses.dataclass(frozen=True, slots=True)
class DispatchFailed:
    """No byte of the call reached a target, as after a refused connection."""


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerReceived:
    """The target answered the call."""

    #: Answer to record for replay.
    answer: RecordedAnswer


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerNotReceived:
    """The call was sent, and its answer was lost."""

    #: Cause, in English.
    cause: str


@dataclasses.dataclass(frozen=True, slots=True)
class ReleaseRequested:
    """The attempt releases its claim, as the call was not dispatched."""


Message: TypeAlias = (
    ClaimStarted
    | CommitReplied
    | ReadReplied
    | BackoffElapsed
    | DispatchStarted
    | DispatchFailed
    | AnswerReceived
    | AnswerNotReceived
    | ReleaseRequested
)


@dataclasses.dataclass(frozen=True, slots=True)
class CommitRequested:
    """Commit a transaction; the reply is `CommitReplied`."""

    #: Transaction with the version checks of its rows.
    transaction: Transaction


@dataclasses.dataclass(frozen=True, slots=True)
class ReadRequested:
    """Read rows; the reply is `ReadReplied`."""

    #: Keys of the rows to read.
    keys: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class BackoffRequested:
    """Wait before a retry; the reply is `BackoffElapsed`."""

    #: Delay in seconds.
    seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimGranted:
    """The attempt holds the claim; it alone may dispatch the call."""

    #: Version of the claim's row, checked when the claim is closed.
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimReplayed:
    """The call has already run; its recorded answer is replayed."""

    #: Answer recorded by the earlier attempt.
    answer: RecordedAnswer


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimRefused:
    """The call is refused; this attempt never dispatches it."""

    #: Verdict returned to the caller.
    verdict: Verdict
    #: Whether a write of this attempt may still take effect and must be undone.
    is_uncertain: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimClosed:
    """The claim is closed; the attempt needs no further write."""


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimUnresolved:
    """The final state couldn't be written; the claim stays held."""

    #: Cause, in English.
    cause: str


IoEffect: TypeAlias = CommitRequested | ReadRequested | BackoffRequested
Decision: TypeAlias = ClaimGranted | ClaimReplayed | ClaimRefused
ClosingOutcome: TypeAlias = ClaimClosed | ClaimUnresolved
Effect: TypeAlias = IoEffect | Decision | ClosingOutcome


def fingerprint_request(method: str, path: str, body: bytes) -> str:
    """Return the digest that identifies repeated requests of one call.

    Parameters
    ----------
    method : str
        HTTP method.
    path : str
        Path and query, including the service.
    body : bytes
        Complete body.
    """
    digest = hashlib.sha256()
    for part in (method.encode(), path.encode(), body):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()

"""Messages of the claim machines."""

import dataclasses
import hashlib
from typing import TypeAlias

from expression import Result

from kingcuphead.claims._rows import ClaimRow, Held, RecordedAnswer, make_row_key
from kingcuphead.storage import CommitOutcome, PlatformFault, Row, Transaction
from kingcuphead.verdict import Verdict


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimRequest:
    """A call that must run at most once, and the attempt to run it."""

    #: Organisation that makes the call.
    organisation: str
    #: Idempotency key that the caller gave.
    key: str
    #: Digest of the request, from `fingerprint_request`.
    fingerprint: str
    #: Unique id of this attempt, never used for another.
    attempt: str
    #: Request id of the attempt.
    request_id: str
    #: Instance that makes the attempt.
    instance: str
    #: Wall time in seconds since the epoch; shown to operators, decides nothing
    #: but the retry hint.
    claimed_at: float

    @property
    def row_key(self) -> str:
        """Key of the claim's row."""
        return make_row_key(self.organisation, self.key)

    @property
    def row(self) -> ClaimRow:
        """The row that claims the call for this attempt."""
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
    """Times of a claim."""

    #: Seconds after which a claim with lost replies is refused.
    resolve_timeout: float = 2.0
    #: Seconds of the first pause before the table is asked again.
    first_pause: float = 0.1
    #: Seconds of the longest pause.
    longest_pause: float = 30.0
    #: Seconds for which an outcome or a release is tried again.
    close_timeout: float = 24 * 3600.0
    #: Most outcomes and releases that wait for the table; with more, calls are
    #: refused before anything is written.
    max_closings: int = 64
    #: Seconds after which a refused caller may come back.
    retry_after: float = 2.0
    #: Seconds after which a held claim isn't expected to be closed any more.
    stale_after: float = 600.0

    def with_changes(self, **changes: object) -> "ClaimSettings":
        """Return a copy with the named fields replaced."""
        return dataclasses.replace(self, **changes)  # type: ignore[arg-type]


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimStarted:
    """The call arrived."""


@dataclasses.dataclass(frozen=True, slots=True)
class CommitAnswered:
    """The table answered a transaction."""

    #: The answer.
    outcome: CommitOutcome


@dataclasses.dataclass(frozen=True, slots=True)
class ReadAnswered:
    """The table answered a read."""

    #: The rows, or why there are none.
    result: Result[tuple[Row, ...], PlatformFault]


@dataclasses.dataclass(frozen=True, slots=True)
class PauseEnded:
    """The pause asked for is over."""


@dataclasses.dataclass(frozen=True, slots=True)
class DispatchStarted:
    """The call is about to be sent; from here on it may run."""


@dataclasses.dataclass(frozen=True, slots=True)
class DispatchFailed:
    """No byte of the call reached a target, for example a refused connection."""


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerObserved:
    """The target answered the call."""

    #: The answer to record.
    answer: RecordedAnswer


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerMissed:
    """The call was sent and its answer will not come."""

    #: Cause, in English.
    cause: str


@dataclasses.dataclass(frozen=True, slots=True)
class ReleaseRequested:
    """The call will not be dispatched by this attempt."""


Message: TypeAlias = (
    ClaimStarted
    | CommitAnswered
    | ReadAnswered
    | PauseEnded
    | DispatchStarted
    | DispatchFailed
    | AnswerObserved
    | AnswerMissed
    | ReleaseRequested
)


@dataclasses.dataclass(frozen=True, slots=True)
class CommitRequested:
    """Commit a transaction and report with `CommitAnswered`."""

    #: The transaction.
    transaction: Transaction


@dataclasses.dataclass(frozen=True, slots=True)
class ReadRequested:
    """Read rows and report with `ReadAnswered`."""

    #: Keys of the rows.
    keys: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class PauseRequested:
    """Wait and report with `PauseEnded`."""

    #: Length in seconds.
    seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimGranted:
    """The attempt, and no other, may dispatch the call."""

    #: Version of the claim's row.
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimReplayed:
    """The call ran before; this is the answer to it."""

    #: The recorded answer.
    answer: RecordedAnswer


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimRefused:
    """The attempt never dispatches the call."""

    #: What the caller is told.
    verdict: Verdict
    #: Whether a write of this attempt may still take effect and has to be undone.
    is_uncertain: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimClosed:
    """The table holds what became of the call."""


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimUnresolved:
    """What became of the call couldn't be written; the claim is still held."""

    #: Cause, in English.
    cause: str


Query: TypeAlias = CommitRequested | ReadRequested | PauseRequested
Decision: TypeAlias = ClaimGranted | ClaimReplayed | ClaimRefused
Ending: TypeAlias = ClaimClosed | ClaimUnresolved
Effect: TypeAlias = Query | Decision | Ending


def fingerprint_request(method: str, path: str, body: bytes) -> str:
    """Return the digest by which two tries of one call are recognised.

    Parameters
    ----------
    method : str
        HTTP method.
    path : str
        Path and query, service included.
    body : bytes
        Whole body.
    """
    digest = hashlib.sha256()
    for part in (method.encode(), path.encode(), body):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()

"""Acquires the claim of a call, or decides why the call is refused."""

from kingcuphead.claims._backoff import Backoff
from kingcuphead.claims._messages import (
    BackoffElapsed,
    BackoffRequested,
    ClaimGranted,
    ClaimRefused,
    ClaimReplayed,
    ClaimRequest,
    ClaimSettings,
    CommitReplied,
    CommitRequested,
    Decision,
    IoEffect,
    ReadReplied,
    ReadRequested,
)
from kingcuphead.claims._refusals import (
    refuse_claimed,
    refuse_other_request,
    refuse_unreachable,
    refuse_unreadable,
)
from kingcuphead.claims._rows import (
    ClaimRow,
    Held,
    RecordedAnswer,
    Released,
    decode_claim,
    encode_claim,
)
from kingcuphead.invariants import ensure
from kingcuphead.storage import (
    ABSENT,
    Check,
    CommitOutcome,
    Committed,
    Conflict,
    Put,
    Row,
    Transaction,
    Unavailable,
    Unknown,
)


class Acquisition:
    """State machine that acquires the claim of a call.

    The claim is one conditional write, which creates the row or replaces a row that
    another attempt released. If the outcome of the write is unknown, the row is read
    back; the attempt id in it shows whether the write took effect.

    Parameters
    ----------
    request : ClaimRequest
        The call and this attempt.
    settings : ClaimSettings
        Timeouts and retry delays.
    now : float
        Monotonic time in seconds.
    """

    def __init__(
        self, request: ClaimRequest, settings: ClaimSettings, now: float
    ) -> None:
        self._request = request
        self._settings = settings
        self._may_have_written = False
        self._backoff = Backoff(
            now + settings.acquire_timeout,
            settings.initial_backoff,
            settings.max_backoff,
        )

    def start(self) -> IoEffect:
        """Return the write that creates the claim."""
        return self._write(ABSENT)

    def receive(
        self, message: CommitReplied | ReadReplied | BackoffElapsed, now: float
    ) -> IoEffect | Decision:
        """Handle a reply of the table and return the next effect or the decision."""
        match message:
            case CommitReplied(outcome):
                return self._handle_commit(outcome, now)
            case ReadReplied(result):
                return self._handle_read(result.default_value(None), now)
            case BackoffElapsed():
                return self._read_back()

    def _handle_commit(self, outcome: CommitOutcome, now: float) -> IoEffect | Decision:
        match outcome:
            case Committed(version):
                return ClaimGranted(version)
            case Conflict(rows):
                return self._handle_rows(rows, now)
            case Unknown():
                self._may_have_written = True
                return self._read_back()
            case Unavailable():
                return (
                    self._back_off(now)
                    if self._may_have_written
                    else self._refuse_unavailable()
                )

    def _handle_read(
        self, rows: tuple[Row, ...] | None, now: float
    ) -> IoEffect | Decision:
        if rows is None:
            return self._back_off(now)
        return self._handle_rows(rows, now)

    def _handle_rows(self, rows: tuple[Row, ...], now: float) -> IoEffect | Decision:
        if not rows:
            return self._retry_write(ABSENT, now)
        decoded = decode_claim(rows[0])
        if decoded.is_error():
            return ClaimRefused(refuse_unreadable(decoded.error.cause))
        return self._handle_claim(decoded.ok, rows[0].version, now)

    def _handle_claim(
        self, claim: ClaimRow, version: int, now: float
    ) -> IoEffect | Decision:
        if claim.attempt == self._request.attempt:
            return self._handle_own_claim(claim, version)
        if claim.fingerprint != self._request.fingerprint:
            return ClaimRefused(refuse_other_request())
        match claim.state:
            case Released():
                return self._retry_write(version, now)
            case RecordedAnswer(body=body) as answer if body is not None:
                return ClaimReplayed(answer)
            case _:
                refusal = refuse_claimed(claim, self._request, self._settings)
                return ClaimRefused(refusal)

    def _handle_own_claim(self, claim: ClaimRow, version: int) -> Decision:
        ensure(self._may_have_written, "a claim's attempt id is unique", evidence=claim)
        if claim.state == Held():
            return ClaimGranted(version)
        refusal = refuse_claimed(claim, self._request, self._settings)
        return ClaimRefused(refusal)

    def _retry_write(self, version: int, now: float) -> IoEffect | Decision:
        return (
            self._refuse_unavailable()
            if self._backoff.is_expired(now)
            else self._write(version)
        )

    def _back_off(self, now: float) -> IoEffect | Decision:
        if self._backoff.is_expired(now):
            return self._refuse_unavailable()
        effect = BackoffRequested(self._backoff.delay)
        self._backoff = self._backoff.with_longer_delay()
        return effect

    def _refuse_unavailable(self) -> Decision:
        return ClaimRefused(refuse_unreachable(self._settings), self._may_have_written)

    def _read_back(self) -> IoEffect:
        return ReadRequested((self._request.row_key,))

    def _write(self, version: int) -> IoEffect:
        key = self._request.row_key
        claim = Put(key, encode_claim(self._request.row))
        return CommitRequested(Transaction((Check(key, version),), (claim,)))

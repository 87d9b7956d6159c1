"""Claims a call in the table, or finds out why it can't be claimed."""

from kingcuphead.claims._messages import (
    ClaimGranted,
    ClaimRefused,
    ClaimReplayed,
    ClaimRequest,
    ClaimSettings,
    CommitAnswered,
    CommitRequested,
    Decision,
    PauseEnded,
    PauseRequested,
    Query,
    ReadAnswered,
    ReadRequested,
)
from kingcuphead.claims._pauses import Patience
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
    """State machine from the arrival of a call to a decision about it.

    The claim is one conditional write: of an absent row, or of a row that
    another attempt has released. After a lost reply the row is read back, and
    the attempt's id in it tells whether the write took effect.

    Parameters
    ----------
    request : ClaimRequest
        The call and the attempt.
    settings : ClaimSettings
        Times of claims.
    now : float
        Time in seconds.
    """

    def __init__(
        self, request: ClaimRequest, settings: ClaimSettings, now: float
    ) -> None:
        self._request = request
        self._settings = settings
        self._is_uncertain = False
        self._patience = Patience(
            now + settings.resolve_timeout,
            settings.first_pause,
            settings.longest_pause,
        )

    def start(self) -> Query:
        """Return the first write."""
        return self._write(ABSENT)

    def receive(
        self, message: CommitAnswered | ReadAnswered | PauseEnded, now: float
    ) -> Query | Decision:
        """Take an answer of the table and return what to do next."""
        match message:
            case CommitAnswered(outcome):
                return self._judge_commit(outcome, now)
            case ReadAnswered(result):
                return self._judge_read(result.default_value(None), now)
            case PauseEnded():
                return self._read_back()

    def _judge_commit(self, outcome: CommitOutcome, now: float) -> Query | Decision:
        match outcome:
            case Committed(version):
                return ClaimGranted(version)
            case Conflict(rows):
                return self._judge_rows(rows, now)
            case Unknown():
                self._is_uncertain = True
                return self._read_back()
            case Unavailable():
                return self._pause(now) if self._is_uncertain else self._give_up()

    def _judge_read(self, rows: tuple[Row, ...] | None, now: float) -> Query | Decision:
        if rows is None:
            return self._pause(now)
        return self._judge_rows(rows, now)

    def _judge_rows(self, rows: tuple[Row, ...], now: float) -> Query | Decision:
        if not rows:
            return self._try_again(ABSENT, now)
        decoded = decode_claim(rows[0])
        if decoded.is_error():
            return ClaimRefused(refuse_unreadable(decoded.error.cause))
        return self._judge_claim(decoded.ok, rows[0].version, now)

    def _judge_claim(
        self, claim: ClaimRow, version: int, now: float
    ) -> Query | Decision:
        if claim.attempt == self._request.attempt:
            return self._judge_own(claim, version)
        if claim.fingerprint != self._request.fingerprint:
            return ClaimRefused(refuse_other_request())
        match claim.state:
            case Released():
                return self._try_again(version, now)
            case RecordedAnswer(body=body) as answer if body is not None:
                return ClaimReplayed(answer)
            case _:
                refusal = refuse_claimed(claim, self._request, self._settings)
                return ClaimRefused(refusal)

    def _judge_own(self, claim: ClaimRow, version: int) -> Decision:
        ensure(self._is_uncertain, "a claim's attempt id is unique", evidence=claim)
        if claim.state == Held():
            return ClaimGranted(version)
        refusal = refuse_claimed(claim, self._request, self._settings)
        return ClaimRefused(refusal)

    def _try_again(self, version: int, now: float) -> Query | Decision:
        return self._give_up() if self._patience.is_over(now) else self._write(version)

    def _pause(self, now: float) -> Query | Decision:
        if self._patience.is_over(now):
            return self._give_up()
        pause = PauseRequested(self._patience.pause)
        self._patience = self._patience.with_longer_pause()
        return pause

    def _give_up(self) -> Decision:
        return ClaimRefused(refuse_unreachable(self._settings), self._is_uncertain)

    def _read_back(self) -> Query:
        return ReadRequested((self._request.row_key,))

    def _write(self, version: int) -> Query:
        key = self._request.row_key
        claim = Put(key, encode_claim(self._request.row))
        return CommitRequested(Transaction((Check(key, version),), (claim,)))

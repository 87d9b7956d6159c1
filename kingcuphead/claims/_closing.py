"""Writes into the table what became of a claimed call."""

from kingcuphead.claims._messages import (
    ClaimClosed,
    ClaimSettings,
    ClaimUnresolved,
    CommitAnswered,
    CommitRequested,
    Ending,
    PauseEnded,
    PauseRequested,
    Query,
    ReadAnswered,
    ReadRequested,
)
from kingcuphead.claims._pauses import Patience
from kingcuphead.claims._rows import (
    ClaimRow,
    Held,
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


class Closing:
    """State machine that moves a claim from held to its final state.

    Parameters
    ----------
    row_key : str
        Key of the claim's row.
    target : ClaimRow
        The row in its final state.
    version : int, optional
        Version of the row as this attempt wrote it, or None if it isn't known
        whether that write took effect.
    settings : ClaimSettings
        Times of claims.
    now : float
        Time in seconds.
    """

    def __init__(
        self,
        row_key: str,
        target: ClaimRow,
        version: int | None,
        settings: ClaimSettings,
        now: float,
    ) -> None:
        self._row_key = row_key
        self._target = target
        self._version = version
        self._patience = Patience(
            now + settings.close_timeout, settings.first_pause, settings.longest_pause
        )

    def start(self) -> Query:
        """Return the first write, or the read that has to go before it."""
        return self._read() if self._version is None else self._write(self._version)

    def receive(
        self, message: CommitAnswered | ReadAnswered | PauseEnded, now: float
    ) -> Query | Ending:
        """Take an answer of the table and return what to do next."""
        match message:
            case CommitAnswered(outcome):
                return self._judge_commit(outcome, now)
            case ReadAnswered(result):
                rows = result.default_value(None)
                return self._pause(now) if rows is None else self._judge_rows(rows)
            case PauseEnded():
                return self._read()

    def _judge_commit(self, outcome: CommitOutcome, now: float) -> Query | Ending:
        match outcome:
            case Committed():
                return ClaimClosed()
            case Conflict(rows):
                return self._judge_rows(rows)
            case Unknown() | Unavailable():
                return self._pause(now)

    def _judge_rows(self, rows: tuple[Row, ...]) -> Query | Ending:
        if not rows:
            return self._judge_absent()
        decoded = decode_claim(rows[0])
        if decoded.is_error():
            return ClaimUnresolved(decoded.error.cause)
        return self._judge_claim(decoded.ok, rows[0].version)

    def _judge_absent(self) -> Query | Ending:
        # The claim's own write may still be under way; the released row that
        # takes its place makes the write fail when it arrives.
        if isinstance(self._target.state, Released):
            return self._write(ABSENT)
        return ClaimUnresolved("the claim's row was removed")

    def _judge_claim(self, claim: ClaimRow, version: int) -> Query | Ending:
        if claim.attempt != self._target.attempt:
            return self._judge_other(claim, version)
        if claim.state == Held():
            return self._write(version)
        # Either an earlier write of ours took effect, or an operator's did.
        return ClaimClosed()

    def _judge_other(self, claim: ClaimRow, version: int) -> Query | Ending:
        is_release = isinstance(self._target.state, Released)
        ensure(is_release, "a dispatched call keeps its claim", evidence=claim)
        if isinstance(claim.state, Released):
            # The claim's own write may still be under way to replace this row.
            return self._write(version)
        return ClaimClosed()

    def _pause(self, now: float) -> Query | Ending:
        if self._patience.is_over(now):
            return ClaimUnresolved("the platform's table is unavailable")
        pause = PauseRequested(self._patience.pause)
        self._patience = self._patience.with_longer_pause()
        return pause

    def _read(self) -> Query:
        return ReadRequested((self._row_key,))

    def _write(self, version: int) -> Query:
        write = Put(self._row_key, encode_claim(self._target))
        return CommitRequested(Transaction((Check(self._row_key, version),), (write,)))

"""Writes the final state of a claim into the table."""

from kingcuphead.claims._backoff import Backoff
from kingcuphead.claims._messages import (
    BackoffElapsed,
    BackoffRequested,
    ClaimClosed,
    ClaimSettings,
    ClaimUnresolved,
    ClosingOutcome,
    CommitReplied,
    CommitRequested,
    IoEffect,
    ReadReplied,
    ReadRequested,
)
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
    final_row : ClaimRow
        The row in its final state.
    version : int, optional
        Version of the row as this attempt wrote it, or None if it is unknown
        whether that write took effect.
    settings : ClaimSettings
        Timeouts and retry delays.
    now : float
        Monotonic time in seconds.
    """

    def __init__(
        self,
        row_key: str,
        final_row: ClaimRow,
        version: int | None,
        settings: ClaimSettings,
        now: float,
    ) -> None:
        self._row_key = row_key
        self._final_row = final_row
        self._version = version
        self._backoff = Backoff(
            now + settings.close_timeout, settings.initial_backoff, settings.max_backoff
        )

    def start(self) -> IoEffect:
        """Return the final write, or a read if the row's version is unknown."""
        return self._read() if self._version is None else self._write(self._version)

    def receive(
        self, message: CommitReplied | ReadReplied | BackoffElapsed, now: float
    ) -> IoEffect | ClosingOutcome:
        """Handle a reply of the table and return the next effect or the outcome."""
        match message:
            case CommitReplied(outcome):
                return self._handle_commit(outcome, now)
            case ReadReplied(result):
                rows = result.default_value(None)
                return self._back_off(now) if rows is None else self._handle_rows(rows)
            case BackoffElapsed():
                return self._read()

    def _handle_commit(
        self, outcome: CommitOutcome, now: float
    ) -> IoEffect | ClosingOutcome:
        match outcome:
            case Committed():
                return ClaimClosed()
            case Conflict(rows):
                return self._handle_rows(rows)
            case Unknown() | Unavailable():
                return self._back_off(now)

    def _handle_rows(self, rows: tuple[Row, ...]) -> IoEffect | ClosingOutcome:
        if not rows:
            return self._handle_missing_row()
        decoded = decode_claim(rows[0])
        if decoded.is_error():
            return ClaimUnresolved(decoded.error.cause)
        return self._handle_claim(decoded.ok, rows[0].version)

    def _handle_missing_row(self) -> IoEffect | ClosingOutcome:
        # The write of the claim may still be in flight and requires an absent row.
        # Creating the released row first makes it fail when it arrives.
        if isinstance(self._final_row.state, Released):
            return self._write(ABSENT)
        return ClaimUnresolved("the claim's row was removed")

    def _handle_claim(self, claim: ClaimRow, version: int) -> IoEffect | ClosingOutcome:
        if claim.attempt != self._final_row.attempt:
            return self._handle_other_claim(claim, version)
        if claim.state == Held():
            return self._write(version)
        # An earlier write of this attempt took effect, or an operator resolved it.
        return ClaimClosed()

    def _handle_other_claim(
        self, claim: ClaimRow, version: int
    ) -> IoEffect | ClosingOutcome:
        is_release = isinstance(self._final_row.state, Released)
        ensure(is_release, "a dispatched call keeps its claim", evidence=claim)
        if isinstance(claim.state, Released):
            # The write of the claim may still be in flight and expects this version.
            # Replacing the row makes it fail when it arrives.
            return self._write(version)
        return ClaimClosed()

    def _back_off(self, now: float) -> IoEffect | ClosingOutcome:
        if self._backoff.is_expired(now):
            return ClaimUnresolved("the platform's table is unavailable")
        effect = BackoffRequested(self._backoff.delay)
        self._backoff = self._backoff.with_longer_delay()
        return effect

    def _read(self) -> IoEffect:
        return ReadRequested((self._row_key,))

    def _write(self, version: int) -> IoEffect:
        write = Put(self._row_key, encode_claim(self._final_row))
        return CommitRequested(Transaction((Check(self._row_key, version),), (write,)))

"""Deletes claims whose retention period has passed."""

import dataclasses
from collections.abc import Iterator
from typing import TypeAlias

from kingcuphead.claims._rows import (
    CLAIM_KEY_PREFIX,
    RecordedAnswer,
    Released,
    Resolved,
    decode_claim,
)
from kingcuphead.storage import (
    Check,
    CommitOutcome,
    Committed,
    Delete,
    Row,
    ScanPage,
    Transaction,
)


@dataclasses.dataclass(frozen=True, slots=True)
class RetentionSettings:
    """Retention period of claims and pace of a sweep."""

    #: Seconds from `claimed_at` during which a repeated idempotency key is detected.
    retention_period: float = 72 * 3600.0
    #: Maximum number of rows scanned, and deleted, at once.
    page_size: int = 200
    #: Seconds to wait after each page.
    page_interval: float = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class ScanRequested:
    """Scan a page of claims; the reply is `ScanReplied`."""

    #: Prefix of the row keys.
    prefix: str
    #: Row key after which the page starts, or None for the first page.
    after: str | None
    #: Maximum number of rows in the page.
    limit: int


@dataclasses.dataclass(frozen=True, slots=True)
class DeletionRequested:
    """Commit a transaction of deletions; the reply is `DeletionReplied`."""

    #: Transaction that deletes nothing if any of its rows has changed.
    transaction: Transaction


@dataclasses.dataclass(frozen=True, slots=True)
class ScanReplied:
    """The scan of a page ended."""

    #: The page, or None if the scan failed.
    page: ScanPage | None


@dataclasses.dataclass(frozen=True, slots=True)
class DeletionReplied:
    """The commit of the deletions ended."""

    #: The outcome, which may be unknown.
    outcome: CommitOutcome


@dataclasses.dataclass(frozen=True, slots=True)
class SweepEnded:
    """The sweep ended: every claim was scanned, or a scan failed."""

    #: Number of rows deleted by committed transactions.
    removed: int
    #: Whether every page was scanned.
    is_complete: bool


SweepEffect: TypeAlias = ScanRequested | DeletionRequested | SweepEnded


class Sweep:
    """State machine of one sweep over all claims.

    Held claims and claims with a lost answer are kept until an operator resolves
    them: the call may have run, or a paused instance may still dispatch it.
    Concurrent sweeps are safe, as every deletion is conditional on the version that
    was read.

    Parameters
    ----------
    settings : RetentionSettings
        Retention period and page size.
    wall_time : float
        Start of the sweep, in seconds since the epoch.
    """

    def __init__(self, settings: RetentionSettings, wall_time: float) -> None:
        self._settings = settings
        self._cutoff = wall_time - settings.retention_period
        self._resume_after: str | None = None
        self._pending_deletions = 0
        self._removed = 0

    def start(self) -> SweepEffect:
        """Return the scan of the first page."""
        return self._request_page()

    def receive(self, message: ScanReplied | DeletionReplied) -> SweepEffect:
        """Handle a reply of the table and return the next effect."""
        match message:
            case ScanReplied(page):
                return self._handle_page(page)
            case DeletionReplied(outcome):
                # The next sweep retries rows that were not deleted.
                if isinstance(outcome, Committed):
                    self._removed += self._pending_deletions
                return self._continue_scan()

    def _handle_page(self, page: ScanPage | None) -> SweepEffect:
        if page is None:
            return SweepEnded(self._removed, is_complete=False)
        self._resume_after = page.resume_after
        expired = tuple(self._select_expired(page.rows))
        if not expired:
            return self._continue_scan()
        self._pending_deletions = len(expired)
        checks = tuple(Check(row.key, row.version) for row in expired)
        deletions = tuple(Delete(row.key) for row in expired)
        return DeletionRequested(Transaction(checks, deletions))

    def _select_expired(self, rows: tuple[Row, ...]) -> Iterator[Row]:
        for row in rows:
            match decode_claim(row).default_value(None):
                case None:
                    continue
                case claim if claim.claimed_at >= self._cutoff:
                    continue
                case claim if isinstance(
                    claim.state, RecordedAnswer | Released | Resolved
                ):
                    yield row

    def _continue_scan(self) -> SweepEffect:
        if self._resume_after is None:
            return SweepEnded(self._removed, is_complete=True)
        return self._request_page()

    def _request_page(self) -> SweepEffect:
        limit = self._settings.page_size
        return ScanRequested(CLAIM_KEY_PREFIX, self._resume_after, limit)

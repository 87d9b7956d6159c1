"""Removes the claims of calls that nobody repeats any more."""

import dataclasses
from collections.abc import Iterator
from typing import TypeAlias

from kingcuphead.claims._rows import (
    CLAIMS_FOLDER,
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
    """How long claims are kept, and how fast old ones are looked for."""

    #: Seconds for which a key is remembered.
    keep_for: float = 72 * 3600.0
    #: Most rows read, and removed, at once.
    page_size: int = 200
    #: Seconds between two pages.
    page_interval: float = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class PageWanted:
    """Scan a page of claims and report with `PageScanned`."""

    #: Common start of the keys.
    prefix: str
    #: Key after which the page starts.
    after: str | None
    #: Most rows in the page.
    limit: int


@dataclasses.dataclass(frozen=True, slots=True)
class RemovalWanted:
    """Commit a transaction and report with `RemovalAnswered`."""

    #: The transaction; it holds nothing if any of its rows has changed.
    transaction: Transaction


@dataclasses.dataclass(frozen=True, slots=True)
class PageScanned:
    """A page was read, or could not be."""

    #: The page, or None after a fault.
    page: ScanPage | None


@dataclasses.dataclass(frozen=True, slots=True)
class RemovalAnswered:
    """The table answered the removal."""

    #: The answer.
    outcome: CommitOutcome


@dataclasses.dataclass(frozen=True, slots=True)
class SweepEnded:
    """Every claim was looked at, or the table failed."""

    #: Rows removed.
    removed: int
    #: Whether every page was read.
    is_complete: bool


SweepEffect: TypeAlias = PageWanted | RemovalWanted | SweepEnded


class Sweep:
    """State machine of one pass over all claims.

    A held claim and one whose answer was lost stay until an operator settles
    them: their call may have run, or may yet be dispatched by a paused instance.
    Several sweeps at once do no harm, as every removal is conditional on the
    version that was read.

    Parameters
    ----------
    settings : RetentionSettings
        How long claims are kept.
    wall_time : float
        Time of the pass, in seconds since the epoch.
    """

    def __init__(self, settings: RetentionSettings, wall_time: float) -> None:
        self._settings = settings
        self._oldest = wall_time - settings.keep_for
        self._resume_after: str | None = None
        self._expected = 0
        self._removed = 0

    def start(self) -> SweepEffect:
        """Return the first step."""
        return self._want_page()

    def receive(self, message: PageScanned | RemovalAnswered) -> SweepEffect:
        """Take the table's answer and return the next step."""
        match message:
            case PageScanned(page):
                return self._judge_page(page)
            case RemovalAnswered(outcome):
                # Rows that stay, for whatever cause, are met by the next pass.
                if isinstance(outcome, Committed):
                    self._removed += self._expected
                return self._go_on()

    def _judge_page(self, page: ScanPage | None) -> SweepEffect:
        if page is None:
            return SweepEnded(self._removed, is_complete=False)
        self._resume_after = page.resume_after
        old = tuple(self._select_old(page.rows))
        if not old:
            return self._go_on()
        self._expected = len(old)
        checks = tuple(Check(row.key, row.version) for row in old)
        removals = tuple(Delete(row.key) for row in old)
        return RemovalWanted(Transaction(checks, removals))

    def _select_old(self, rows: tuple[Row, ...]) -> Iterator[Row]:
        for row in rows:
            match decode_claim(row).default_value(None):
                case None:
                    continue
                case claim if claim.claimed_at >= self._oldest:
                    continue
                case claim if isinstance(
                    claim.state, RecordedAnswer | Released | Resolved
                ):
                    yield row

    def _go_on(self) -> SweepEffect:
        if self._resume_after is None:
            return SweepEnded(self._removed, is_complete=True)
        return self._want_page()

    def _want_page(self) -> SweepEffect:
        limit = self._settings.page_size
        return PageWanted(CLAIMS_FOLDER, self._resume_after, limit)

"""Reads and writes of one shard in the table, one access at a time."""

import dataclasses
from collections.abc import Iterator
from typing import TypeAlias

from kingcuphead.budgets._flush import Flush
from kingcuphead.budgets._messages import (
    CommitFinished,
    CommitRequested,
    ReadRequested,
    RowsRead,
    RowsScanned,
    ScanRequested,
)
from kingcuphead.budgets._rows import ShardRow
from kingcuphead.budgets._settings import Settings
from kingcuphead.budgets._shard_read import ReadStep, ShardRead, Snapshot
from kingcuphead.storage import (
    ABSENT,
    Committed,
    Conflict,
    Unavailable,
    Unknown,
)

StoreEffect: TypeAlias = ReadRequested | ScanRequested | CommitRequested | Snapshot


@dataclasses.dataclass(slots=True)
class Store:
    """Cached shard row and the access in progress."""

    #: Number of the shard.
    shard: int
    #: Settings of the budget state machines.
    settings: Settings
    #: Last known row, None before the first read.
    row: ShardRow | None = None
    #: Version of that row.
    version: int = ABSENT
    #: Monotonic time in seconds at which the access that provided the row started;
    #: the row is at least this new.
    fresh_at: float = float("-inf")
    #: Whether the row must be read again before the next flush.
    stale: bool = True
    #: Whether the last access failed.
    failing: bool = False
    #: Monotonic time in seconds of the last failure.
    failed_at: float = float("-inf")
    #: Monotonic time in seconds of the first of the consecutive failures.
    failing_since: float = float("-inf")
    #: Monotonic time in seconds before which no access starts.
    retry_at: float = float("-inf")
    #: Backoff after the last failure, in seconds; 0 after a success.
    backoff: float = 0.0
    #: Monotonic time in seconds at which the last flush started.
    flushed_at: float = float("-inf")
    #: Flush whose outcome is unknown, None if there is none.
    flush: Flush | None = None
    #: Read in progress, None if there is none.
    shard_read: ShardRead | None = None
    #: Token of the access in progress, None if there is none.
    token: int | None = None
    #: Number of accesses that were started.
    access_count: int = 0

    def allocate_token(self) -> int:
        """Return a new token; modulo the number of shards it is the shard."""
        self.access_count += 1
        self.token = self.access_count * self.settings.shards + self.shard
        return self.token

    def may_start_access(self, now: float) -> bool:
        """Return whether no access is in progress and the backoff has passed."""
        return self.token is None and now >= self.retry_at

    def start_read(self, now: float) -> ReadRequested:
        """Start to read the row and the pages since the last known one."""
        page = self.row.page if self.row else 0
        settings = self.settings
        self.shard_read = ShardRead(
            shard=self.shard,
            token=self.allocate_token(),
            page=page,
            window=settings.dedupe_pages,
            scan_rows=settings.scan_rows,
            started_at=now,
        )
        return self.shard_read.start()

    def start_flush(self, flush: Flush, now: float) -> CommitRequested:
        """Start the first attempt or a retry of a flush."""
        self.flush = flush
        self.flushed_at = now
        return CommitRequested(self.allocate_token(), flush.transaction)

    def handle_commit(
        self, message: CommitFinished, now: float
    ) -> Iterator[StoreEffect]:
        """Process the outcome of a flush."""
        flush = self.flush
        if message.token != self.token or flush is None:
            return
        self.token = None
        match message.outcome:
            case Committed(version=version):
                self.record_success()
                snapshot = Snapshot(flush.row, version, (flush.page,))
                yield self.apply_snapshot(snapshot, self.flushed_at)
            case Conflict():
                self.record_success()
                self.mark_undecided(flush)
            case Unknown():
                # The reply was lost; the next read of the row decides the outcome.
                self.record_failure(now)
                self.mark_undecided(flush)
            case Unavailable():
                self.record_failure(now)
                self.discard_flush(flush)

    def mark_undecided(self, flush: Flush) -> None:
        """Keep a flush until a read shows whether it took effect."""
        self.flush = dataclasses.replace(flush, undecided=True)
        self.stale = True

    def discard_flush(self, flush: Flush) -> None:
        """Discard a flush unless an earlier attempt may have taken effect."""
        if flush.undecided:
            self.stale = True
        else:
            self.flush = None

    def handle_rows(self, message: RowsRead, now: float) -> Iterator[StoreEffect]:
        """Process the row of a read."""
        shard_read = self.match_shard_read(message.token)
        if shard_read is None:
            return
        if message.rows is None:
            self.record_failure(now)
            return
        yield from self.continue_read(shard_read, shard_read.add_row(message.rows))

    def handle_pages(self, message: RowsScanned, now: float) -> Iterator[StoreEffect]:
        """Process bill pages of a read."""
        shard_read = self.match_shard_read(message.token)
        if shard_read is None:
            return
        if message.page is None:
            self.record_failure(now)
            return
        yield from self.continue_read(shard_read, shard_read.add_pages(message.page))

    def match_shard_read(self, token: int) -> ShardRead | None:
        """Return the read in progress if the token matches, and clear the token."""
        if token != self.token:
            return None
        self.token = None
        return self.shard_read

    def continue_read(
        self, shard_read: ShardRead, step: ReadStep
    ) -> Iterator[StoreEffect]:
        """Yield the next access of a read, or apply its snapshot."""
        match step:
            case Snapshot():
                self.shard_read = None
                self.record_success()
                yield self.apply_snapshot(step, shard_read.started_at)
            case _:
                self.token = shard_read.token
                yield step

    def apply_snapshot(self, snapshot: Snapshot, as_of: float) -> Snapshot:
        """Replace the cached row; discard a flush based on another version."""
        self.row = snapshot.row
        self.version = snapshot.version
        self.fresh_at = as_of
        self.stale = False
        if self.flush is not None and self.flush.version != snapshot.version:
            # The row has changed: either the flush is committed, or it never will be.
            self.flush = None
        return snapshot

    def record_success(self) -> None:
        """Reset the backoff after a successful access."""
        self.failing = False
        self.backoff = 0.0

    def record_failure(self, now: float) -> None:
        """Delay the next access with exponential backoff."""
        settings = self.settings
        if not self.failing:
            self.failing_since = now
        self.failing = True
        self.failed_at = now
        longer = max(settings.backoff_first, 2 * self.backoff)
        self.backoff = min(settings.backoff_longest, longer)
        self.retry_at = now + self.backoff

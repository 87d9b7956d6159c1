"""Reads and writes one shard in the table, one access at a time."""

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
from kingcuphead.budgets._replica import Reading, Snapshot, Step
from kingcuphead.budgets._rows import ShardRow
from kingcuphead.budgets._settings import Settings
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
    """The last known state of a shard row and the access under way."""

    #: Number of the shard.
    shard: int
    #: Settings.
    settings: Settings
    #: Last known row, None before the first reading.
    row: ShardRow | None = None
    #: Version of that row.
    version: int = ABSENT
    #: Monotonic time in seconds; the row is at least as new as this.
    fresh_at: float = float("-inf")
    #: Whether the row is known to be out of date.
    stale: bool = True
    #: Whether the last access failed.
    failing: bool = False
    #: Monotonic time in seconds of the last failure.
    failed_at: float = float("-inf")
    #: Time of the first failure in a row.
    failing_since: float = float("-inf")
    #: Monotonic time in seconds before which the table is left alone.
    retry_at: float = float("-inf")
    #: Seconds of the next wait after a failure.
    backoff: float = 0.0
    #: Monotonic time in seconds at which the last flush started.
    flushed_at: float = float("-inf")
    #: The flush whose outcome is not known.
    flush: Flush | None = None
    #: The reading under way.
    reading: Reading | None = None
    #: Token of the access under way, None if there is none.
    token: int | None = None
    #: Number of accesses so far.
    count: int = 0

    def open_token(self) -> int:
        """Return a new token; its remainder by the number of shards is the shard."""
        self.count += 1
        self.token = self.count * self.settings.shards + self.shard
        return self.token

    def is_free(self, now: float) -> bool:
        """Return whether a new access may start."""
        return self.token is None and now >= self.retry_at

    def start_reading(self, now: float) -> ReadRequested:
        """Start to read the row and its new pages."""
        page = self.row.page if self.row else 0
        settings = self.settings
        self.reading = Reading(
            shard=self.shard,
            token=self.open_token(),
            page=page,
            window=settings.dedupe_pages,
            scan_rows=settings.scan_rows,
            started_at=now,
        )
        return self.reading.start()

    def start_flush(self, flush: Flush, now: float) -> CommitRequested:
        """Submit a flush, for the first time or again."""
        self.flush = flush
        self.flushed_at = now
        return CommitRequested(self.open_token(), flush.transaction)

    def receive_commit(
        self, message: CommitFinished, now: float
    ) -> Iterator[StoreEffect]:
        """Take the outcome of a flush."""
        flush = self.flush
        if message.token != self.token or flush is None:
            return
        self.token = None
        match message.outcome:
            case Committed(version=version):
                self.note_success()
                snapshot = Snapshot(flush.row, version, (flush.page,))
                yield self.absorb(snapshot, self.flushed_at)
            case Conflict():
                self.note_success()
                self.postpone(flush)
            case Unknown():
                # The reply was lost; the row tells later what became of the flush.
                self.note_failure(now)
                self.postpone(flush)
            case Unavailable():
                self.note_failure(now)
                self.withdraw(flush)

    def postpone(self, flush: Flush) -> None:
        """Keep a flush until a reading shows whether it took effect."""
        self.flush = dataclasses.replace(flush, undecided=True)
        self.stale = True

    def withdraw(self, flush: Flush) -> None:
        """Forget a flush that had no effect, unless an earlier try may have had."""
        if flush.undecided:
            self.stale = True
        else:
            self.flush = None

    def receive_rows(self, message: RowsRead, now: float) -> Iterator[StoreEffect]:
        """Take the row of a reading."""
        reading = self.take_reading(message.token)
        if reading is None:
            return
        if message.rows is None:
            self.note_failure(now)
            return
        yield from self.go_on(reading, reading.receive_row(message.rows))

    def receive_pages(self, message: RowsScanned, now: float) -> Iterator[StoreEffect]:
        """Take pages of a reading."""
        reading = self.take_reading(message.token)
        if reading is None:
            return
        if message.page is None:
            self.note_failure(now)
            return
        yield from self.go_on(reading, reading.receive_pages(message.page))

    def take_reading(self, token: int) -> Reading | None:
        """Return the reading that a token belongs to."""
        if token != self.token:
            return None
        self.token = None
        return self.reading

    def go_on(self, reading: Reading, step: Step) -> Iterator[StoreEffect]:
        """Continue a reading or take over its result."""
        match step:
            case Snapshot():
                self.reading = None
                self.note_success()
                yield self.absorb(step, reading.started_at)
            case _:
                self.token = reading.token
                yield step

    def absorb(self, snapshot: Snapshot, as_of: float) -> Snapshot:
        """Take over a newer state; it decides a flush of another version."""
        self.row = snapshot.row
        self.version = snapshot.version
        self.fresh_at = as_of
        self.stale = False
        if self.flush is not None and self.flush.version != snapshot.version:
            # The row moved on: the flush is in the pages, or it can never be.
            self.flush = None
        return snapshot

    def note_success(self) -> None:
        """Take note that the table answers."""
        self.failing = False
        self.backoff = 0.0

    def note_failure(self, now: float) -> None:
        """Wait before the next access, longer each time."""
        settings = self.settings
        if not self.failing:
            self.failing_since = now
        self.failing = True
        self.failed_at = now
        longer = max(settings.backoff_first, 2 * self.backoff)
        self.backoff = min(settings.backoff_longest, longer)
        self.retry_at = now + self.backoff

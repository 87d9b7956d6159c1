"""Follows a shard row and its bill pages in the table."""

import dataclasses
from collections.abc import Iterator
from typing import TypeAlias

from kingcuphead.budgets._messages import ReadRequested, ScanRequested
from kingcuphead.budgets._rows import (
    BillPage,
    ShardRow,
    build_page_key,
    build_page_prefix,
    build_shard_key,
    decode_page,
    decode_shard,
    parse_page_number,
)
from kingcuphead.invariants import ensure
from kingcuphead.storage import ABSENT, Row, ScanPage


@dataclasses.dataclass(frozen=True, slots=True)
class Snapshot:
    """A shard row with every page up to it that was not seen before."""

    #: The row; an empty one if it is absent.
    row: ShardRow
    #: Version of the row, `ABSENT` if there is none.
    version: int
    #: Pages that were not seen before, in order.
    pages: tuple[BillPage, ...]


#: The next access that a reading needs, or its result.
Step: TypeAlias = ReadRequested | ScanRequested | Snapshot


@dataclasses.dataclass(slots=True)
class Reading:
    """One reading: the row first, then the pages up to the row's last.

    Pages never change, so those up to the row's number belong to the row's state
    although they are read later.

    Attributes
    ----------
    shard : int
        Number of the shard.
    token : int
        Token of every access of this reading.
    page : int
        Number of the last page that was seen before.
    window : int
        Number of pages before the row's last that are needed at all.
    scan_rows : int
        Most rows in one scan.
    started_at : float
        Monotonic time in seconds; the snapshot is at least as new as this.
    """

    shard: int
    token: int
    page: int
    window: int
    scan_rows: int
    started_at: float
    #: The row, once read.
    row: ShardRow | None = None
    #: Version of the row.
    version: int = ABSENT
    #: Pages read so far.
    pages: list[BillPage] = dataclasses.field(default_factory=list)

    def start(self) -> ReadRequested:
        """Return the first access."""
        return ReadRequested(self.token, (build_shard_key(self.shard),))

    def receive_row(self, rows: tuple[Row, ...]) -> Step:
        """Take the row, which may be absent."""
        self.row = decode_shard(rows[0].value) if rows else ShardRow()
        self.version = rows[0].version if rows else ABSENT
        ensure(
            self.row.page >= self.page,
            "bill pages are never taken back",
            seen=self.page,
            page=self.row.page,
        )
        if not self.page:
            # Older pages matter only to a home that has a grant already.
            self.page = max(0, self.row.page - self.window)
        return self.go_on()

    def receive_pages(self, scan: ScanPage) -> Step:
        """Take one scan of pages; those beyond the row's last are left out."""
        ensure(self.row is not None, "the row is read before the pages")
        self.pages.extend(self.decode_scan(scan))
        return self.go_on()

    def decode_scan(self, scan: ScanPage) -> Iterator[BillPage]:
        """Yield the pages that belong to the row, checking that none is missing."""
        last = self.row.page if self.row else 0
        for row in scan.rows:
            number = parse_page_number(row.key)
            if number > last:
                return
            ensure(number == self.page + 1, "bill pages have no gaps", number=number)
            self.page = number
            yield decode_page(row.value)

    def go_on(self) -> Step:
        """Return the next access, or the snapshot once it is complete."""
        row = self.row or ShardRow()
        if self.page >= row.page:
            return Snapshot(row, self.version, tuple(self.pages))
        prefix = build_page_prefix(self.shard)
        after = build_page_key(self.shard, self.page)
        limit = min(self.scan_rows, row.page - self.page)
        return ScanRequested(self.token, prefix, after, limit)

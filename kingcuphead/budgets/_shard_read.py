"""Read of a shard row and its new bill pages in several accesses."""

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
    """A shard row with the bill pages up to it that were not read before."""

    #: Shard row; an empty one if it is absent.
    row: ShardRow
    #: Version of the row, `ABSENT` if there is none.
    version: int
    #: New bill pages in the order of their numbers.
    pages: tuple[BillPage, ...]


#: Next access of a read, or its result.
ReadStep: TypeAlias = ReadRequested | ScanRequested | Snapshot


@dataclasses.dataclass(slots=True)
class ShardRead:
    """A read of the shard row first, then of the bill pages up to its page number.

    Pages are immutable, so those up to the page number of the row are consistent with
    the row although they are read later.

    Attributes
    ----------
    shard : int
        Number of the shard.
    token : int
        Token of every access of this read.
    page : int
        Number of the last page that was read.
    window : int
        Maximum number of pages, up to that of the row, that the first read needs.
    scan_rows : int
        Maximum number of rows in one scan.
    started_at : float
        Monotonic time in seconds of the start; the snapshot is at least this new.
    """

    shard: int
    token: int
    page: int
    window: int
    scan_rows: int
    started_at: float
    #: Shard row, None until it is read.
    row: ShardRow | None = None
    #: Version of the row.
    version: int = ABSENT
    #: Pages read so far.
    pages: list[BillPage] = dataclasses.field(default_factory=list)

    def start(self) -> ReadRequested:
        """Return the first access, which reads the row."""
        return ReadRequested(self.token, (build_shard_key(self.shard),))

    def add_row(self, rows: tuple[Row, ...]) -> ReadStep:
        """Store the row, which may be absent, and return the next step."""
        self.row = decode_shard(rows[0].value) if rows else ShardRow()
        self.version = rows[0].version if rows else ABSENT
        ensure(
            self.row.page >= self.page,
            "the page number of a shard row does not decrease",
            seen=self.page,
            page=self.row.page,
        )
        if not self.page:
            # Pages before the window are needed only by a home that already has a
            # grant, and such a home has read them.
            self.page = max(0, self.row.page - self.window)
        return self.build_next_step()

    def add_pages(self, scan: ScanPage) -> ReadStep:
        """Store the pages of one scan and return the next step."""
        ensure(self.row is not None, "the row is read before the pages")
        self.pages.extend(self.decode_scan(scan))
        return self.build_next_step()

    def decode_scan(self, scan: ScanPage) -> Iterator[BillPage]:
        """Yield the pages up to that of the row and check that none is missing."""
        last = self.row.page if self.row else 0
        for row in scan.rows:
            number = parse_page_number(row.key)
            if number > last:
                return
            ensure(number == self.page + 1, "bill pages have no gaps", number=number)
            self.page = number
            yield decode_page(row.value)

    def build_next_step(self) -> ReadStep:
        """Return the next access, or the snapshot once it is complete."""
        row = self.row or ShardRow()
        if self.page >= row.page:
            return Snapshot(row, self.version, tuple(self.pages))
        prefix = build_page_prefix(self.shard)
        after = build_page_key(self.shard, self.page)
        limit = min(self.scan_rows, row.page - self.page)
        return ScanRequested(self.token, prefix, after, limit)

"""In-memory implementation of the transactional table."""

import bisect
import dataclasses
from collections.abc import Iterator, Sequence

from expression import Ok, Result

from kingcuphead.frozen import frozen
from kingcuphead.storage._messages import (
    ABSENT,
    Check,
    CommitOutcome,
    Committed,
    Conflict,
    Delete,
    PlatformFault,
    Put,
    Row,
    ScanPage,
    Transaction,
)


@frozen
class TableCounts:
    """Numbers of operations that a table has executed."""

    #: Transactions that took effect.
    commits: int = 0
    #: Transactions rejected by a failed check.
    conflicts: int = 0
    #: Writes in the transactions that took effect, puts and deletes.
    rows_written: int = 0
    #: Read calls, irrespective of their number of keys.
    reads: int = 0
    #: Scan calls; each returns one page.
    scans: int = 0

    def with_changes(self, **changes: int) -> "TableCounts":
        """Return a copy with the named fields replaced."""
        return dataclasses.replace(self, **changes)


class MemoryTable:
    """In-memory `Table` with serializable transactions over versioned rows.

    Commits are numbered, and the number of a commit is the version of every row
    that it wrote. The `*_now` methods are synchronous variants of the operations.
    """

    def __init__(self) -> None:
        self._rows: dict[str, Row] = {}
        self._keys: list[str] = []
        self._last_commit = ABSENT
        self._counts = TableCounts()

    @property
    def counts(self) -> TableCounts:
        """Numbers of operations executed so far."""
        return self._counts

    @property
    def rows(self) -> tuple[Row, ...]:
        """All rows in key order; reading them does not change the counts."""
        return tuple(self._rows[key] for key in self._keys)

    async def commit(self, transaction: Transaction) -> CommitOutcome:
        """Apply a transaction if every check holds."""
        return self.commit_now(transaction)

    async def read(self, keys: Sequence[str]) -> Result[tuple[Row, ...], PlatformFault]:
        """Read rows from one consistent snapshot; absent rows are omitted."""
        return Ok(self.read_now(keys))

    async def scan(
        self, prefix: str, after: str | None = None, limit: int = 500
    ) -> Result[ScanPage, PlatformFault]:
        """Read up to `limit` rows whose keys start with `prefix`, in key order."""
        return Ok(self.scan_now(prefix, after, limit))

    def commit_now(self, transaction: Transaction) -> Committed | Conflict:
        """Apply a transaction if every check holds.

        Parameters
        ----------
        transaction : Transaction
            Checks and writes; for a key written twice, the last write wins.

        Returns
        -------
        Committed or Conflict
            The commit number, or the current rows of the failed checks.
        """
        failed = tuple(c.key for c in transaction.checks if not self._is_satisfied(c))
        if failed:
            self._update_counts(conflicts=self._counts.conflicts + 1)
            return Conflict(tuple(self._find_rows(failed)))
        self._last_commit += 1
        for write in transaction.writes:
            self._apply(write)
        self._update_counts(
            commits=self._counts.commits + 1,
            rows_written=self._counts.rows_written + len(transaction.writes),
        )
        return Committed(self._last_commit)

    def read_now(self, keys: Sequence[str]) -> tuple[Row, ...]:
        """Read rows from one consistent snapshot; absent rows are omitted."""
        self._update_counts(reads=self._counts.reads + 1)
        return tuple(self._find_rows(keys))

    def scan_now(
        self, prefix: str, after: str | None = None, limit: int = 500
    ) -> ScanPage:
        """Read one page of the rows whose keys start with `prefix`.

        Parameters
        ----------
        prefix : str
            Prefix of the keys.
        after : str, optional
            Key after which the page starts: `resume_after` of the previous page.
        limit : int
            Maximum number of rows in the page.

        Returns
        -------
        ScanPage
            The rows, and the key to resume after if more rows may follow.
        """
        self._update_counts(scans=self._counts.scans + 1)
        rows = tuple(self._select_range(prefix, after, limit))
        has_more = len(rows) == limit and limit > 0
        return ScanPage(rows, rows[-1].key if has_more else None)

    def _select_range(
        self, prefix: str, after: str | None, limit: int
    ) -> Iterator[Row]:
        start = bisect.bisect_left(self._keys, prefix)
        if after is not None:
            start = max(start, bisect.bisect_right(self._keys, after))
        for key in self._keys[start : start + limit]:
            if not key.startswith(prefix):
                return
            yield self._rows[key]

    def _find_rows(self, keys: Sequence[str]) -> Iterator[Row]:
        return (self._rows[key] for key in keys if key in self._rows)

    def _is_satisfied(self, check: Check) -> bool:
        row = self._rows.get(check.key)
        return check.version == (ABSENT if row is None else row.version)

    def _apply(self, write: Put | Delete) -> None:
        match write:
            case Put(key, value):
                if key not in self._rows:
                    bisect.insort(self._keys, key)
                self._rows[key] = Row(key, self._last_commit, value)
            case Delete(key):
                if self._rows.pop(key, None) is not None:
                    del self._keys[bisect.bisect_left(self._keys, key)]

    def _update_counts(self, **changes: int) -> None:
        self._counts = self._counts.with_changes(**changes)

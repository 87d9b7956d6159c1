"""A small table in memory, for runs in virtual time."""

import dataclasses
from collections.abc import Sequence

from kingcuphead.platform import (
    ABSENT,
    Committed,
    Conflict,
    Put,
    Row,
    ScanPage,
    Transaction,
)


@dataclasses.dataclass(slots=True)
class MemoryTable:
    """Rows with versions; every call takes effect at once and is counted."""

    #: Rows by key.
    rows: dict[str, Row] = dataclasses.field(default_factory=dict)
    #: Number of the last commit.
    version: int = ABSENT
    #: Commits that were tried.
    writes: int = 0
    #: Reads and scans.
    reads: int = 0

    def commit(self, transaction: Transaction) -> Committed | Conflict:
        """Apply a transaction if all its checks hold."""
        self.writes += 1
        failed = [c for c in transaction.checks if self.get_version(c.key) != c.version]
        if failed:
            rows = (self.rows.get(check.key) for check in failed)
            return Conflict(tuple(row for row in rows if row is not None))
        self.version += 1
        for write in transaction.writes:
            match write:
                case Put(key=key, value=value):
                    self.rows[key] = Row(key, self.version, value)
                case _:
                    self.rows.pop(write.key, None)
        return Committed(self.version)

    def read(self, keys: Sequence[str]) -> tuple[Row, ...]:
        """Read the rows that exist."""
        self.reads += 1
        return tuple(self.rows[key] for key in keys if key in self.rows)

    def scan(self, prefix: str, after: str | None, limit: int) -> ScanPage:
        """Read rows in key order."""
        self.reads += 1
        start = after or ""
        keys = sorted(k for k in self.rows if k.startswith(prefix) and k > start)
        rows = tuple(self.rows[key] for key in keys[:limit])
        more = len(keys) > limit
        return ScanPage(rows, rows[-1].key if more else None)

    def get_version(self, key: str) -> int:
        """Return the version of a row, `ABSENT` if there is none."""
        row = self.rows.get(key)
        return row.version if row else ABSENT

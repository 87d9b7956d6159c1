"""In-memory table for simulations in virtual time."""

import bisect
import dataclasses
from collections.abc import Sequence

from kingcuphead.storage import (
    ABSENT,
    Committed,
    Conflict,
    Delete,
    Put,
    Row,
    ScanPage,
    Transaction,
)


@dataclasses.dataclass(slots=True)
class MemoryTable:
    """Versioned rows; each call takes effect at once and is counted."""

    #: Existing rows, by key.
    rows: dict[str, Row] = dataclasses.field(default_factory=dict)
    #: Keys of the existing rows, sorted.
    keys: list[str] = dataclasses.field(default_factory=list)
    #: Version of the last commit; `ABSENT` before the first.
    version: int = ABSENT
    #: Number of commits, those that failed their checks included.
    writes: int = 0
    #: Number of reads and scans.
    reads: int = 0

    def commit(self, transaction: Transaction) -> Committed | Conflict:
        """Apply a transaction if every check matches its row's version."""
        self.writes += 1
        failed = [c for c in transaction.checks if self.get_version(c.key) != c.version]
        if failed:
            rows = (self.rows.get(check.key) for check in failed)
            return Conflict(tuple(row for row in rows if row is not None))
        self.version += 1
        for write in transaction.writes:
            match write:
                case Put(key=key, value=value):
                    if key not in self.rows:
                        bisect.insort(self.keys, key)
                    self.rows[key] = Row(key, self.version, value)
                case Delete(key=key):
                    if self.rows.pop(key, None) is not None:
                        self.keys.remove(key)
        return Committed(self.version)

    def read(self, keys: Sequence[str]) -> tuple[Row, ...]:
        """Read rows; keys without a row are omitted."""
        self.reads += 1
        return tuple(self.rows[key] for key in keys if key in self.rows)

    def scan(self, prefix: str, after: str | None, limit: int) -> ScanPage:
        """Read at most `limit` rows of a prefix in key order, starting after a key."""
        self.reads += 1
        first = bisect.bisect_right(self.keys, max(prefix, after or ""))
        candidates = self.keys[first : first + limit + 1]
        keys = [key for key in candidates if key.startswith(prefix)]
        rows = tuple(self.rows[key] for key in keys[:limit])
        return ScanPage(rows, keys[limit - 1] if len(keys) > limit else None)

    def get_version(self, key: str) -> int:
        """Return the version of a row, `ABSENT` if there is none."""
        row = self.rows.get(key)
        return row.version if row else ABSENT

"""One part of a table in memory, for the tests of what is kept there."""

import collections

from expression import Error, Ok

from kingcuphead.storage import (
    Committed,
    Conflict,
    Delete,
    PlatformFault,
    Row,
    RowSnapshot,
    Unavailable,
)

#: Maximum number of checks and writes in one transaction, as the platform's store.
MAX_ENTRIES = 100


class MemoryTablePart:
    """Rows that all daemons of a test see; calls fail while the store is down.

    A row's version counts its writes. A transaction whose checks fail, that writes a
    row twice or that has too many entries has no effect.

    Parameters
    ----------
    get_time
        Returns the store's time in seconds.
    """

    def __init__(self, get_time=lambda: 0.0):
        self._get_time = get_time
        self.rows = {}
        self._versions: collections.Counter[str] = collections.Counter()
        self.is_down = False
        #: Whether transactions are refused although reads are answered.
        self.refuses_writes = False

    async def read_prefix(self, prefix):
        if self.is_down:
            return Error(PlatformFault("read", "down"))
        rows = map(self._make_row, sorted(self.rows))
        return Ok(RowSnapshot(tuple(rows), 1))

    async def commit(self, transaction):
        if self.is_down or self.refuses_writes or not _is_valid(transaction):
            return Unavailable()
        if not all(map(self._holds, transaction.checks)):
            keys = sorted(each.key for each in transaction.checks)
            return Conflict(tuple(self._make_row(k) for k in keys if k in self.rows))
        for write in transaction.writes:
            self._versions[write.key] += 1
            if isinstance(write, Delete):
                self.rows.pop(write.key, None)
            else:
                self.rows[write.key] = write.value
        return Committed(1)

    def estimate_time(self):
        return None if self.is_down else int(self._get_time() * 1_000)

    def bound_time(self, moment):
        return self.estimate_time()

    def _make_row(self, key):
        return Row(key, 1 + self._versions[key], self.rows[key])

    def _holds(self, check):
        version = self._make_row(check.key).version if check.key in self.rows else 0
        return check.version == version


def _is_valid(transaction):
    written = [each.key for each in transaction.writes]
    entries = len(transaction.checks) + len(written)
    return entries <= MAX_ENTRIES and len(set(written)) == len(written)

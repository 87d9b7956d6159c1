"""One part of a table in memory, for the tests of what is kept there."""

from expression import Error, Ok

from kingcuphead.storage import (
    Committed,
    Delete,
    PlatformFault,
    Row,
    RowSnapshot,
    Unavailable,
)


class MemoryTablePart:
    """Rows that all daemons of a test see; calls fail while the store is down.

    Parameters
    ----------
    get_time
        Returns the store's time in seconds.
    """

    def __init__(self, get_time=lambda: 0.0):
        self._get_time = get_time
        self.rows = {}
        self.is_down = False
        #: Whether transactions are refused although reads are answered.
        self.refuses_writes = False

    async def read_prefix(self, prefix):
        if self.is_down:
            return Error(PlatformFault("read", "down"))
        rows = (Row(key, 1, value) for key, value in sorted(self.rows.items()))
        return Ok(RowSnapshot(tuple(rows), 1))

    async def commit(self, transaction):
        if self.is_down or self.refuses_writes:
            return Unavailable()
        for write in transaction.writes:
            if isinstance(write, Delete):
                self.rows.pop(write.key, None)
            else:
                self.rows[write.key] = write.value
        return Committed(1)

    def estimate_time(self):
        return None if self.is_down else int(self._get_time() * 1_000)

    def bound_time(self, moment):
        return self.estimate_time()

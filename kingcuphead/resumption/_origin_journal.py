"""Decides which origins of streams a daemon writes, when, and into which rows."""

import dataclasses
from collections import deque
from collections.abc import Iterable, Iterator

from kingcuphead.frozen import frozen
from kingcuphead.resumption._messages import BegunStream
from kingcuphead.resumption._origin_rows import encode_origins
from kingcuphead.resumption._registry import STREAM_LIFETIME
from kingcuphead.storage import Delete, Put, Transaction

#: Streams that are kept to be written once their service has a second version.
MAX_PENDING = 2_000
#: Number of writes after which a row gets no more streams. Each write contains the
#: whole row, so a larger number costs bytes; a smaller one leaves more rows, which each
#: daemon reads at its start. At 80 writes a second of all daemons there are 480 full
#: rows, and those that are being filled.
MAX_ROW_WRITES = 10
#: Seconds after which a row gets no more streams, so that it can expire.
ROW_PERIOD = STREAM_LIFETIME / 2
#: Maximum number of streams in a row, about 8 kB.
MAX_ROW_STREAMS = 512
#: Maximum number of rows of a daemon that have not expired.
MAX_ROWS = 40
#: Maximum number of rows that one transaction writes, and of those that it removes. The
#: store takes 100 entries.
MAX_BATCH_ROWS = 40


@dataclasses.dataclass(slots=True, eq=False)
class _OpenRow:
    key: str
    opened_at: float
    expires_at: float = 0.0
    streams: list[BegunStream] = dataclasses.field(default_factory=list)
    #: Number of its first streams that the store is known to contain.
    saved_count: int = 0
    write_count: int = 0
    #: Whether the store may contain it.
    is_sent: bool = False


@frozen
class Batch:
    """What a daemon writes at once."""

    #: Writes and removals.
    transaction: Transaction
    #: Number of streams in each row that is written.
    counts: dict[str, int]
    #: Keys of the rows that are removed.
    removed: frozenset[str]


class OriginJournal:
    """Keeps the streams that a daemon began until the store has them; does no I/O.

    Parameters
    ----------
    identity
        Identity of this daemon's process; first part of the keys of its rows.
    """

    def __init__(self, identity: str) -> None:
        self._identity = identity
        self._pending: deque[tuple[BegunStream, float]] = deque(maxlen=MAX_PENDING)
        self._rows: deque[_OpenRow] = deque()
        self._removable_keys: dict[str, None] = {}
        self._key_count = 0

    def record(self, stream: BegunStream, now: float) -> None:
        """Record a stream that has begun."""
        self._pending.append((stream, now))

    def list_services(self) -> set[str]:
        """Return the services of the streams that are in no row yet."""
        return {stream.service_name for stream, _ in self._pending}

    def count_unsaved(self) -> int:
        """Return the number of streams that should be in the store and may not be."""
        return sum(len(row.streams) - row.saved_count for row in self._rows)

    def prepare(
        self, services: Iterable[str], now: float, store_time: int
    ) -> Batch | None:
        """Return what has to be written now, or None.

        Rows that have expired are removed together with the next write, or once there
        are no others.

        Parameters
        ----------
        services
            Services that have several versions.
        now
            Time in seconds on the clock of `record`.
        store_time
            The store's time in milliseconds.
        """
        self._expire(now)
        self._fill_rows(frozenset(services), now)
        unsaved = [row for row in self._rows if len(row.streams) > row.saved_count]
        unsaved = unsaved[:MAX_BATCH_ROWS]
        if not unsaved and (self._rows or not self._removable_keys):
            return None
        puts = tuple(self._encode(unsaved, now, store_time))
        removed = tuple(self._removable_keys)[:MAX_BATCH_ROWS]
        transaction = Transaction((), (*puts, *map(Delete, removed)))
        counts = {row.key: len(row.streams) for row in unsaved}
        return Batch(transaction, counts, frozenset(removed))

    def confirm(self, batch: Batch) -> None:
        """Record that a batch was written."""
        for row in self._rows:
            row.saved_count = max(row.saved_count, batch.counts.get(row.key, 0))
        for key in batch.removed:
            self._removable_keys.pop(key, None)

    def abandon(self, batch: Batch) -> None:
        """Handle a batch whose outcome is unknown.

        Its rows get new keys and are written again. The store may still apply the batch
        later, and under the same keys it would replace rows that contain more streams
        by then.
        """
        for row in self._rows:
            if row.key in batch.counts:
                self._removable_keys[row.key] = None
                row.key = self._make_key()
                row.saved_count = 0

    def _encode(
        self, rows: Iterable[_OpenRow], now: float, store_time: int
    ) -> Iterator[Put]:
        for row in rows:
            row.is_sent = True
            row.write_count += 1
            expires_ms = store_time + int((row.expires_at - now) * 1000)
            yield encode_origins(row.key, row.streams, expires_ms)

    def _expire(self, now: float) -> None:
        """Drop expired streams and rows, and the oldest rows beyond `MAX_ROWS`."""
        while self._pending and now - self._pending[0][1] >= STREAM_LIFETIME:
            self._pending.popleft()
        while self._rows and (
            self._rows[0].expires_at <= now or len(self._rows) > MAX_ROWS
        ):
            row = self._rows.popleft()
            if row.is_sent:
                self._removable_keys[row.key] = None

    def _fill_rows(self, services: frozenset[str], now: float) -> None:
        """Move the pending streams of some services into rows."""
        if not services:
            return
        pending = tuple(self._pending)
        self._pending.clear()
        for stream, begun_at in pending:
            if stream.service_name not in services:
                self._pending.append((stream, begun_at))
                continue
            row = self._find_open_row(now)
            row.streams.append(stream)
            row.expires_at = max(row.expires_at, begun_at + STREAM_LIFETIME)

    def _find_open_row(self, now: float) -> _OpenRow:
        if self._rows:
            row = self._rows[-1]
            is_recent = now - row.opened_at < ROW_PERIOD
            is_short = len(row.streams) < MAX_ROW_STREAMS
            if is_recent and is_short and row.write_count < MAX_ROW_WRITES:
                return row
        row = _OpenRow(self._make_key(), now)
        self._rows.append(row)
        return row

    def _make_key(self) -> str:
        self._key_count += 1
        return f"{self._identity}/{self._key_count:06d}"

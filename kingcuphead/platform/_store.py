"""Client of the platform's store: transactions, range reads and change feeds."""

import base64
import dataclasses
import math
import time
from collections.abc import Sequence

import msgspec
from expression import Error, Ok, Result
from loguru import logger

from kingcuphead.storage import (
    CommitOutcome,
    Committed,
    Conflict,
    Delete,
    NotSent,
    PlatformConnection,
    PlatformFault,
    PlatformSettings,
    Put,
    Replied,
    ReplyLost,
    Row,
    Transaction,
    Unavailable,
    Unknown,
)

#: Table that holds the operator's configuration.
CONFIGURATION_TABLE = "op"
#: Key of the configuration row in that table.
CONFIGURATION_KEY = "config"
#: Table that holds one entry per target.
TARGETS_TABLE = "servers"
#: Appended to a prefix, sorts after every key with that prefix.
_AFTER_ALL_KEYS = "\x7f"
#: Seconds beyond the wait of a long poll before the call times out.
POLL_TIMEOUT_MARGIN = 1.0
#: Request timeout of all other calls, in seconds.
CALL_TIMEOUT = 2.0
#: Timeout for opening a connection to the store, in seconds.
CONNECT_TIMEOUT = 1.0

_OK = 200
_GONE = 410
_PRECONDITION_FAILED = 412


class _Row(msgspec.Struct):
    key: str
    table: str = ""
    part: str = ""
    value: str = ""
    ver: int = 0
    removed: bool = False


class _Rows(msgspec.Struct):
    rows: list[_Row] = []
    has_more: bool = False
    ver: int = 0
    now_ms: int = 0


class _Version(msgspec.Struct):
    ver: int = 0
    # Monotonic clock of the store, in milliseconds since an unspecified epoch.
    now_ms: int = 0


_ROWS = msgspec.json.Decoder(_Rows)
_VERSION = msgspec.json.Decoder(_Version)


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """A row that was written or removed."""

    #: Key of the row.
    key: str
    #: New value; None if the row was removed.
    value: bytes | None


@dataclasses.dataclass(frozen=True, slots=True)
class Changes:
    """Changes of a table after one version, up to and including another."""

    #: The changes, oldest first.
    changes: tuple[Change, ...]
    #: Version after which the next read of the feed starts.
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class HistoryLost:
    """The store no longer has the requested changes; the table must be read again."""


@dataclasses.dataclass(frozen=True, slots=True)
class Snapshot:
    """Rows of a table, with the version to follow the table from."""

    #: The rows, ordered by key.
    rows: tuple[Row, ...]
    #: Version of the table when the read began.
    version: int


class Store:
    """Client of the platform's store.

    Parameters
    ----------
    address
        IP address and port.
    """

    def __init__(self, address: str) -> None:
        self._address = address
        self._connection = _connect(address)
        # Bounds on the store's clock minus the local monotonic clock, in
        # milliseconds; None before the first reply that carries a time.
        self._offset_lower_bound: float | None = None
        self._offset_upper_bound: float | None = None

    def change_address(self, address: str) -> None:
        """Send further calls to another address; calls in flight continue."""
        if address != self._address:
            self._address = address
            self._connection = _connect(address)

    async def read_table(
        self, table: str, part: str = "", prefix: str = ""
    ) -> Result[Snapshot, PlatformFault]:
        """Read the rows of one part of a table whose keys have a prefix.

        Parameters
        ----------
        table
            Name of the table.
        part
            Name of the part.
        prefix
            Prefix of the keys; empty for all rows.
        """
        rows: list[Row] = []
        version = 0
        query = {"table": table, "part": part, "from": prefix}
        if prefix:
            query["to"] = prefix + _AFTER_ALL_KEYS
        while True:
            reply = await self._connection.exchange("GET", "/api/rows-get", None, query)
            page = _decode_rows("read", reply)
            if page.is_error():
                return Error(page.error)
            self._record_time(page.ok.now_ms)
            rows.extend(_make_rows(page.ok.rows))
            version = version or page.ok.ver
            if not page.ok.has_more or not page.ok.rows:
                return Ok(Snapshot(tuple(rows), version))
            query["from"] = page.ok.rows[-1].key + "\0"

    def estimate_time(self) -> int | None:
        """Return a lower bound on the store's current time in milliseconds.

        Returns
        -------
        int | None
            The bound, or None before the first reply that carries a time.
        """
        if self._offset_lower_bound is None:
            return None
        return math.floor(time.monotonic() * 1000 + self._offset_lower_bound)

    async def follow_table(
        self, table: str, version: int, wait: float
    ) -> Result[Changes | HistoryLost, PlatformFault]:
        """Long-poll the changes of a table after a version.

        Parameters
        ----------
        table
            Name of the table.
        version
            Last version that the caller has received.
        wait
            Maximum time in seconds to wait for a change.
        """
        query = {
            "table": table,
            "start_after": str(version),
            "wait_ms": str(int(wait * 1000)),
        }
        reply = await self._connection.exchange(
            "GET", "/api/rows-feed", None, query, wait + POLL_TIMEOUT_MARGIN
        )
        if isinstance(reply, Replied) and reply.status == _GONE:
            return Ok(HistoryLost())
        return _decode_rows("follow", reply).map(_make_changes)

    async def commit(
        self, table: str, part: str, transaction: Transaction
    ) -> CommitOutcome:
        """Apply a transaction to one part of a table."""
        body = _encode_transaction(table, part, transaction)
        sent_at = time.monotonic()
        reply = await self._connection.exchange("POST", "/api/rows-tx", body)
        match reply:
            case Replied(status, content) if status in (_OK, _PRECONDITION_FAILED):
                self._record_commit_time(_decode_time(content), sent_at)
                return _decode_outcome(status, content)
            case Replied() | NotSent():
                return Unavailable()
            case ReplyLost():
                return Unknown()

    def bound_time(self, moment: float) -> int | None:
        """Return an upper bound on the store's time in milliseconds.

        The bound uses replies to transactions only, because replies to reads may
        carry an earlier time.

        Parameters
        ----------
        moment
            Local monotonic time in seconds for which the bound holds.

        Returns
        -------
        int | None
            The bound, or None before the first reply to a transaction.
        """
        if self._offset_upper_bound is None:
            return None
        return math.ceil(moment * 1000 + self._offset_upper_bound)

    def _record_commit_time(self, store_time: int, sent_at: float) -> None:
        """Update both bounds from a store time read after a call was sent."""
        self._record_time(store_time)
        offset = store_time - sent_at * 1000
        if store_time and (
            self._offset_upper_bound is None or offset < self._offset_upper_bound
        ):
            self._offset_upper_bound = offset

    def _record_time(self, store_time: int) -> None:
        """Update the lower bound from a store time read before now."""
        offset = store_time - time.monotonic() * 1000
        if store_time and (
            self._offset_lower_bound is None or offset > self._offset_lower_bound
        ):
            self._offset_lower_bound = offset

    def close(self) -> None:
        """Close the connection to the store."""
        self._connection.close()


class StoreTable:
    """One part of a table of the store, for the state machines that commit to it.

    Parameters
    ----------
    store
        Client of the store.
    table
        Name of the table.
    part
        Name of the part.
    """

    def __init__(self, store: Store, table: str, part: str) -> None:
        self._store = store
        self._table = table
        self._part = part

    async def read_prefix(self, prefix: str) -> Result[tuple[Row, ...], PlatformFault]:
        """Read the rows whose keys have a prefix."""
        snapshot = await self._store.read_table(self._table, self._part, prefix)
        return snapshot.map(lambda found: found.rows)

    def estimate_time(self) -> int | None:
        """Return a lower bound on the store's time; see `Store.estimate_time`."""
        return self._store.estimate_time()

    def bound_time(self, moment: float) -> int | None:
        """Return an upper bound on the store's time; see `Store.bound_time`."""
        return self._store.bound_time(moment)

    async def commit(self, transaction: Transaction) -> CommitOutcome:
        """Apply a transaction; never raises for a store fault."""
        return await self._store.commit(self._table, self._part, transaction)


def _connect(address: str) -> PlatformConnection:
    return PlatformConnection(
        PlatformSettings(
            url=f"http://{address}",
            connect_timeout=CONNECT_TIMEOUT,
            request_timeout=CALL_TIMEOUT,
            content_type="application/json",
        )
    )


def _decode_time(content: bytes) -> int:
    try:
        return _VERSION.decode(content).now_ms
    except msgspec.MsgspecError:
        # `_decode_outcome` logs the decoding error.
        return 0


def _decode_outcome(status: int, content: bytes) -> CommitOutcome:
    try:
        if status == _OK:
            return Committed(_VERSION.decode(content).ver)
        return Conflict(tuple(_make_rows(_ROWS.decode(content).rows)))
    except msgspec.MsgspecError as error:
        logger.error("cannot decode the store's reply to a transaction: {}", error)
        return Unknown()


def _decode_rows(
    operation: str, reply: Replied | NotSent | ReplyLost
) -> Result[_Rows, PlatformFault]:
    match reply:
        case Replied(status, content) if status == _OK:
            try:
                return Ok(_ROWS.decode(content))
            except msgspec.MsgspecError as error:
                return Error(PlatformFault(operation, str(error)))
        case Replied(status):
            return Error(PlatformFault(operation, f"HTTP {status}"))
        case NotSent(cause) | ReplyLost(cause):
            return Error(PlatformFault(operation, cause))


def _make_rows(rows: Sequence[_Row]) -> list[Row]:
    return [
        Row(each.key, each.ver, base64.b64decode(each.value))
        for each in rows
        if not each.removed and each.ver
    ]


def _make_changes(page: _Rows) -> Changes:
    return Changes(
        tuple(
            Change(each.key, None if each.removed else base64.b64decode(each.value))
            for each in page.rows
            if not each.part
        ),
        page.ver,
    )


def _encode_transaction(table: str, part: str, transaction: Transaction) -> bytes:
    row_scope = {"table": table, "part": part}
    return msgspec.json.encode(
        {
            "expect": [
                {**row_scope, "key": check.key, "ver": check.version}
                for check in transaction.checks
            ],
            "puts": [
                {
                    **row_scope,
                    "key": write.key,
                    "value": base64.b64encode(write.value).decode(),
                }
                for write in transaction.writes
                if isinstance(write, Put)
            ],
            "remove": [
                {**row_scope, "key": write.key}
                for write in transaction.writes
                if isinstance(write, Delete)
            ],
        }
    )

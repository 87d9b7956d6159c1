"""The platform's store: transactions, ranges of rows and changes."""

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

#: Table with the operator's configuration.
CONFIGURATION_TABLE = "op"
#: Key of the configuration in its table.
CONFIGURATION_KEY = "config"
#: Table with the entries of targets.
TARGETS_TABLE = "servers"
#: Sorts after every key that starts the same.
_AFTER_ALL_KEYS = "\x7f"
#: Seconds beyond a long poll's own wait before its connection counts as silent.
POLL_SLACK = 1.0
#: Seconds before any other call counts as lost.
CALL_TIMEOUT = 2.0
#: Seconds to open a connection to the store.
CONNECT_TIMEOUT = 1.0

_OK = 200
_GONE = 410
_CONFLICT = 412


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
    # A steady clock of the store, in milliseconds since an unknown moment.
    now_ms: int = 0


_ROWS = msgspec.json.Decoder(_Rows)
_VERSION = msgspec.json.Decoder(_Version)


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """A row that was written or removed."""

    #: Key of the row.
    key: str
    #: Its value; None where it was removed.
    value: bytes | None


@dataclasses.dataclass(frozen=True, slots=True)
class Changes:
    """What happened to a table after one version and up to another."""

    #: The changes, in order.
    changes: tuple[Change, ...]
    #: Version to continue from.
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class HistoryLost:
    """The changes asked for are no longer kept; the table has to be read anew."""


@dataclasses.dataclass(frozen=True, slots=True)
class Snapshot:
    """A whole table as of one moment."""

    #: Its rows, in the order of their keys.
    rows: tuple[Row, ...]
    #: Version of the moment.
    version: int


class Store:
    """Calls to the platform's store.

    Parameters
    ----------
    address
        IP number and port.
    """

    def __init__(self, address: str) -> None:
        self._address = address
        self._connection = _connect(address)
        # Bounds of the store's time less the local time, in milliseconds.
        self._time_offset: float | None = None
        self._latest_offset: float | None = None

    def change_address(self, address: str) -> None:
        """Make further calls to another address; open ones go on."""
        if address != self._address:
            self._address = address
            self._connection = _connect(address)

    async def read_table(
        self, table: str, part: str = "", prefix: str = ""
    ) -> Result[Snapshot, PlatformFault]:
        """Read the rows of one part of a table whose keys start with a prefix."""
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
            self._note_time(page.ok.now_ms)
            rows.extend(_make_rows(page.ok.rows))
            version = version or page.ok.ver
            if not page.ok.has_more or not page.ok.rows:
                return Ok(Snapshot(tuple(rows), version))
            query["from"] = page.ok.rows[-1].key + "\0"

    def estimate_time(self) -> int | None:
        """Return the store's time in milliseconds, or earlier; None if not known."""
        if self._time_offset is None:
            return None
        return math.floor(time.monotonic() * 1000 + self._time_offset)

    async def follow_table(
        self, table: str, version: int, wait: float
    ) -> Result[Changes | HistoryLost, PlatformFault]:
        """Return what changed in a table after a version.

        Parameters
        ----------
        table
            Name of the table.
        version
            Version that is known already.
        wait
            Longest time in seconds to wait for a change.
        """
        query = {
            "table": table,
            "start_after": str(version),
            "wait_ms": str(int(wait * 1000)),
        }
        reply = await self._connection.exchange(
            "GET", "/api/rows-feed", None, query, wait + POLL_SLACK
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
            case Replied(status, content) if status in (_OK, _CONFLICT):
                self._note_commit_time(_decode_time(content), sent_at)
                return _decode_outcome(status, content)
            case Replied() | NotSent():
                return Unavailable()
            case ReplyLost():
                return Unknown()

    def bound_time(self, moment: float) -> int | None:
        """Return the store's time in milliseconds at a local time, or later.

        Only replies to transactions count: those to reads may be of an earlier time.
        """
        if self._latest_offset is None:
            return None
        return math.ceil(moment * 1000 + self._latest_offset)

    def _note_commit_time(self, store_time: int, sent_at: float) -> None:
        """Take the store's time as of some moment after a call was sent."""
        self._note_time(store_time)
        offset = store_time - sent_at * 1000
        if store_time and (self._latest_offset is None or offset < self._latest_offset):
            self._latest_offset = offset

    def _note_time(self, store_time: int) -> None:
        """Take the store's time as of some moment before now."""
        offset = store_time - time.monotonic() * 1000
        if store_time and (self._time_offset is None or offset > self._time_offset):
            self._time_offset = offset

    def close(self) -> None:
        """Close the connections."""
        self._connection.close()


class StoreTable:
    """One part of a table, as the machines that commit to it see it.

    Parameters
    ----------
    store
        The store.
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
        """Read the rows whose keys start with a prefix."""
        snapshot = await self._store.read_table(self._table, self._part, prefix)
        return snapshot.map(lambda found: found.rows)

    def estimate_time(self) -> int | None:
        """Return the store's time in milliseconds, or earlier; None if not known."""
        return self._store.estimate_time()

    def bound_time(self, moment: float) -> int | None:
        """Return the store's time in milliseconds at a local time, or later."""
        return self._store.bound_time(moment)

    async def commit(self, transaction: Transaction) -> CommitOutcome:
        """Apply a transaction; never raises for a fault of the store."""
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
        # `_decode_outcome` logs what can't be read.
        return 0


def _decode_outcome(status: int, content: bytes) -> CommitOutcome:
    try:
        if status == _OK:
            return Committed(_VERSION.decode(content).ver)
        return Conflict(tuple(_make_rows(_ROWS.decode(content).rows)))
    except msgspec.MsgspecError as error:
        logger.error("the store's reply to a transaction can't be read: {}", error)
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
    place = {"table": table, "part": part}
    return msgspec.json.encode(
        {
            "expect": [
                {**place, "key": check.key, "ver": check.version}
                for check in transaction.checks
            ],
            "puts": [
                {
                    **place,
                    "key": write.key,
                    "value": base64.b64encode(write.value).decode(),
                }
                for write in transaction.writes
                if isinstance(write, Put)
            ],
            "remove": [
                {**place, "key": write.key}
                for write in transaction.writes
                if isinstance(write, Delete)
            ],
        }
    )

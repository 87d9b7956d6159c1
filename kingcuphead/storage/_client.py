"""HTTP clients of the platform's table, object store and instance list."""

from collections.abc import Sequence
from typing import TypeVar

import msgspec
from expression import Error, Ok, Result

from kingcuphead.storage._exchange import (
    Exchange,
    NotSent,
    PlatformConnection,
    Replied,
    ReplyLost,
)
from kingcuphead.storage._messages import (
    CommitOutcome,
    Instance,
    PlatformFault,
    Row,
    ScanPage,
    Transaction,
    Unavailable,
    Unknown,
)
from kingcuphead.storage.wire import (
    COMMIT_PATH,
    INSTANCES_PATH,
    OBJECTS_PATH,
    READ_PATH,
    SCAN_PATH,
    CommitReply,
    InstancesReply,
    ReadBody,
    RowsReply,
    ScanBody,
    decode_outcome,
    encode_transaction,
)

T = TypeVar("T")

OK_STATUS = 200
NOT_FOUND_STATUS = 404


class HttpTable:
    """HTTP client of the transactional table.

    Parameters
    ----------
    connection : PlatformConnection
        Connection to the platform.
    """

    def __init__(self, connection: PlatformConnection) -> None:
        self._connection = connection

    async def commit(self, transaction: Transaction) -> CommitOutcome:
        """Apply a transaction; platform faults are returned, never raised."""
        body = msgspec.json.encode(encode_transaction(transaction))
        match await self._connection.exchange("POST", COMMIT_PATH, body):
            case NotSent():
                return Unavailable()
            case Replied(status, content) if status == OK_STATUS:
                return _decode_outcome(content)
            # No other reply proves whether the writes took effect.
            case _:
                return Unknown()

    async def read(self, keys: Sequence[str]) -> Result[tuple[Row, ...], PlatformFault]:
        """Read rows from one consistent snapshot; absent rows are omitted."""
        body = msgspec.json.encode(ReadBody(tuple(keys)))
        exchange = await self._connection.exchange("POST", READ_PATH, body)
        reply = _decode("read", exchange, RowsReply)
        return reply.map(lambda found: found.rows)

    async def scan(
        self, prefix: str, after: str | None = None, limit: int = 500
    ) -> Result[ScanPage, PlatformFault]:
        """Read up to `limit` rows whose keys start with `prefix`, in key order."""
        body = msgspec.json.encode(ScanBody(prefix, after, limit))
        exchange = await self._connection.exchange("POST", SCAN_PATH, body)
        return _decode("scan", exchange, ScanPage)


class HttpObjectStore:
    """HTTP client of the object store.

    Parameters
    ----------
    connection : PlatformConnection
        Connection to the platform.
    """

    def __init__(self, connection: PlatformConnection) -> None:
        self._connection = connection

    async def put(self, name: str, content: bytes) -> Result[None, PlatformFault]:
        """Write a complete object, replacing any object of the same name."""
        exchange = await self._connection.exchange("PUT", OBJECTS_PATH + name, content)
        return _expect_ok("put", exchange).map(lambda _: None)

    async def get(self, name: str) -> Result[bytes | None, PlatformFault]:
        """Fetch an object; None if no object has this name."""
        exchange = await self._connection.exchange("GET", OBJECTS_PATH + name)
        match exchange:
            case Replied(status) if status == NOT_FOUND_STATUS:
                return Ok(None)
            case _:
                return _expect_ok("get", exchange).map(_as_optional)


class HttpInstanceList:
    """HTTP client of the instance list, which lags behind the instances' state.

    Parameters
    ----------
    connection : PlatformConnection
        Connection to the platform.
    """

    def __init__(self, connection: PlatformConnection) -> None:
        self._connection = connection

    async def fetch(self) -> Result[tuple[Instance, ...], PlatformFault]:
        """Fetch the complete list."""
        exchange = await self._connection.exchange("GET", INSTANCES_PATH)
        reply = _decode("fetch", exchange, InstancesReply)
        return reply.map(lambda found: found.instances)


def _as_optional(content: bytes) -> bytes | None:
    return content


def _decode_outcome(content: bytes) -> CommitOutcome:
    try:
        return decode_outcome(msgspec.json.decode(content, type=CommitReply))
    except msgspec.DecodeError:
        return Unknown()


def _decode(
    operation: str, exchange: Exchange, reply_type: type[T]
) -> Result[T, PlatformFault]:
    match _expect_ok(operation, exchange):
        case Result(tag="ok", ok=content):
            return _decode_content(operation, content, reply_type)
        case Result(error=fault):
            return Error(fault)


def _decode_content(
    operation: str, content: bytes, reply_type: type[T]
) -> Result[T, PlatformFault]:
    try:
        return Ok(msgspec.json.decode(content, type=reply_type))
    except msgspec.DecodeError as error:
        return Error(PlatformFault(operation, f"undecodable reply: {error}"))


def _expect_ok(operation: str, exchange: Exchange) -> Result[bytes, PlatformFault]:
    match exchange:
        case Replied(status, content) if status == OK_STATUS:
            return Ok(content)
        case Replied(status):
            return Error(PlatformFault(operation, f"HTTP {status}"))
        case NotSent(cause) | ReplyLost(cause):
            return Error(PlatformFault(operation, cause))

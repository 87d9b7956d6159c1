"""The platform's services over HTTP."""

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
    describe_transaction,
    restore_outcome,
)

T = TypeVar("T")

OK_STATUS = 200
NOT_FOUND_STATUS = 404


class HttpTable:
    """The transactional table over HTTP.

    Parameters
    ----------
    connection : PlatformConnection
        Connection that the requests go through.
    """

    def __init__(self, connection: PlatformConnection) -> None:
        self._connection = connection

    async def commit(self, transaction: Transaction) -> CommitOutcome:
        """Apply a transaction; never raises for a platform fault."""
        body = msgspec.json.encode(describe_transaction(transaction))
        match await self._connection.exchange("POST", COMMIT_PATH, body):
            case NotSent():
                return Unavailable()
            case Replied(status, content) if status == OK_STATUS:
                return _decode_outcome(content)
            # Any other answer doesn't say whether the writes took effect.
            case _:
                return Unknown()

    async def read(self, keys: Sequence[str]) -> Result[tuple[Row, ...], PlatformFault]:
        """Read rows at one moment; absent rows are left out."""
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
    """The object store over HTTP.

    Parameters
    ----------
    connection : PlatformConnection
        Connection that the requests go through.
    """

    def __init__(self, connection: PlatformConnection) -> None:
        self._connection = connection

    async def put(self, name: str, content: bytes) -> Result[None, PlatformFault]:
        """Store an object whole, replacing an earlier one."""
        exchange = await self._connection.exchange("PUT", OBJECTS_PATH + name, content)
        return _expect_ok("put", exchange).map(lambda _: None)

    async def get(self, name: str) -> Result[bytes | None, PlatformFault]:
        """Fetch an object, or None if there is none."""
        exchange = await self._connection.exchange("GET", OBJECTS_PATH + name)
        match exchange:
            case Replied(status) if status == NOT_FOUND_STATUS:
                return Ok(None)
            case _:
                return _expect_ok("get", exchange).map(_keep_object)


class HttpInstanceList:
    """The lagging list of instances over HTTP.

    Parameters
    ----------
    connection : PlatformConnection
        Connection that the requests go through.
    """

    def __init__(self, connection: PlatformConnection) -> None:
        self._connection = connection

    async def fetch(self) -> Result[tuple[Instance, ...], PlatformFault]:
        """Fetch the whole list."""
        exchange = await self._connection.exchange("GET", INSTANCES_PATH)
        reply = _decode("fetch", exchange, InstancesReply)
        return reply.map(lambda found: found.instances)


def _keep_object(content: bytes) -> bytes | None:
    return content


def _decode_outcome(content: bytes) -> CommitOutcome:
    try:
        return restore_outcome(msgspec.json.decode(content, type=CommitReply))
    except msgspec.DecodeError:
        return Unknown()


def _decode(
    operation: str, exchange: Exchange, kind: type[T]
) -> Result[T, PlatformFault]:
    match _expect_ok(operation, exchange):
        case Result(tag="ok", ok=content):
            return _decode_content(operation, content, kind)
        case Result(error=fault):
            return Error(fault)


def _decode_content(
    operation: str, content: bytes, kind: type[T]
) -> Result[T, PlatformFault]:
    try:
        return Ok(msgspec.json.decode(content, type=kind))
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

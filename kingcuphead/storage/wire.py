"""The platform's HTTP interface: paths, bodies and their codec.

Row values are base64 text, which is how `msgspec` encodes bytes in JSON.
"""

from typing import TypeAlias

import msgspec

from kingcuphead.storage._messages import (
    Check,
    CommitOutcome,
    Committed,
    Conflict,
    Delete,
    Instance,
    Put,
    Row,
    Transaction,
)

#: Path for a `CommitBody`; the reply is a `CommitReply`.
COMMIT_PATH = "/table/commit"
#: Path for a `ReadBody`; the reply is a `RowsReply`.
READ_PATH = "/table/read"
#: Path for a `ScanBody`; the reply is a `ScanPage`.
SCAN_PATH = "/table/scan"
#: Prefix of an object's path; the object's name follows.
OBJECTS_PATH = "/objects/"
#: Path whose reply is an `InstancesReply`.
INSTANCES_PATH = "/instances"
#: HTTP status of a request that was refused before it had any effect.
REFUSED_STATUS = 503


class Write(msgspec.Struct, frozen=True):
    """One write of a transaction."""

    #: Key of the row.
    key: str
    #: New value, or None to remove the row.
    value: bytes | None


class CommitBody(msgspec.Struct, frozen=True):
    """Request body with a transaction."""

    #: Preconditions, all of which must hold.
    checks: tuple[Check, ...]
    #: Writes, in the order of their application.
    writes: tuple[Write, ...]


class CommittedReply(msgspec.Struct, frozen=True, tag="committed"):
    """Reply to a transaction that took effect."""

    #: Number of the commit: the version of every row that it wrote.
    version: int


class ConflictReply(msgspec.Struct, frozen=True, tag="conflict"):
    """Reply to a transaction of which a check failed; nothing was written."""

    #: Current rows of the failed checks; absent rows are omitted.
    rows: tuple[Row, ...]


CommitReply: TypeAlias = CommittedReply | ConflictReply


class ReadBody(msgspec.Struct, frozen=True):
    """Request body with the keys to read from one consistent snapshot."""

    #: Keys of the rows.
    keys: tuple[str, ...]


class ScanBody(msgspec.Struct, frozen=True):
    """Request body for one page of a scan."""

    #: Prefix of the keys.
    prefix: str
    #: Key after which the page starts; None for the first page.
    after: str | None
    #: Maximum number of rows in the page.
    limit: int


class RowsReply(msgspec.Struct, frozen=True):
    """Reply to a read: the rows that exist."""

    #: Rows in the order of the requested keys.
    rows: tuple[Row, ...]


class InstancesReply(msgspec.Struct, frozen=True):
    """Reply with the instance list."""

    #: All instances in the list.
    instances: tuple[Instance, ...]


def encode_transaction(transaction: Transaction) -> CommitBody:
    """Return the request body for a transaction."""
    writes = (_encode_write(write) for write in transaction.writes)
    return CommitBody(transaction.checks, tuple(writes))


def _encode_write(write: Put | Delete) -> Write:
    match write:
        case Put(key, value):
            return Write(key, value)
        case Delete(key):
            return Write(key, None)


def decode_transaction(body: CommitBody) -> Transaction:
    """Return the transaction of a request body."""
    writes = (_decode_write(write) for write in body.writes)
    return Transaction(body.checks, tuple(writes))


def _decode_write(write: Write) -> Put | Delete:
    if write.value is None:
        return Delete(write.key)
    return Put(write.key, write.value)


def encode_outcome(outcome: Committed | Conflict) -> CommitReply:
    """Return the reply for the outcome of a transaction."""
    match outcome:
        case Committed(version):
            return CommittedReply(version)
        case Conflict(rows):
            return ConflictReply(rows)


def decode_outcome(reply: CommitReply) -> CommitOutcome:
    """Return the outcome of a transaction from its reply."""
    match reply:
        case CommittedReply(version):
            return Committed(version)
        case ConflictReply(rows):
            return Conflict(rows)

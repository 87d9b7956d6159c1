"""The platform's HTTP interface: paths, bodies and their codec.

Row values travel as base64 text, which is how `msgspec` writes bytes in JSON.
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

#: Path that takes a `CommitBody` and answers with a `CommitReply`.
COMMIT_PATH = "/table/commit"
#: Path that takes a `ReadBody` and answers with a `RowsReply`.
READ_PATH = "/table/read"
#: Path that takes a `ScanBody` and answers with a `ScanPage`.
SCAN_PATH = "/table/scan"
#: Start of the path of an object; the rest is its name.
OBJECTS_PATH = "/objects/"
#: Path that answers with an `InstancesReply`.
INSTANCES_PATH = "/instances"
#: Status of a request that was refused before it had any effect.
REFUSED_STATUS = 503


class Write(msgspec.Struct, frozen=True):
    """One write of a transaction."""

    #: Key of the row.
    key: str
    #: New value, or None to remove the row.
    value: bytes | None


class CommitBody(msgspec.Struct, frozen=True):
    """A transaction."""

    #: Conditions, all of which must hold.
    checks: tuple[Check, ...]
    #: Writes, in order.
    writes: tuple[Write, ...]


class CommittedReply(msgspec.Struct, frozen=True, tag="committed"):
    """The transaction took effect."""

    #: Number of the commit.
    version: int


class ConflictReply(msgspec.Struct, frozen=True, tag="conflict"):
    """A check failed and nothing was written."""

    #: The rows behind the failed checks.
    rows: tuple[Row, ...]


CommitReply: TypeAlias = CommittedReply | ConflictReply


class ReadBody(msgspec.Struct, frozen=True):
    """Keys to read at one moment."""

    #: Keys of the rows.
    keys: tuple[str, ...]


class ScanBody(msgspec.Struct, frozen=True):
    """A request for one page of rows."""

    #: Common start of the keys.
    prefix: str
    #: Key after which the page starts.
    after: str | None
    #: Most rows in the page.
    limit: int


class RowsReply(msgspec.Struct, frozen=True):
    """The rows that exist."""

    #: Rows in the order of the keys asked for.
    rows: tuple[Row, ...]


class InstancesReply(msgspec.Struct, frozen=True):
    """The instance list."""

    #: Every instance.
    instances: tuple[Instance, ...]


def describe_transaction(transaction: Transaction) -> CommitBody:
    """Return the body that carries a transaction."""
    writes = (_describe_write(write) for write in transaction.writes)
    return CommitBody(transaction.checks, tuple(writes))


def _describe_write(write: Put | Delete) -> Write:
    match write:
        case Put(key, value):
            return Write(key, value)
        case Delete(key):
            return Write(key, None)


def restore_transaction(body: CommitBody) -> Transaction:
    """Return the transaction that a body carries."""
    writes = (_restore_write(write) for write in body.writes)
    return Transaction(body.checks, tuple(writes))


def _restore_write(write: Write) -> Put | Delete:
    if write.value is None:
        return Delete(write.key)
    return Put(write.key, write.value)


def describe_outcome(outcome: Committed | Conflict) -> CommitReply:
    """Return the body that carries the outcome of a transaction."""
    match outcome:
        case Committed(version):
            return CommittedReply(version)
        case Conflict(rows):
            return ConflictReply(rows)


def restore_outcome(reply: CommitReply) -> CommitOutcome:
    """Return the outcome that a reply carries."""
    match reply:
        case CommittedReply(version):
            return Committed(version)
        case ConflictReply(rows):
            return Conflict(rows)

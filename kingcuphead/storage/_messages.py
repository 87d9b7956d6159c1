"""Rows, transactions, outcomes and faults of the platform's services."""

import enum
from collections.abc import Iterable
from typing import TypeAlias

from kingcuphead.frozen import frozen

#: Version in a `Check` for a row that must not exist.
ABSENT = 0


@frozen
class Row:
    """One versioned row of the table."""

    #: Unique key; path segments are separated by slashes.
    key: str
    #: Number of the commit that wrote the row; it increases and is never reused.
    version: int
    #: Encoded value.
    value: bytes


@frozen
class RowSnapshot:
    """Rows that were read together from one part of a table."""

    #: The rows, ordered by key.
    rows: tuple[Row, ...]
    #: Newest version of the store when the read began.
    version: int
    #: Era of the store in which the rows were read.
    era: int = 0
    #: Bytes of the replies that contained them.
    size: int = 0


@frozen
class Check:
    """Precondition of a transaction: the row has this version."""

    #: Key of the row.
    key: str
    #: Expected version, or `ABSENT` if the row must not exist.
    version: int


@frozen
class Put:
    """Write one row."""

    #: Key of the row.
    key: str
    #: Encoded value.
    value: bytes


@frozen
class Delete:
    """Remove one row."""

    #: Key of the row.
    key: str


@frozen
class Transaction:
    """Writes that are applied atomically if every check holds."""

    #: Preconditions, all of which must hold.
    checks: tuple[Check, ...]
    #: Writes, in the order of their application.
    writes: tuple[Put | Delete, ...]


def make_removal(rows: Iterable[Row]) -> Transaction:
    """Return the transaction that removes rows unless they have changed since."""
    removed = tuple(rows)
    return Transaction(
        tuple(Check(row.key, row.version) for row in removed),
        tuple(Delete(row.key) for row in removed),
    )


@frozen
class Committed:
    """The transaction took effect."""

    #: Version of every row that it wrote.
    version: int
    #: Era of the store in which it was applied.
    era: int = 0


@frozen
class Conflict:
    """A check failed and nothing was written."""

    #: Current rows of the failed checks; absent rows are omitted.
    rows: tuple[Row, ...]
    #: Era of the store from which the rows are.
    era: int = 0


@frozen
class Unknown:
    """No valid reply arrived: the transaction may or may not have taken effect."""


@frozen
class Unavailable:
    """The table was unreachable or refused the transaction, which had no effect."""


CommitOutcome: TypeAlias = Committed | Conflict | Unknown | Unavailable


@frozen
class ScanPage:
    """One page of rows in key order."""

    #: The rows, all from one consistent snapshot.
    rows: tuple[Row, ...]
    #: Key to continue after, or None on the last page.
    resume_after: str | None


@frozen
class PlatformFault:
    """Failure of a call to the platform other than a commit."""

    #: Name of the operation, for example "read" or "scan".
    operation: str
    #: Description of the cause, in English.
    cause: str

    @property
    def message(self) -> str:
        """Message for the log."""
        return f"platform {self.operation} failed: {self.cause}"


class InstanceState(enum.StrEnum):
    """State of an instance in the platform's list, which may be outdated."""

    LIVE = "live"
    LEAVING = "leaving"
    TERMINATED = "terminated"


@frozen
class Instance:
    """One entry of the platform's instance list."""

    #: Instance name; unique and never reused.
    name: str
    #: Service that the instance belongs to.
    service: str
    #: Availability zone of the instance.
    zone: str
    #: IP address and port, for example "127.0.0.1:8080".
    address: str
    #: Last state that the platform has recorded.
    state: InstanceState

"""Messages exchanged with the platform's services."""

import dataclasses
import enum
from typing import TypeAlias

#: The version that `Check` uses for a row that must not exist.
ABSENT = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """One row of the table."""

    #: Unique key; folders are separated by slashes.
    key: str
    #: Number of the commit that wrote the row; higher is newer, never reused.
    version: int
    #: Encoded value.
    value: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Check:
    """Condition of a transaction: the row still has this version."""

    #: Key of the row.
    key: str
    #: Expected version, or `ABSENT`.
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class Put:
    """Write one row."""

    #: Key of the row.
    key: str
    #: Encoded value.
    value: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Delete:
    """Remove one row."""

    #: Key of the row.
    key: str


@dataclasses.dataclass(frozen=True, slots=True)
class Transaction:
    """Writes that take effect together if every check holds, or not at all."""

    #: Conditions, all of which must hold.
    checks: tuple[Check, ...]
    #: Writes, in order.
    writes: tuple[Put | Delete, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Committed:
    """The transaction took effect."""

    #: Version of every row that it wrote.
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class Conflict:
    """A check failed and nothing was written."""

    #: The rows behind the failed checks as they are now; absent rows are left out.
    rows: tuple[Row, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Unknown:
    """The reply was lost: the transaction may or may not have taken effect."""


@dataclasses.dataclass(frozen=True, slots=True)
class Unavailable:
    """The table was not reached: the transaction certainly had no effect."""


CommitOutcome: TypeAlias = Committed | Conflict | Unknown | Unavailable


@dataclasses.dataclass(frozen=True, slots=True)
class ScanPage:
    """One page of rows in key order."""

    #: The rows, all read at one moment.
    rows: tuple[Row, ...]
    #: Key to continue after, or None on the last page.
    resume_after: str | None


@dataclasses.dataclass(frozen=True, slots=True)
class PlatformFault:
    """A read from the platform failed."""

    #: The operation, for example "read" or "scan".
    operation: str
    #: Cause, in English.
    cause: str

    @property
    def message(self) -> str:
        """The sentence for the log."""
        return f"platform {self.operation} failed: {self.cause}"


class InstanceState(enum.StrEnum):
    """State of an instance in the platform's lagging list."""

    LIVE = "live"
    LEAVING = "leaving"
    TERMINATED = "terminated"


@dataclasses.dataclass(frozen=True, slots=True)
class Instance:
    """One entry of the platform's instance list."""

    #: Instance name, unique for ever.
    name: str
    #: Service that the instance belongs to.
    service: str
    #: Availability zone.
    zone: str
    #: IP number and port, for example "127.0.0.1:8080".
    address: str
    #: Last state that the platform knows.
    state: InstanceState

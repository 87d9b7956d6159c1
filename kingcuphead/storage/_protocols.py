"""Interfaces of the platform's services."""

from collections.abc import Sequence
from typing import Protocol

from expression import Result

from kingcuphead.storage._messages import (
    CommitOutcome,
    Instance,
    PlatformFault,
    Row,
    RowSnapshot,
    ScanPage,
    Transaction,
)


class Table(Protocol):
    """Transactional table of versioned rows."""

    async def commit(self, transaction: Transaction) -> CommitOutcome:
        """Apply a transaction; platform faults are returned, never raised."""
        ...

    async def read(self, keys: Sequence[str]) -> Result[tuple[Row, ...], PlatformFault]:
        """Read rows from one consistent snapshot; absent rows are omitted."""
        ...

    async def scan(
        self, prefix: str, after: str | None = None, limit: int = 500
    ) -> Result[ScanPage, PlatformFault]:
        """Read up to `limit` rows whose keys start with `prefix`, in key order."""
        ...


class TablePart(Protocol):
    """One part of a table, with the clock of the store that keeps it."""

    async def commit(self, transaction: Transaction) -> CommitOutcome:
        """Commit a transaction; store faults are outcomes, not exceptions."""
        ...

    async def read_prefix(self, prefix: str) -> Result[RowSnapshot, PlatformFault]:
        """Read the rows whose keys start with a prefix."""
        ...

    def estimate_time(self) -> int | None:
        """Return a lower bound of the store's time in milliseconds; None if unknown."""
        ...

    def bound_time(self, moment: float) -> int | None:
        """Return an upper bound of the store's time at a local monotonic time.

        The bound is in milliseconds; None if it is not known.
        """
        ...


class ObjectStore(Protocol):
    """Store of named objects."""

    async def put(self, name: str, content: bytes) -> Result[None, PlatformFault]:
        """Write a complete object, replacing any object of the same name."""
        ...

    async def get(self, name: str) -> Result[bytes | None, PlatformFault]:
        """Fetch an object; None if no object has this name."""
        ...


class InstanceList(Protocol):
    """List of instances, which lags behind their state."""

    async def fetch(self) -> Result[tuple[Instance, ...], PlatformFault]:
        """Fetch the complete list."""
        ...

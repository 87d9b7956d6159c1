"""Interfaces of the platform's services."""

from collections.abc import Sequence
from typing import Protocol

from expression import Result

from kingcuphead.storage._messages import (
    CommitOutcome,
    Instance,
    PlatformFault,
    Row,
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

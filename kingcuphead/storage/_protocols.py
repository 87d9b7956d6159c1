"""Interfaces through which tasks reach the platform."""

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
    """The transactional table service."""

    async def commit(self, transaction: Transaction) -> CommitOutcome:
        """Apply a transaction; never raises for a platform fault."""
        ...

    async def read(self, keys: Sequence[str]) -> Result[tuple[Row, ...], PlatformFault]:
        """Read rows at one moment; absent rows are left out."""
        ...

    async def scan(
        self, prefix: str, after: str | None = None, limit: int = 500
    ) -> Result[ScanPage, PlatformFault]:
        """Read up to `limit` rows whose keys start with `prefix`, in key order."""
        ...


class ObjectStore(Protocol):
    """The object store."""

    async def put(self, name: str, content: bytes) -> Result[None, PlatformFault]:
        """Store an object whole, replacing an earlier one."""
        ...

    async def get(self, name: str) -> Result[bytes | None, PlatformFault]:
        """Fetch an object, or None if there is none."""
        ...


class InstanceList(Protocol):
    """The lagging list of instances."""

    async def fetch(self) -> Result[tuple[Instance, ...], PlatformFault]:
        """Fetch the whole list."""
        ...

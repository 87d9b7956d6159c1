"""Reads a configuration file, and the version in force from a file or the store."""

import asyncio
from pathlib import Path
from typing import Protocol

from expression import Error, Ok, Result

from kingcuphead.platform import CONFIGURATION_KEY, CONFIGURATION_TABLE, Store
from kingcuphead.review import MAX_FILE_BYTES, Finding, Severity
from kingcuphead.storage import PlatformFault, RowSnapshot

#: Beginning of a source that is a store rather than a file.
STORE_PREFIX = "store:"
#: Seconds after which a read of the store is given up.
READ_TIMEOUT = 5.0


class ReadableStore(Protocol):
    """The only call of the store that a check needs."""

    async def read_table(
        self, table: str, part: str = "", prefix: str = ""
    ) -> Result[RowSnapshot, PlatformFault]:
        """Read the rows of one part of a table whose keys have a prefix."""


def read_file(path: str) -> Result[bytes, Finding]:
    """Return the content of a file, cut one byte after the allowed size."""
    try:
        with Path(path).open("rb") as file:
            # One byte more than allowed shows that the file is too large.
            return Ok(file.read(MAX_FILE_BYTES + 1))
    except (OSError, ValueError) as error:
        return _fail(path, str(error))


def read_in_force(source: str) -> Result[bytes, Finding]:
    """Return the version in force.

    Parameters
    ----------
    source
        Path of a file, or `store:HOST:PORT`.
    """
    if not source.startswith(STORE_PREFIX):
        return read_file(source)
    address = source.removeprefix(STORE_PREFIX)
    host, _, port = address.rpartition(":")
    if not host or not (port.isascii() and port.isdigit() and 0 < int(port) < 65_536):
        return _fail(source, "the address is not HOST:PORT")
    return asyncio.run(_read_address(address))


async def read_store(source: str, store: ReadableStore) -> Result[bytes, Finding]:
    """Return the version in force, from a store; nothing is written.

    Parameters
    ----------
    source
        The store as the operator named it, for messages.
    store
        Client of the store.
    """
    try:
        async with asyncio.timeout(READ_TIMEOUT):
            rows = await store.read_table(CONFIGURATION_TABLE, prefix=CONFIGURATION_KEY)
    except TimeoutError:
        return _fail(source, f"no answer within {READ_TIMEOUT:g} s")
    if rows.is_error():
        return _fail(source, rows.error.message)
    for row in rows.ok.rows:
        if row.key == CONFIGURATION_KEY:
            return Ok(row.value)
    return _fail(source, "the store has no configuration")


async def _read_address(address: str) -> Result[bytes, Finding]:
    store = Store(address)
    try:
        return await read_store(f"{STORE_PREFIX}{address}", store)
    finally:
        store.close()


def _fail(source: str, cause: str) -> Result[bytes, Finding]:
    return Error(Finding(Severity.ERROR, source, f"can't be read: {cause}"))

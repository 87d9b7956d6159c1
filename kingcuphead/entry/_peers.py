"""Finds the other daemons by their rows in the platform's store."""

import asyncio
from collections.abc import Callable, Iterator

import msgspec
from expression import Result
from loguru import logger

from kingcuphead.platform import Store
from kingcuphead.storage import Delete, Put, Row, Transaction

#: Table and part with a row for each daemon.
DAEMONS_TABLE, DAEMONS_PART = "daemons", "all"
#: Seconds between two looks at the table.
LOOK_INTERVAL = 5.0

Address = tuple[str, int]


class DaemonRow(msgspec.Struct, frozen=True):
    """Where a daemon takes reports."""

    #: IP number.
    host: str
    #: Port.
    port: int


_DECODER = msgspec.json.Decoder(DaemonRow)


class PeerWatch:
    """Announces this daemon and keeps the addresses of the others.

    The row of a daemon that died stays until one at its address replaces it; reports
    to it are lost.

    Parameters
    ----------
    store
        The platform's store.
    own
        Where this daemon takes reports.
    take
        Takes the addresses of the others.
    """

    def __init__(
        self, store: Store, own: Address, take: Callable[[tuple[Address, ...]], None]
    ) -> None:
        self._store = store
        self._own = own
        self._key = own[0]
        self._take = take

    async def run(self) -> None:
        """Announce this daemon, then look for others for ever."""
        row = Put(self._key, msgspec.json.encode(DaemonRow(*self._own)))
        await self._commit(Transaction((), (row,)))
        while True:
            match await self._store.read_table(DAEMONS_TABLE, DAEMONS_PART):
                case Result(tag="ok", ok=snapshot):
                    self._take(tuple(self._list_others(snapshot.rows)))
                case Result(error=fault):
                    # The last list goes on to serve; reports are only hints.
                    logger.debug("daemons can't be listed: {}", fault.message)
            await asyncio.sleep(LOOK_INTERVAL)

    async def withdraw(self) -> None:
        """Remove the row of this daemon."""
        await self._commit(Transaction((), (Delete(self._key),)))

    async def _commit(self, transaction: Transaction) -> None:
        outcome = await self._store.commit(DAEMONS_TABLE, DAEMONS_PART, transaction)
        logger.debug("row of this daemon: {}", type(outcome).__name__)

    def _list_others(self, rows: tuple[Row, ...]) -> Iterator[Address]:
        for row in rows:
            if row.key == self._key:
                continue
            try:
                daemon = _DECODER.decode(row.value)
            except msgspec.MsgspecError as error:
                logger.warning("row {} names no daemon: {}", row.key, error)
                continue
            yield daemon.host, daemon.port

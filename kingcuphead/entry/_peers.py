"""Service discovery of the other daemons by their rows in the platform's store."""

import asyncio
import contextlib
import random
import socket
from collections.abc import Callable, Iterator

import msgspec
from expression import Result
from loguru import logger

from kingcuphead.addresses import Address
from kingcuphead.decoding import DECODING_ERRORS, MAX_PORT
from kingcuphead.logs import RepetitionLimit, quote
from kingcuphead.platform import Store
from kingcuphead.storage import Delete, Put, Row, Transaction

#: Table and part of the store that contain a row for each daemon.
DAEMONS_TABLE, DAEMONS_PART = "daemons", "all"
#: Seconds between two polls of the table.
POLL_INTERVAL = 5.0
#: Bounds of the seconds between two polls that are made early, because a daemon was
#: heard of that isn't listed. While a fleet starts, each poll finds several of them.
MIN_EARLY_INTERVAL, MAX_EARLY_INTERVAL = 0.4, 0.8


class DaemonRow(msgspec.Struct, frozen=True):
    """The address at which a daemon receives datagrams."""

    #: IP address.
    host: str
    #: UDP port.
    port: int


_DECODER = msgspec.json.Decoder(DaemonRow)


class PeerDiscovery:
    """Registers this daemon and polls the addresses of the others.

    The row of a daemon that crashed remains until a daemon at the same IP address
    replaces it; datagrams to it are lost.

    Parameters
    ----------
    store
        The platform's store.
    own_address
        Address at which this daemon receives datagrams.
    apply_peers
        Called after each successful poll with the addresses of the other daemons.
    poll_interval
        Seconds between two polls.
    """

    def __init__(
        self,
        store: Store,
        own_address: Address,
        apply_peers: Callable[[tuple[Address, ...]], None],
        poll_interval: float = POLL_INTERVAL,
    ) -> None:
        self._store = store
        self._own_address = own_address
        self._key = own_address[0]
        self._apply_peers = apply_peers
        self._poll_interval = poll_interval
        self._is_leaving = False
        self._known: set[Address] = set()
        self._repetitions = RepetitionLimit()
        self._unknown_heard = asyncio.Event()
        #: Event loop's time before which no poll is made early.
        self._early_poll_at = float("-inf")

    async def run(self) -> None:
        """Register this daemon, then poll for the others until cancelled.

        The registration is repeated if a poll doesn't show it: the write was lost, or
        the store was restored from an earlier copy.
        """
        row = Put(self._key, msgspec.json.encode(DaemonRow(*self._own_address)))
        # The daemon may leave while this task waits for its start.
        if not self._is_leaving:
            await self._commit(Transaction((), (row,)))
        while True:
            match await self._store.read_table(DAEMONS_TABLE, DAEMONS_PART):
                case Result(tag="ok", ok=snapshot):
                    peers = tuple(self._decode_peers(snapshot.rows))
                    self._known.update(peers)
                    self._apply_peers(peers)
                    is_listed = any(each.key == self._key for each in snapshot.rows)
                    if not is_listed and not self._is_leaving:
                        await self._commit(Transaction((), (row,)))
                case Result(error=fault):
                    # The last list remains in use, since datagrams need not arrive.
                    logger.debug("cannot list daemons: {}", fault.message)
            await self._wait_for_poll_time()

    def record_sender(self, sender: Address) -> None:
        """Poll at once if a daemon is heard of that has started since the last poll.

        A daemon that isn't listed after that poll either has removed its row, and makes
        no difference any more.
        """
        if sender not in self._known:
            self._known.add(sender)
            self._unknown_heard.set()

    async def deregister(self) -> None:
        """Remove the row of this daemon for good."""
        self._is_leaving = True
        await self._commit(Transaction((), (Delete(self._key),)))

    async def _wait_for_poll_time(self) -> None:
        loop = asyncio.get_running_loop()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(self._poll_interval):
                await self._unknown_heard.wait()
                await asyncio.sleep(self._early_poll_at - loop.time())
                pause = random.uniform(MIN_EARLY_INTERVAL, MAX_EARLY_INTERVAL)
                self._early_poll_at = loop.time() + pause
        self._unknown_heard.clear()

    async def _commit(self, transaction: Transaction) -> None:
        outcome = await self._store.commit(DAEMONS_TABLE, DAEMONS_PART, transaction)
        logger.debug("write to the row of this daemon: {}", type(outcome).__name__)

    def _decode_peers(self, rows: tuple[Row, ...]) -> Iterator[Address]:
        for row in rows:
            if row.key == self._key:
                continue
            try:
                daemon = _DECODER.decode(row.value)
                _check_address(daemon, self._own_address)
            except DECODING_ERRORS as error:
                if self._repetitions.allows(row.key):
                    key, cause = quote(row.key), quote(error)
                    logger.warning("cannot decode daemon row {}: {}", key, cause)
                continue
            yield daemon.host, daemon.port


def _check_address(daemon: DaemonRow, own_address: Address) -> None:
    """Raise `ValueError` unless a datagram can be sent to the address of a daemon.

    Sending to a port out of range closes the socket for good, and a host name would
    block the event loop while it is resolved.
    """
    own_host, _ = own_address
    family = socket.AF_INET6 if ":" in own_host else socket.AF_INET
    try:
        socket.inet_pton(family, daemon.host)
    except OSError as error:
        raise ValueError(
            f"not an IP address of this daemon's address family: {daemon.host}"
        ) from error
    if not 0 < daemon.port <= MAX_PORT:
        raise ValueError(f"not a port: {daemon.port}")

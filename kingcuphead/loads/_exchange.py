"""Sends this daemon's loads to others and takes theirs, by datagrams."""

import asyncio
import random
from collections.abc import Callable, Iterable

from expression import Result
from loguru import logger

from kingcuphead.loads._board import LoadBoard
from kingcuphead.loads._codec import decode_report, encode_report
from kingcuphead.loads._messages import LoadsReported, TargetLoad

#: Seconds between two reports.
REPORT_INTERVAL = 0.1
#: Reports without change after which one is sent all the same.
QUIET_REPORTS = 4
#: Most daemons that get one report; among more, others are drawn each time.
MAX_RECEIVERS = 12

Address = tuple[str, int]


class LoadExchange(asyncio.DatagramProtocol):
    """Owns the socket between daemons.

    Parameters
    ----------
    sender
        Identity of this life of the daemon.
    board
        Takes the reports of the others.
    list_loads
        Returns this daemon's own loads.
    draw
        Source of chance for the receivers.
    """

    def __init__(
        self,
        sender: str,
        board: LoadBoard,
        list_loads: Callable[[], Iterable[TargetLoad]],
        draw: random.Random,
    ) -> None:
        self._sender = sender
        self._board = board
        self._list_loads = list_loads
        self._draw = draw
        self._number = 0
        self._last_loads: tuple[TargetLoad, ...] = ()
        self._quiet = 0
        self._transport: asyncio.DatagramTransport | None = None
        #: Addresses of the other daemons.
        self.peers: tuple[Address, ...] = ()

    async def run(self, address: Address) -> None:
        """Exchange reports for ever."""
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=address
        )
        self._transport = transport
        try:
            while True:
                await asyncio.sleep(REPORT_INTERVAL)
                self._board.expire(loop.time())
                self._report()
        finally:
            transport.close()

    def datagram_received(self, data: bytes, addr: Address) -> None:
        """Take a report of another daemon."""
        match decode_report(data):
            case Result(tag="ok", ok=report):
                self._board.take(report, asyncio.get_running_loop().time())
            case Result(error=cause):
                logger.warning("a datagram of {} can't be read: {}", addr[0], cause)

    def error_received(self, exc: Exception) -> None:
        """Ignore a daemon that is not there; the next list leaves it out."""

    def _report(self) -> None:
        loads = tuple(self._list_loads())
        self._quiet = self._quiet + 1 if loads == self._last_loads else 0
        if self._quiet % (QUIET_REPORTS + 1):
            return
        self._last_loads = loads
        self._number += 1
        datagram = encode_report(LoadsReported(self._sender, self._number, loads))
        for peer in self._choose_receivers():
            if self._transport is not None:
                self._transport.sendto(datagram, peer)

    def _choose_receivers(self) -> Iterable[Address]:
        if len(self.peers) <= MAX_RECEIVERS:
            return self.peers
        return self._draw.sample(self.peers, MAX_RECEIVERS)

"""Sends this daemon's loads to others, now and then and after each large change."""

import asyncio
import contextlib
import random
from collections.abc import Callable, Iterable

from kingcuphead.loads._board import LoadBoard
from kingcuphead.loads._messages import LoadsReported, TargetLoad

#: Seconds between two reports.
REPORT_INTERVAL = 0.1
#: Least seconds between two reports.
LEAST_INTERVAL = 0.005
#: Reports without change after which one is sent all the same.
QUIET_REPORTS = 4
#: Most daemons that get one report; among more, others are drawn each time.
MAX_RECEIVERS = 12

Address = tuple[str, int]


class LoadExchange:
    """Owns this daemon's reports.

    Parameters
    ----------
    sender
        Identity of this life of the daemon.
    board
        Holds the reports of the others.
    list_loads
        Returns this daemon's own loads.
    send
        Sends a report to a daemon.
    draw
        Source of chance for the receivers.
    """

    def __init__(
        self,
        sender: str,
        board: LoadBoard,
        list_loads: Callable[[], Iterable[TargetLoad]],
        send: Callable[[LoadsReported, Address], None],
        draw: random.Random,
    ) -> None:
        self._sender = sender
        self._board = board
        self._list_loads = list_loads
        self._send = send
        self._draw = draw
        self._number = 0
        self._last_loads: tuple[TargetLoad, ...] = ()
        self._quiet = 0
        self._hurry = asyncio.Event()
        #: Addresses of the other daemons.
        self.peers: tuple[Address, ...] = ()

    async def run(self) -> None:
        """Report for ever."""
        loop = asyncio.get_running_loop()
        while True:
            await self._wait()
            self._board.expire(loop.time())
            self._report()
            await asyncio.sleep(LEAST_INTERVAL)

    def hasten(self) -> None:
        """Report soon, since the loads have changed much."""
        self._hurry.set()

    def take(self, report: LoadsReported) -> None:
        """Take a report of another daemon."""
        self._board.take(report, asyncio.get_running_loop().time())

    async def _wait(self) -> None:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(REPORT_INTERVAL):
                await self._hurry.wait()
        self._hurry.clear()

    def _report(self) -> None:
        loads = tuple(self._list_loads())
        self._quiet = self._quiet + 1 if loads == self._last_loads else 0
        if self._quiet % (QUIET_REPORTS + 1):
            return
        self._last_loads = loads
        self._number += 1
        report = LoadsReported(self._sender, self._number, loads)
        for peer in self._choose_receivers():
            self._send(report, peer)

    def _choose_receivers(self) -> Iterable[Address]:
        if len(self.peers) <= MAX_RECEIVERS:
            return self.peers
        return self._draw.sample(self.peers, MAX_RECEIVERS)

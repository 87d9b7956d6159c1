"""Sends this daemon's loads to others when they have changed or would expire."""

import asyncio
from collections.abc import Callable, Iterable

from kingcuphead.loads._changes import REPORT_INTERVAL, LoadChanges
from kingcuphead.loads._messages import LoadsReported, TargetLoad
from kingcuphead.loads._peer_loads import PeerLoads
from kingcuphead.timing import compute_next_tick

#: Minimum seconds between two reports.
MIN_REPORT_INTERVAL = 0.005
#: Minimum seconds from a triggered report to the next periodic look. A small change has
#: to be seen twice, some time apart.
MIN_LOOK_INTERVAL = REPORT_INTERVAL / 2


class LoadExchange:
    """Sends this daemon's load reports and receives those of the others.

    Parameters
    ----------
    sender
        Identity of this incarnation of the daemon.
    peer_loads
        Stores the reports of the other daemons.
    list_loads
        Returns this daemon's own loads.
    send
        Sends a report to other daemons.
    is_cut_off
        Returns whether this daemon can't open connections to targets.
    """

    def __init__(
        self,
        sender: str,
        peer_loads: PeerLoads,
        list_loads: Callable[[], Iterable[TargetLoad]],
        send: Callable[[LoadsReported], None],
        is_cut_off: Callable[[], bool] = lambda: False,
    ) -> None:
        self._sender = sender
        self._peer_loads = peer_loads
        self._list_loads = list_loads
        self._send = send
        self._is_cut_off = is_cut_off
        self._number = 0
        self._changes = LoadChanges()
        self._is_triggered = False
        self._waiter: asyncio.Future[None] | None = None
        self._triggered_at = float("-inf")

    async def run(self) -> None:
        """Send reports until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            is_urgent = await self._wait_for_report_time()
            self._peer_loads.expire(loop.time())
            self._send_report(is_urgent)
            if is_urgent:
                self._triggered_at = loop.time()
                await asyncio.sleep(MIN_REPORT_INTERVAL)

    def apply_report_rounds(self, rounds: int) -> None:
        """Adapt to the number of reports until each other daemon got one.

        Small changes are reported too if a report reaches the whole fleet.
        """
        self._changes.reports_all_changes = rounds <= 1
        self._peer_loads.apply_report_rounds(max(1, rounds))

    def trigger_report(self) -> None:
        """Send the next report without waiting for `REPORT_INTERVAL`."""
        self._is_triggered = True
        self._end_wait()

    def handle_report(self, report: LoadsReported) -> None:
        """Store a report received from another daemon."""
        self._peer_loads.apply_report(report, asyncio.get_running_loop().time())

    async def _wait_for_report_time(self) -> bool:
        """Wait for the next report, and return whether it was triggered."""
        if not self._is_triggered:
            loop = asyncio.get_running_loop()
            self._waiter = loop.create_future()
            earliest = max(loop.time(), self._triggered_at + MIN_LOOK_INTERVAL)
            due = compute_next_tick(REPORT_INTERVAL, earliest)
            timer = loop.call_at(due, self._end_wait)
            try:
                await self._waiter
            finally:
                timer.cancel()
        is_triggered, self._is_triggered = self._is_triggered, False
        return is_triggered

    def _end_wait(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    def _send_report(self, is_urgent: bool) -> None:
        loads = tuple(self._list_loads())
        is_cut_off = self._is_cut_off()
        if not self._changes.is_report_due(loads, is_cut_off, is_urgent):
            return
        self._number += 1
        self._send(LoadsReported(self._sender, self._number, loads, is_cut_off))

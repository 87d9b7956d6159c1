"""Finds out whether targets outlive the attempts that were sent to them."""

import asyncio
from collections import OrderedDict
from collections.abc import Callable, Coroutine
from typing import Any

from kingcuphead.forwarding._connection import is_refusal
from kingcuphead.forwarding._pool import ConnectionPool, Lease
from kingcuphead.frozen import frozen
from kingcuphead.targets import Target, TargetDirectory
from kingcuphead.timing import get_time

#: Seconds for which a target is watched after an attempt; a target that doesn't notice
#: that the connection was closed may begin the request only then.
WATCH_PERIOD = 2.0
#: Bound in seconds on opening a connection to a watched target.
CONNECT_TIMEOUT = 0.4
#: Connections that a living target may close during one watch, for example because it
#: has too many of them.
MAX_CONNECTIONS = 3
#: Number of lost incarnations that are remembered.
MAX_LOST = 256


@frozen
class Follower:
    """Who wants to know what becomes of a target."""

    #: When the target counts as survivor, in seconds of the event loop's clock.
    deadline: float
    #: Called if the target is lost before.
    report_lost: Callable[[], None]
    #: Called if the target survives.
    report_survived: Callable[[], None]


class TargetWatch:
    """Holds a connection to each watched target, and connects again if it breaks.

    A target is lost if it refuses connections: its process has ended. One that can't be
    reached may be cut off, and counts neither as lost nor as survivor.

    Parameters
    ----------
    pool
        Provides the connections.
    directory
        Knows the targets that leave; their end is no loss.
    """

    def __init__(self, pool: ConnectionPool, directory: TargetDirectory) -> None:
        self._pool = pool
        self._directory = directory
        self._probes: dict[str, _Probe] = {}
        self._lost: OrderedDict[str, None] = OrderedDict()
        self._tasks: set[asyncio.Task[None]] = set()

    def follow(
        self,
        target: Target,
        report_lost: Callable[[], None],
        report_survived: Callable[[], None] = lambda: None,
        *,
        is_connection_lost: bool = False,
    ) -> asyncio.Event:
        """Watch a target for `WATCH_PERIOD`.

        Parameters
        ----------
        target
            Target of an attempt that has just ended.
        report_lost
            Called at once when the target is found to be lost.
        report_survived
            Called if the target still lives at the end.
        is_connection_lost
            Whether the target closed the connection of the attempt. Its idle
            connections prove nothing then, so a new one is opened.

        Returns
        -------
        asyncio.Event
            Set once a connection was tried, and a target that is lost by then was
            reported.
        """
        if target.incarnation in self._lost:
            report_lost()
            checked = asyncio.Event()
            checked.set()
            return checked
        probe = self._probes.get(target.incarnation)
        if probe is None:
            probe = _Probe(self._pool, target, uses_idle=not is_connection_lost)
            self._probes[target.incarnation] = probe
            self._start_task(self._run(probe))
        deadline = get_time() + WATCH_PERIOD
        probe.followers.append(Follower(deadline, report_lost, report_survived))
        return probe.checked

    def close(self) -> None:
        """End all watches without a result."""
        for task in self._tasks:
            task.cancel()

    async def _run(self, probe: "_Probe") -> None:
        target = probe.target
        try:
            if await probe.find_loss() and not self._directory.has_left(target):
                self._lost[target.incarnation] = None
                if len(self._lost) > MAX_LOST:
                    self._lost.popitem(last=False)
                probe.report_loss()
        finally:
            del self._probes[target.incarnation]
            probe.checked.set()

    def _start_task(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


class _Probe:
    """The watch of one incarnation of a target, for all its followers."""

    def __init__(self, pool: ConnectionPool, target: Target, uses_idle: bool) -> None:
        self._pool = pool
        self._uses_idle = uses_idle
        self.target = target
        self.followers: list[Follower] = []
        self.checked = asyncio.Event()

    async def find_loss(self) -> bool:
        """Return whether the target is lost before the last follower's deadline."""
        for _ in range(MAX_CONNECTIONS):
            try:
                lease = await self._connect()
            except (OSError, TimeoutError) as error:
                return is_refusal(error) and await self._confirm_refusal()
            if not await self._hold(lease):
                return False
        return False

    async def _connect(self) -> Lease:
        address = self.target.address
        if self._uses_idle:
            self._uses_idle = False
            return await self._pool.acquire(address, CONNECT_TIMEOUT)
        return await self._pool.open(address, CONNECT_TIMEOUT)

    async def _confirm_refusal(self) -> bool:
        return await self._pool.confirm_refusal(self.target.address, CONNECT_TIMEOUT)

    def report_loss(self) -> None:
        """Tell the followers that are left."""
        for follower in self.followers:
            follower.report_lost()

    async def _hold(self, lease: Lease) -> bool:
        """Hold a connection; return whether it closed before the last deadline."""
        closed = asyncio.Event()
        lease.connection.set_close_callback(closed.set)
        self.checked.set()
        while self.followers:
            seconds = self.followers[0].deadline - get_time()
            try:
                async with asyncio.timeout(seconds):
                    await closed.wait()
                return True
            except TimeoutError:
                self._report_survival()
        lease.connection.set_close_callback(None)
        self._pool.release_unused(lease)
        return False

    def _report_survival(self) -> None:
        """Tell the followers whose deadlines have passed."""
        now = get_time()
        due = [each for each in self.followers if each.deadline <= now]
        self.followers = [each for each in self.followers if each.deadline > now]
        for follower in due:
            follower.report_survived()

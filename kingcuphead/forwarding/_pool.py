"""Connections to targets that wait for their next request."""

import asyncio
import dataclasses
from collections import defaultdict

from kingcuphead.forwarding._connection import TargetConnection, connect_to_target

#: Seconds that an idle connection is kept where the target does not say.
IDLE_TIMEOUT = 4.0
#: Seconds before the target's own timeout at which a connection is given up.
IDLE_MARGIN = 1.0
#: Most idle connections to one target.
MAX_IDLE = 16


@dataclasses.dataclass(frozen=True, slots=True)
class Lease:
    """A connection for one request."""

    #: The connection.
    connection: TargetConnection
    #: Address of its target.
    address: str
    #: Whether it served another request before.
    is_reused: bool


@dataclasses.dataclass(frozen=True, slots=True)
class _Idle:
    connection: TargetConnection
    expires_at: float


class ConnectionPool:
    """Opens connections and keeps those that may be used again."""

    def __init__(self) -> None:
        self._idle: dict[str, list[_Idle]] = defaultdict(list)

    async def acquire(self, address: str, timeout: float) -> Lease:
        """Return a connection to an address, an idle one if there is one.

        Raises
        ------
        OSError
            No connection; nothing was sent.
        """
        now = asyncio.get_running_loop().time()
        idle = self._idle[address]
        while idle:
            candidate = idle.pop()
            candidate.connection.watch_close(None)
            if candidate.connection.is_reusable and candidate.expires_at > now:
                return Lease(candidate.connection, address, is_reused=True)
            candidate.connection.close()
        connection = await connect_to_target(address, timeout)
        return Lease(connection, address, is_reused=False)

    def release(self, lease: Lease, idle_timeout: float | None) -> None:
        """Take back a connection whose request was answered whole."""
        idle = self._idle[lease.address]
        if len(idle) >= MAX_IDLE or not lease.connection.is_reusable:
            lease.connection.close()
            return
        seconds = IDLE_TIMEOUT
        if idle_timeout is not None:
            seconds = min(seconds, idle_timeout - IDLE_MARGIN)
        expires_at = asyncio.get_running_loop().time() + seconds
        entry = _Idle(lease.connection, expires_at)
        idle.append(entry)
        lease.connection.watch_close(lambda: self._forget(lease.address, entry))

    def sweep(self) -> None:
        """Close the connections that have been idle for too long."""
        now = asyncio.get_running_loop().time()
        for address, idle in tuple(self._idle.items()):
            for entry in [each for each in idle if each.expires_at <= now]:
                idle.remove(entry)
                entry.connection.watch_close(None)
                entry.connection.close()
            if not idle:
                del self._idle[address]

    def close_address(self, address: str) -> None:
        """Close the idle connections to an address."""
        for entry in self._idle.pop(address, []):
            entry.connection.watch_close(None)
            entry.connection.close()

    def close(self) -> None:
        """Close every idle connection."""
        for address in tuple(self._idle):
            self.close_address(address)

    def _forget(self, address: str, entry: _Idle) -> None:
        idle = self._idle.get(address, [])
        if entry in idle:
            idle.remove(entry)

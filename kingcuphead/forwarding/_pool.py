"""Pool of idle connections to targets."""

from collections import defaultdict

from kingcuphead.forwarding._connection import TargetConnection
from kingcuphead.forwarding._ports import TargetConnector
from kingcuphead.frozen import frozen
from kingcuphead.timing import get_time

#: Seconds that an idle connection is kept if the target states no timeout.
IDLE_TIMEOUT = 4.0
#: Seconds by which a connection is dropped before the target's own idle timeout.
IDLE_MARGIN = 1.0
#: Maximum number of idle connections to one target.
MAX_IDLE = 16


@frozen
class Lease:
    """A connection taken from the pool for one request."""

    #: Connection, in exclusive use until it is released or closed.
    connection: TargetConnection
    #: Address of the target as `IP:port`.
    address: str
    #: When an idle connection taken from the pool expires, in seconds of the event
    #: loop's clock; None for a new one.
    expires_at: float | None = None


@frozen
class _IdleConnection:
    connection: TargetConnection
    expires_at: float


class ConnectionPool:
    """Opens connections and keeps idle ones for later requests.

    Parameters
    ----------
    connector
        Opens the connections.
    """

    def __init__(self, connector: TargetConnector) -> None:
        self._connector = connector
        self._idle: dict[str, list[_IdleConnection]] = defaultdict(list)

    async def acquire(self, address: str, timeout: float) -> Lease:
        """Return an idle connection to an address, or open a new one.

        Parameters
        ----------
        address
            Address of the target as `IP:port`.
        timeout
            Bound in seconds on opening a connection.

        Raises
        ------
        OSError
            No connection could be opened; nothing was sent.
        """
        if self._connector.uses_idle_connections:
            lease = self._take_idle(address)
            if lease is not None:
                return lease
        return await self.open(address, timeout)

    async def open(self, address: str, timeout: float) -> Lease:
        """Open a new connection to an address.

        Raises
        ------
        OSError
            No connection could be opened; nothing was sent.
        """
        return Lease(await self._connector.connect(address, timeout), address)

    async def confirm_refusal(self, address: str, timeout: float) -> bool:
        """Return whether a refused connection proves that the target has ended."""
        return await self._connector.confirm_refusal(address, timeout)

    def release(self, lease: Lease, idle_timeout: float | None) -> None:
        """Return the connection of a completed request to the pool.

        Parameters
        ----------
        lease
            Lease that ends.
        idle_timeout
            Seconds that the target keeps the connection idle; None if it states none.
        """
        seconds = IDLE_TIMEOUT
        if idle_timeout is not None:
            seconds = min(seconds, idle_timeout - IDLE_MARGIN)
        self._keep(lease, get_time() + seconds)

    def release_unused(self, lease: Lease) -> None:
        """Return a connection that served no request; close it if it was new.

        How long the target keeps a new connection idle is unknown.
        """
        if lease.expires_at is None:
            lease.connection.close()
        else:
            self._keep(lease, lease.expires_at)

    def sweep(self) -> None:
        """Close the idle connections that have expired."""
        now = get_time()
        for address, idle in tuple(self._idle.items()):
            for entry in [each for each in idle if each.expires_at <= now]:
                idle.remove(entry)
                entry.connection.end_idle()
                entry.connection.close()
            if not idle:
                del self._idle[address]

    def close_address(self, address: str) -> None:
        """Close the idle connections to an address."""
        for entry in self._idle.pop(address, []):
            entry.connection.end_idle()
            entry.connection.close()

    def close(self) -> None:
        """Close every idle connection."""
        for address in tuple(self._idle):
            self.close_address(address)

    def _take_idle(self, address: str) -> Lease | None:
        now = get_time()
        idle = self._idle[address]
        while idle:
            candidate = idle.pop()
            candidate.connection.end_idle()
            if candidate.connection.is_reusable and candidate.expires_at > now:
                return Lease(candidate.connection, address, candidate.expires_at)
            candidate.connection.close()
        return None

    def _keep(self, lease: Lease, expires_at: float) -> None:
        idle = self._idle[lease.address]
        connection = lease.connection
        # A connection through another daemon is of no use once the own path is back.
        is_tunnel = connection.helper is not None
        if is_tunnel or len(idle) >= MAX_IDLE or not connection.is_reusable:
            connection.close()
            return
        entry = _IdleConnection(lease.connection, expires_at)
        idle.append(entry)
        connection.begin_idle(lambda: self._discard(lease.address, entry))

    def _discard(self, address: str, entry: _IdleConnection) -> None:
        idle = self._idle.get(address, [])
        if entry in idle:
            idle.remove(entry)

"""Traffic of callers' connections, and the choice of those to close."""

import math
from collections import Counter
from collections.abc import Iterator

from kingcuphead.capacity._traffic import LINK_TRAFFIC

#: Seconds after which the counts of connections rotate. A count covers the current
#: period and the one before.
COUNT_PERIOD = 2.5
#: Part of the connections of one caller that is chosen before the rest of them.
CALLER_SHARE = 0.5


class CallerConnection:
    """A connection of a caller.

    Parameters
    ----------
    caller
        IP address of the caller.
    """

    def __init__(self, caller: str) -> None:
        #: IP address of the caller.
        self.caller = caller
        #: Whether the connection should close after its next answer.
        self.is_marked = False
        self._bytes = 0
        self._previous_bytes = 0

    @property
    def recent_bytes(self) -> int:
        """Bytes of requests and answers in the last seconds."""
        return self._bytes + self._previous_bytes

    def record_received(self, count: int) -> None:
        """Count bytes of requests."""
        self._bytes += count
        LINK_TRAFFIC.callers.record_received(count)

    def record_sent(self, count: int) -> None:
        """Count bytes of answers."""
        self._bytes += count
        LINK_TRAFFIC.callers.record_sent(count)

    def rotate(self) -> None:
        """Begin a new period."""
        self._previous_bytes = self._bytes
        self._bytes = 0


class CallerConnections:
    """All open connections of callers."""

    def __init__(self) -> None:
        self._connections: dict[object, CallerConnection] = {}
        self._rotated_at = 0.0
        #: Number of connections that were closed to shed load.
        self.closed = 0

    @property
    def marked_count(self) -> int:
        """Number of connections that should close after their next answers."""
        return sum(each.is_marked for each in self._connections.values())

    def find(self, key: object, caller: str) -> CallerConnection:
        """Return a connection by the object that identifies it; add it if it is new."""
        connection = self._connections.get(key)
        if connection is None:
            connection = self._connections[key] = CallerConnection(caller)
        return connection

    def remove(self, key: object) -> None:
        """Remove a connection that was closed."""
        connection = self._connections.pop(key, None)
        if connection is not None and connection.is_marked:
            self.closed += 1

    def rotate(self, now: float) -> None:
        """Drop the counts that are too old."""
        if now - self._rotated_at >= COUNT_PERIOD:
            self._rotated_at = now
            for connection in self._connections.values():
                connection.rotate()

    def mark(self, share: float) -> int:
        """Mark connections that carry a share of the traffic; return their number."""
        connections = [each for each in self._connections.values() if each.recent_bytes]
        excess = share * sum(each.recent_bytes for each in connections)
        chosen = tuple(_choose_connections(connections, excess))
        for connection in chosen:
            connection.is_marked = True
        return len(chosen)

    def unmark(self) -> None:
        """Keep the marked connections that are still open."""
        for connection in self._connections.values():
            connection.is_marked = False


def _choose_connections(
    connections: list[CallerConnection], excess: float
) -> Iterator[CallerConnection]:
    """Yield connections with at least the excess bytes, those with the most first.

    The last one is the smallest that suffices, so that little more than the excess
    moves to other daemons.
    """
    remaining = excess
    for group in _split_by_caller(connections):
        for index, connection in enumerate(group):
            if remaining <= 0:
                return
            if connection.recent_bytes >= remaining:
                sufficient = (
                    each for each in group[index:] if each.recent_bytes >= remaining
                )
                yield min(sufficient, key=lambda each: each.recent_bytes)
                return
            remaining -= connection.recent_bytes
            yield connection


def _split_by_caller(
    connections: list[CallerConnection],
) -> tuple[list[CallerConnection], list[CallerConnection]]:
    """Return up to `CALLER_SHARE` of each caller's connections, and the rest of them.

    Both parts are ordered by bytes, the most first.
    """
    totals = Counter(each.caller for each in connections)
    counts: Counter[str] = Counter()
    first: list[CallerConnection] = []
    rest: list[CallerConnection] = []
    for connection in sorted(
        connections, key=lambda each: each.recent_bytes, reverse=True
    ):
        counts[connection.caller] += 1
        limit = math.ceil(CALLER_SHARE * totals[connection.caller])
        part = first if counts[connection.caller] <= limit else rest
        part.append(connection)
    return first, rest

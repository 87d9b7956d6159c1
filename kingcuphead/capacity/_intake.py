"""How much of callers' work one turn of the event loop takes in; does no I/O."""

from collections.abc import Collection, Iterator

#: Seconds that one turn of the event loop should take at most. A reply of the store
#: needs about ten turns until it has taken effect.
TURN_SECONDS = 0.05
#: Seconds for which callers may wait in each turn before new requests are refused. A
#: short queue is normal; one that lasts grows until callers give up.
MAX_BACKLOG_SECONDS = 0.25
#: Bound on the sockets of callers that are served in one turn. A larger one would let
#: the first turn of an overload take longer.
MAX_SOCKETS = 16


class CallerIntake:
    """Chooses which sockets of callers are served in a turn of the event loop.

    The loop serves whatever is ready in one turn, so without a bound everything else
    waits behind all callers: replies of the store, readiness checks, other daemons and
    targets. Sockets of callers that aren't served are served in later turns, those that
    have waited longest first. How many are served follows from the time that earlier
    turns took.
    """

    def __init__(self) -> None:
        self._sockets: set[int] = set()
        #: Sockets that are ready and not served yet, since when; the longest first.
        self._waiting: dict[int, float] = {}
        #: Sockets that are served in this turn; None before the first one.
        self._served: frozenset[int] | None = None
        self._max_served = MAX_SOCKETS
        #: Since when callers have waited in each turn; None if none wait.
        self._backlog_since: float | None = None
        #: Whether one more request fits into this turn during a backlog.
        self._has_room = True

    @property
    def max_served(self) -> int:
        """Number of sockets that are served in the next turn at most."""
        return self._max_served

    def add(self, descriptor: int) -> None:
        """Add a socket of a caller."""
        self._sockets.add(descriptor)

    def remove(self, descriptor: int) -> None:
        """Remove a socket before it is closed, as its descriptor may be used again."""
        self._sockets.discard(descriptor)
        self._waiting.pop(descriptor, None)

    def admit(self, now: float) -> bool:
        """Return whether a request that was read is served, rather than refused.

        While requests come faster than they can be served, one is served after each
        turn that was short enough.

        Parameters
        ----------
        now
            Monotonic time in seconds.
        """
        since = self._backlog_since
        if since is None or now - since < MAX_BACKLOG_SECONDS:
            return True
        has_room, self._has_room = self._has_room, False
        return has_room

    def may_read(self, descriptor: int) -> bool:
        """Return whether a socket is read in this turn."""
        return self._served is None or descriptor in self._served

    def record_turn(self, seconds: float) -> None:
        """Adapt the number of sockets to the time that a turn took."""
        self._has_room = seconds <= TURN_SECONDS
        if seconds > TURN_SECONDS:
            fitting = self._max_served * TURN_SECONDS / seconds
            self._max_served = max(1, int(fitting))
        else:
            self._max_served = min(MAX_SOCKETS, self._max_served + 1)

    def find_postponed(self, ready: Collection[int], now: float) -> frozenset[int]:
        """Return the sockets that are not served in this turn.

        Parameters
        ----------
        ready
            Descriptors of all sockets that are ready.
        now
            Monotonic time in seconds.
        """
        callers = [each for each in ready if each in self._sockets]
        if len(callers) <= self._max_served:
            self._served = frozenset(callers)
            self._waiting.clear()
            self._backlog_since = None
            return frozenset()
        if self._backlog_since is None:
            self._backlog_since = now
        self._update_waiting(callers, now)
        for descriptor in tuple(self._choose_served()):
            del self._waiting[descriptor]
        postponed = frozenset(self._waiting)
        self._served = frozenset(callers) - postponed
        return postponed

    def _update_waiting(self, callers: Collection[int], now: float) -> None:
        gone = self._waiting.keys() - set(callers)
        for descriptor in gone:
            del self._waiting[descriptor]
        for descriptor in callers:
            self._waiting.setdefault(descriptor, now)

    def _choose_served(self) -> Iterator[int]:
        for number, descriptor in enumerate(self._waiting):
            if number == self._max_served:
                return
            yield descriptor

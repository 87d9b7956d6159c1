"""Counts of the bytes that this process sends and receives, by kind of traffic."""

from collections.abc import Iterator

#: Bytes assumed for the headers of an HTTP message and the packets that carry it.
MESSAGE_OVERHEAD_BYTES = 500


class TrafficCount:
    """Totals of one kind of traffic in both directions."""

    __slots__ = ("received", "sent")

    def __init__(self) -> None:
        #: Bytes sent.
        self.sent = 0
        #: Bytes received.
        self.received = 0

    def record_sent(self, count: int) -> None:
        """Add bytes that were sent."""
        self.sent += count

    def record_received(self, count: int) -> None:
        """Add bytes that were received."""
        self.received += count


class LinkTraffic:
    """Totals of bytes in both directions, by whom they are exchanged with."""

    def __init__(self) -> None:
        #: Requests of callers and their answers.
        self.callers = TrafficCount()
        #: Requests passed on to targets and their answers.
        self.targets = TrafficCount()
        #: Calls to the platform's store.
        self.store = TrafficCount()
        #: Datagrams of other daemons.
        self.daemons = TrafficCount()

    @property
    def sent(self) -> int:
        """Bytes sent, of all kinds."""
        return sum(count.sent for _, count in self.list_counts())

    @property
    def received(self) -> int:
        """Bytes received, of all kinds."""
        return sum(count.received for _, count in self.list_counts())

    def list_counts(self) -> Iterator[tuple[str, TrafficCount]]:
        """Return the totals by the names of their kinds, for logs and metrics."""
        yield "callers", self.callers
        yield "targets", self.targets
        yield "store", self.store
        yield "daemons", self.daemons


#: Traffic of this process on the link of its instance.
LINK_TRAFFIC = LinkTraffic()

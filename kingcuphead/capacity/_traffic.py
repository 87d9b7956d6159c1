"""Counts of the bytes that this process sends and receives, by kind of traffic."""

import enum

#: Bytes assumed for the headers of an HTTP message and the packets that carry it.
MESSAGE_OVERHEAD_BYTES = 500


class TrafficKind(enum.StrEnum):
    """Whom this process exchanges bytes with."""

    #: Requests of callers and their answers.
    CALLERS = "callers"
    #: Requests passed on to targets and their answers.
    TARGETS = "targets"
    #: Calls to the platform's store.
    STORE = "store"
    #: Datagrams of other daemons.
    DAEMONS = "daemons"


class LinkTraffic:
    """Totals of bytes in both directions."""

    def __init__(self) -> None:
        self._sent = dict.fromkeys(TrafficKind, 0)
        self._received = dict.fromkeys(TrafficKind, 0)

    @property
    def sent(self) -> int:
        """Bytes sent, of all kinds."""
        return sum(self._sent.values())

    @property
    def received(self) -> int:
        """Bytes received, of all kinds."""
        return sum(self._received.values())

    def record_sent(self, kind: TrafficKind, count: int) -> None:
        """Add bytes that were sent."""
        self._sent[kind] += count

    def record_received(self, kind: TrafficKind, count: int) -> None:
        """Add bytes that were received."""
        self._received[kind] += count

    def get_sent(self, kind: TrafficKind) -> int:
        """Return the bytes of a kind that were sent."""
        return self._sent[kind]

    def get_received(self, kind: TrafficKind) -> int:
        """Return the bytes of a kind that were received."""
        return self._received[kind]


#: Traffic of this process on the link of its instance.
LINK_TRAFFIC = LinkTraffic()

"""Count of the bytes that this process sends and receives."""

#: Bytes assumed for the headers of an HTTP message and the packets that carry it.
MESSAGE_OVERHEAD_BYTES = 500


class LinkTraffic:
    """Totals of bytes in both directions."""

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


#: Traffic of this process on the link of its instance.
LINK_TRAFFIC = LinkTraffic()

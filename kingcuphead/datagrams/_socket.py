"""The UDP socket for datagrams between daemons."""

import asyncio
from collections.abc import Callable

from loguru import logger

from kingcuphead.addresses import Address
from kingcuphead.capacity import LINK_TRAFFIC
from kingcuphead.datagrams._codec import (
    Datagram,
    DatagramError,
    decode_datagram,
    encode_datagram,
)
from kingcuphead.logs import RepetitionLimit, quote

#: Bytes of the UDP, IP and Ethernet headers of a datagram.
PACKET_OVERHEAD_BYTES = 46


class DatagramSocket(asyncio.DatagramProtocol):
    """Sends and receives the datagrams of one daemon.

    Parameters
    ----------
    handle_message
        Called with each message received and the address of its sender.
    """

    def __init__(self, handle_message: Callable[[Datagram, Address], None]) -> None:
        self._handle_message = handle_message
        self._transport: asyncio.DatagramTransport | None = None
        self._repetitions = RepetitionLimit()
        #: Called with the name of each message that can't be encoded.
        self.report_unsent: Callable[[str], None] = lambda name: None

    async def open(self, address: Address) -> None:
        """Bind the socket to an address and start receiving."""
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=address
        )

    def close(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()

    def send(self, message: Datagram, *receivers: Address) -> None:
        """Send a message, unacknowledged; discard it if the socket isn't open.

        A message with a number beyond the range of its field counts as lost, as any
        datagram may be; the receivers' state is that of the message before.
        """
        transport = self._transport
        if transport is None or transport.is_closing() or not receivers:
            return
        try:
            datagram = encode_datagram(message)
        except OverflowError as error:
            self._record_unsent(type(message).__name__, error)
            return
        size = len(datagram) + PACKET_OVERHEAD_BYTES
        LINK_TRAFFIC.daemons.record_sent(size * len(receivers))
        for receiver in receivers:
            transport.sendto(datagram, receiver)

    def _record_unsent(self, name: str, error: OverflowError) -> None:
        self.report_unsent(name)
        if self._repetitions.allows(name):
            logger.error("cannot encode a datagram {}: {}", name, error)

    def datagram_received(self, data: bytes, addr: Address) -> None:
        """Decode a datagram and pass its message on; log and drop a malformed one."""
        LINK_TRAFFIC.daemons.record_received(len(data) + PACKET_OVERHEAD_BYTES)
        try:
            message = decode_datagram(data)
        except DatagramError as error:
            # A later version may continually send messages that this one doesn't know.
            if self._repetitions.allows(addr[0]):
                cause = quote(error)
                logger.warning("cannot decode datagram from {}: {}", addr[0], cause)
            return
        self._handle_message(message, addr)

    def error_received(self, exc: Exception) -> None:
        """Ignore an unreachable receiver; a daemon that shuts down deletes its row."""

"""The socket for datagrams between daemons."""

import asyncio
from collections.abc import Callable

from expression import Result
from loguru import logger

from kingcuphead.datagrams._codec import Datagram, decode_datagram, encode_datagram

Address = tuple[str, int]


class DatagramSocket(asyncio.DatagramProtocol):
    """Owns the socket between daemons.

    Parameters
    ----------
    take
        Takes the messages of other daemons, with their addresses.
    """

    def __init__(self, take: Callable[[Datagram, Address], None]) -> None:
        self._take = take
        self._transport: asyncio.DatagramTransport | None = None

    async def open(self, address: Address) -> None:
        """Receive at an address from now on."""
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=address
        )

    def close(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()

    def send(self, message: Datagram, receiver: Address) -> None:
        """Send a message; nothing tells whether it arrives."""
        if self._transport is not None and not self._transport.is_closing():
            self._transport.sendto(encode_datagram(message), receiver)

    def datagram_received(self, data: bytes, addr: Address) -> None:
        """Take a message of another daemon."""
        match decode_datagram(data):
            case Result(tag="ok", ok=message):
                self._take(message, addr)
            case Result(error=cause):
                logger.warning("a datagram of {} can't be read: {}", addr[0], cause)

    def error_received(self, exc: Exception) -> None:
        """Ignore a daemon that is not there; its row tells when it has left."""

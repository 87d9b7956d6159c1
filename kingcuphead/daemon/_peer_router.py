"""Routes messages between the tasks of this daemon and its peers."""

from collections.abc import Callable, Iterable, Mapping
from typing import Any

from loguru import logger

from kingcuphead.membership import Member
from kingcuphead.peers import Envelope, PeerLinks, PeerMessage, encode_envelope

#: Handles one message of a type that it is registered for.
Handler = Callable[[Any], None]


class PeerRouter:
    """Sends messages to peers by name and passes received ones to their handlers.

    Parameters
    ----------
    own
        Membership entry of this process, the sender of the messages.
    links
        Connections to peers.
    """

    def __init__(self, own: Member, links: PeerLinks) -> None:
        self._own = own
        self._links = links
        self._addresses: Mapping[str, str] = {}
        self._handlers: dict[type[Any], Handler] = {}

    def register(self, types: Iterable[type[Any]], handler: Handler) -> None:
        """Register the handler for received messages of these types."""
        for cls in types:
            self._handlers[cls] = handler

    def set_addresses(self, members: Iterable[Member]) -> None:
        """Replace the addresses of all peers."""
        self._addresses = {member.name: member.address for member in members}

    def deliver(self, envelope: Envelope) -> None:
        """Pass a received message to its handler; drop it if there is none."""
        handler = self._handlers.get(type(envelope.message))
        if handler is None:
            logger.warning(
                "dropped a peer message without handler: {}",
                type(envelope.message).__name__,
            )
            return
        handler(envelope.message)

    def send(self, instance: str, message: PeerMessage) -> None:
        """Send a message to a peer by name; drop it if the address is unknown."""
        address = self._addresses.get(instance)
        if address is None:
            logger.debug("dropped a message to peer {}: unknown address", instance)
            return
        self.send_to_address(address, message)

    def send_to_address(self, address: str, message: PeerMessage) -> None:
        """Send a message to a peer by address."""
        envelope = Envelope(self._own.name, self._own.incarnation, message)
        self._links.send(address, encode_envelope(envelope))

"""Routes messages between the tasks and the peers."""

from collections.abc import Callable, Iterable, Mapping
from typing import Any

from loguru import logger

from kingcuphead.membership import Member
from kingcuphead.peers import PeerLinks
from kingcuphead.wire import Envelope, PeerMessage, encode_envelope

#: Takes one message of the types that it was registered for.
Handler = Callable[[Any], None]


class PeerRouter:
    """Knows where peers listen and which task takes which message.

    Parameters
    ----------
    own
        This daemon.
    links
        The connections to peers.
    """

    def __init__(self, own: Member, links: PeerLinks) -> None:
        self._own = own
        self._links = links
        self._addresses: Mapping[str, str] = {}
        self._handlers: dict[type[Any], Handler] = {}

    def route(self, types: Iterable[type[Any]], handler: Handler) -> None:
        """Hand received messages of these types to a task."""
        for cls in types:
            self._handlers[cls] = handler

    def locate(self, members: Iterable[Member]) -> None:
        """Take the addresses of the peers, in place of earlier ones."""
        self._addresses = {member.name: member.address for member in members}

    def deliver(self, envelope: Envelope) -> None:
        """Hand a received message to its task."""
        handler = self._handlers.get(type(envelope.message))
        if handler is None:
            logger.warning("no task takes {}", type(envelope.message).__name__)
            return
        handler(envelope.message)

    def send(self, instance: str, message: PeerMessage) -> None:
        """Send a message to a peer by name; one that is not known is dropped."""
        address = self._addresses.get(instance)
        if address is None:
            logger.debug("no address for peer {}", instance)
            return
        self.send_to_address(address, message)

    def send_to_address(self, address: str, message: PeerMessage) -> None:
        """Send a message to a peer by address."""
        envelope = Envelope(self._own.name, self._own.incarnation, message)
        self._links.send(address, encode_envelope(envelope))

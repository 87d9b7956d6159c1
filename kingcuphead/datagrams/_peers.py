"""Sends datagrams to all other daemons of the fleet, or to some of them."""

import collections
import random

from kingcuphead.addresses import Address
from kingcuphead.datagrams._codec import Datagram
from kingcuphead.datagrams._socket import DatagramSocket

#: Maximum number of receivers of gossip; in a larger fleet, a random sample of the
#: daemons receives it.
MAX_RECEIVERS = 12


class PeerSender:
    """Sends messages to the other daemons, unacknowledged.

    Parameters
    ----------
    datagrams
        Socket of this daemon.
    rng
        Selects the receivers of gossip.
    """

    def __init__(self, datagrams: DatagramSocket, rng: random.Random) -> None:
        self._datagrams = datagrams
        self._rng = rng
        #: Addresses of the other daemons.
        self.peers: tuple[Address, ...] = ()
        self._turns: collections.deque[Address] = collections.deque()
        self._turn_peers: tuple[Address, ...] = ()

    def broadcast(self, message: Datagram) -> None:
        """Send a message to all other daemons."""
        self._datagrams.send(message, *self.peers)

    def gossip(self, message: Datagram) -> None:
        """Send a message to at most `MAX_RECEIVERS` other daemons."""
        peers = self.peers
        if len(peers) > MAX_RECEIVERS:
            peers = tuple(self._rng.sample(peers, MAX_RECEIVERS))
        self._datagrams.send(message, *peers)

    def send_in_turn(self, message: Datagram) -> None:
        """Send a message to the next `MAX_RECEIVERS` other daemons.

        Unlike with `gossip`, each daemon receives such messages equally often. Only one
        kind of message is sent so, or two kinds might always meet the same receivers.
        """
        if self._turn_peers != self.peers:
            self._turn_peers = self.peers
            self._turns = collections.deque(
                self._rng.sample(self.peers, len(self.peers))
            )
        count = min(MAX_RECEIVERS, len(self._turns))
        receivers = [self._turns[position] for position in range(count)]
        self._turns.rotate(-count)
        self._datagrams.send(message, *receivers)

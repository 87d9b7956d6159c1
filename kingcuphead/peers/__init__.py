"""TCP connections between daemons, which carry framed messages."""

from kingcuphead.peers._links import PeerLinks
from kingcuphead.peers._server import PeerServer

__all__ = ["PeerLinks", "PeerServer"]

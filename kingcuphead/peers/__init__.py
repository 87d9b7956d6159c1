"""Connections between daemons, each owned by one task."""

from kingcuphead.peers._links import PeerLinks
from kingcuphead.peers._server import PeerServer

__all__ = ["PeerLinks", "PeerServer"]

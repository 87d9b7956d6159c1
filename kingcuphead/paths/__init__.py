"""The ways from this daemon to targets: its own, or through another daemon.

A daemon that can't open connections to targets any more opens tunnels through daemons
that can. A tunnel carries the bytes of one connection and nothing else: whatever is
decided about a request is decided by the daemon that took it from its caller.
"""

from kingcuphead.paths._connector import Connector
from kingcuphead.paths._monitor import PathMonitor
from kingcuphead.paths._peers import PeerPaths
from kingcuphead.paths._server import TunnelServer

__all__ = ["Connector", "PathMonitor", "PeerPaths", "TunnelServer"]

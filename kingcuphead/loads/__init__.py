"""The load of the whole fleet on each target, as daemons report it to each other."""

from kingcuphead.loads._exchange import LoadExchange
from kingcuphead.loads._messages import LoadsReported, PlacementAnnounced, TargetLoad
from kingcuphead.loads._peer_loads import REPORT_LIFETIME, PeerLoads

__all__ = [
    "REPORT_LIFETIME",
    "PeerLoads",
    "LoadExchange",
    "LoadsReported",
    "PlacementAnnounced",
    "TargetLoad",
]

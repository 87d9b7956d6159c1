"""Reports that daemons send each other about their own load."""

import enum

from kingcuphead.frozen import frozen


class Readiness(enum.StrEnum):
    """Whether a daemon accepts new connections of callers."""

    #: It does.
    READY = "ready"
    #: It does, and will shed load unless too many others with more load do.
    CANDIDATE = "candidate"
    #: It doesn't, and closes connections of callers.
    SHEDDING = "shedding"
    #: It doesn't: it deflects load, is starting or shuts down.
    UNREADY = "unready"


#: Readiness of daemons that don't accept new connections.
UNREADY_STATES = frozenset({Readiness.SHEDDING, Readiness.UNREADY})


@frozen
class CapacityReported:
    """The load of one incarnation of a daemon."""

    #: Identity of the incarnation.
    sender: str
    #: Sequence number; receivers ignore reports that aren't newer.
    number: int
    #: Availability zone of the sender.
    zone: str
    #: Load as a part of the sender's capacity. Unless the sender is ready, it is the
    #: load that decided so; thus all daemons rank the sender alike.
    load: float
    #: Whether the sender accepts new connections.
    readiness: Readiness

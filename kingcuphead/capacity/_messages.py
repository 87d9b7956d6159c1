"""Reports that daemons send each other about their own load."""

import dataclasses
import enum


class Readiness(enum.StrEnum):
    """Whether a daemon takes new connections of callers."""

    #: It does.
    READY = "ready"
    #: It does, and will stop doing so unless too many others with more load do.
    CANDIDATE = "candidate"
    #: It does not.
    UNREADY = "unready"


@dataclasses.dataclass(frozen=True, slots=True)
class CapacityReported:
    """The load of one incarnation of a daemon."""

    #: Identity of the incarnation.
    sender: str
    #: Sequence number; receivers ignore reports that aren't newer.
    number: int
    #: Availability zone of the sender.
    zone: str
    #: Load as a part of the sender's capacity. While the sender sheds load or is a
    #: candidate, this is the load that decided it, so that all daemons rank it alike.
    load: float
    #: Whether the sender takes new connections.
    readiness: Readiness

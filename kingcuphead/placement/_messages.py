"""Messages of the placement machine."""

import dataclasses
from typing import TypeAlias

from kingcuphead.placement._states import SignSource, TargetState


@dataclasses.dataclass(frozen=True, slots=True)
class ProbeRequested:
    """Ask a target for its health and answer with `ProbeAnswered`."""

    #: Target to probe.
    target: str
    #: Its IP number and port.
    address: str


@dataclasses.dataclass(frozen=True, slots=True)
class TargetStateChanged:
    """The state in force of a target changed.

    Peers are told unless `source` is `SignSource.PEER`, which would echo.
    """

    #: Target concerned.
    target: str
    #: The state now in force.
    state: TargetState
    #: The source whose sign changed it.
    source: SignSource


#: What the placement machine asks of the daemon.
PlacementEffect: TypeAlias = ProbeRequested | TargetStateChanged


@dataclasses.dataclass(frozen=True, slots=True)
class PlacementQuery:
    """What a request needs of a target."""

    #: Service that does the work.
    service: str
    #: Model that the target must serve; empty for plain services.
    model: str = ""
    #: Requests with the same key do best on the same target.
    affinity_key: bytes = b""
    #: Size in tokens.
    size: int = 0
    #: Priority that the target is given; 0 goes first.
    priority: int = 0
    #: Targets that must not be chosen.
    excluded: tuple[str, ...] = ()
    #: Whether an earlier run may have crashed a target.
    is_suspect: bool = False
    #: Whether it belongs to the first class, which adaptive limits do not hold back.
    is_first: bool = False

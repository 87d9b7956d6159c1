"""Queries and effects of the placement state machine."""

import dataclasses
from typing import TypeAlias

from kingcuphead.placement._states import StateSource, TargetState


@dataclasses.dataclass(frozen=True, slots=True)
class ProbeRequested:
    """The daemon has to probe a target and reply with `ProbeAnswered`."""

    #: Target to probe.
    target: str
    #: IP address and port of the target.
    address: str


@dataclasses.dataclass(frozen=True, slots=True)
class TargetStateChanged:
    """The state of a target changed.

    The daemon notifies its peers unless `source` is `StateSource.PEER`; otherwise a
    peer's notice would be sent back to the peers.
    """

    #: Name of the target.
    target: str
    #: New state of the target.
    state: TargetState
    #: Source of the report that changed it.
    source: StateSource


#: Effects that the daemon carries out.
PlacementEffect: TypeAlias = ProbeRequested | TargetStateChanged


@dataclasses.dataclass(frozen=True, slots=True)
class PlacementQuery:
    """Requirements of a request on its target."""

    #: Service that the target must belong to.
    service: str
    #: Model that the target must serve; empty for plain services.
    model: str = ""
    #: Key of the shared prefix; equal keys prefer the same target. Empty for none.
    affinity_key: bytes = b""
    #: Size of the request in tokens.
    size: int = 0
    #: Priority passed to the target; lower values run first.
    priority: int = 0
    #: Targets that must not be chosen.
    excluded: tuple[str, ...] = ()
    #: Whether an earlier attempt may have crashed a target.
    is_suspect: bool = False
    #: Whether it belongs to the top class, which adaptive limits do not throttle.
    is_top_class: bool = False

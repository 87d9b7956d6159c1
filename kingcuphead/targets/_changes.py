"""Changes of the targets that may get new requests."""

import dataclasses

from kingcuphead.targets._messages import Target


@dataclasses.dataclass(frozen=True, slots=True)
class TargetAdded:
    """A target was added, or restarted under the same name as a new incarnation."""

    #: The target, as described by its new entry.
    target: Target


@dataclasses.dataclass(frozen=True, slots=True)
class TargetLeft:
    """A target no longer accepts new requests."""

    #: The target, as described by its last entry.
    target: Target
    #: Whether the entry was removed (True), or the target is draining (False).
    is_removed: bool


@dataclasses.dataclass(frozen=True, slots=True)
class ZoneEvacuated:
    """The targets of a zone get no new requests from now on."""

    #: Name of the zone.
    zone: str
    #: Its targets that have an entry.
    targets: tuple[Target, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ZoneReadmitted:
    """The targets of a zone get requests again."""

    #: Name of the zone.
    zone: str
    #: Its targets that have an entry.
    targets: tuple[Target, ...]


DirectoryChange = TargetAdded | TargetLeft
ZoneChange = ZoneEvacuated | ZoneReadmitted

"""The directory of targets, with those that accept new requests."""

from kingcuphead.targets._changes import (
    DirectoryChange,
    TargetAdded,
    TargetLeft,
    ZoneChange,
    ZoneEvacuated,
    ZoneReadmitted,
)
from kingcuphead.targets._cold import ColdLimit, ColdStart
from kingcuphead.targets._directory import (
    DEFAULT_HEARTBEAT,
    TargetDirectory,
    read_boot_clock,
)
from kingcuphead.targets._messages import (
    Availability,
    Target,
    ZonesAsked,
    ZonesReported,
    get_target_name,
)

__all__ = [
    "DEFAULT_HEARTBEAT",
    "Availability",
    "ColdLimit",
    "ColdStart",
    "DirectoryChange",
    "Target",
    "TargetAdded",
    "TargetDirectory",
    "TargetLeft",
    "ZoneChange",
    "ZoneEvacuated",
    "ZoneReadmitted",
    "ZonesAsked",
    "ZonesReported",
    "get_target_name",
    "read_boot_clock",
]

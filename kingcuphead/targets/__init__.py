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
from kingcuphead.targets._directory import TargetDirectory, read_boot_clock
from kingcuphead.targets._messages import (
    Availability,
    Target,
    ZonesAsked,
    ZonesReported,
)

__all__ = [
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
    "read_boot_clock",
]

"""The directory of targets, with those that accept new requests."""

from kingcuphead.targets._cold import ColdLimit, ColdStart
from kingcuphead.targets._directory import (
    DirectoryChange,
    TargetAdded,
    TargetDirectory,
    TargetLeft,
    ZoneChange,
    ZoneEvacuated,
    ZoneReadmitted,
)
from kingcuphead.targets._messages import Availability, Target

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
]

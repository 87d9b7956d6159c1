"""The directory of targets, with those that accept new requests."""

from kingcuphead.targets._directory import (
    DirectoryChange,
    TargetAdded,
    TargetDirectory,
    TargetLeft,
)
from kingcuphead.targets._messages import Availability, Target

__all__ = [
    "Availability",
    "DirectoryChange",
    "Target",
    "TargetAdded",
    "TargetDirectory",
    "TargetLeft",
]

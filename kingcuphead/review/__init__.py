"""Checks of a routing configuration before it is sent; without I/O."""

from kingcuphead.review._differences import Difference, DifferenceKind, compare
from kingcuphead.review._findings import Finding, Severity
from kingcuphead.review._review import MAX_FILE_BYTES, Review, review

__all__ = [
    "MAX_FILE_BYTES",
    "Difference",
    "DifferenceKind",
    "Finding",
    "Review",
    "Severity",
    "compare",
    "review",
]

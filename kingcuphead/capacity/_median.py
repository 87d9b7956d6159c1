"""Median of some numbers; `statistics` would take a while to import at start."""

from collections.abc import Iterable


def compute_median(numbers: Iterable[float]) -> float:
    """Return the middle number, or the mean of the two in the middle.

    Parameters
    ----------
    numbers
        At least one number, in any order.
    """
    ordered = sorted(numbers)
    middle = len(ordered) // 2
    if len(ordered) % 2:
        return ordered[middle]
    return (ordered[middle - 1] + ordered[middle]) / 2

"""Findings of a review."""

import enum

from kingcuphead.frozen import frozen


class Severity(enum.StrEnum):
    """Whether a configuration with the finding should be sent."""

    ERROR = "error"
    WARNING = "warning"


@frozen
class Finding:
    """One fault of a configuration."""

    severity: Severity
    #: Part of the file, such as `routes[3] "name"`.
    place: str
    cause: str


def make_error(place: str, cause: str) -> Finding:
    """Return a finding that is an error."""
    return Finding(Severity.ERROR, place, cause)


def make_warning(place: str, cause: str) -> Finding:
    """Return a finding that is a warning."""
    return Finding(Severity.WARNING, place, cause)

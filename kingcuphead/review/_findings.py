"""Findings of a review."""

import enum

from kingcuphead.frozen import frozen


class Severity(enum.StrEnum):
    """Severity of a finding."""

    #: The configuration can't be decoded or wouldn't work as stated.
    ERROR = "error"
    #: Most likely a mistake, but the configuration can be used.
    WARNING = "warning"


@frozen
class Finding:
    """One fault of a configuration."""

    #: Whether the fault is an error or a warning.
    severity: Severity
    #: Part of the file, such as `routes[3] "name"`.
    place: str
    #: Description of the fault, in English.
    cause: str


def make_error(place: str, cause: str) -> Finding:
    """Return a finding that is an error."""
    return Finding(Severity.ERROR, place, cause)


def make_warning(place: str, cause: str) -> Finding:
    """Return a finding that is a warning."""
    return Finding(Severity.WARNING, place, cause)

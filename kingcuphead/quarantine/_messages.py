"""Messages of the quarantine."""

import dataclasses
from typing import TypeAlias


@dataclasses.dataclass(frozen=True, slots=True)
class CrashReported:
    """A target died while it ran a request that is suspected; told to peers."""

    #: Fingerprint of the request.
    fingerprint: str
    #: Target that died.
    target: str


@dataclasses.dataclass(frozen=True, slots=True)
class FingerprintQuarantined:
    """A request is not run any more; told to peers."""

    #: Fingerprint of the request.
    fingerprint: str
    #: Seconds until it is let go.
    remaining: float


@dataclasses.dataclass(frozen=True, slots=True)
class FingerprintReleased:
    """An operator let a fingerprint go; told to peers."""

    #: Fingerprint of the request.
    fingerprint: str


#: What the quarantine tells the fleet.
QuarantineEffect: TypeAlias = (
    CrashReported | FingerprintQuarantined | FingerprintReleased
)


@dataclasses.dataclass(frozen=True, slots=True)
class Crash:
    """One stream that broke because its target died."""

    #: Fingerprint of the request.
    fingerprint: str
    #: Target that died.
    target: str
    #: Whether the request was in its early phase.
    is_early: bool


@dataclasses.dataclass(frozen=True, slots=True)
class QuarantineEntry:
    """A quarantined fingerprint, as operators see it."""

    #: Fingerprint of the request.
    fingerprint: str
    #: Targets that it crashed, as far as this daemon knows.
    targets: tuple[str, ...]
    #: Seconds until it is let go.
    remaining: float

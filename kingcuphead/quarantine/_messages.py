"""Inputs, effects and views of the quarantine."""

import dataclasses
from typing import TypeAlias


@dataclasses.dataclass(frozen=True, slots=True)
class CrashReported:
    """A target crashed while it ran a suspect request; sent to peers."""

    #: Fingerprint of the request.
    fingerprint: str
    #: Target that crashed.
    target: str


@dataclasses.dataclass(frozen=True, slots=True)
class FingerprintQuarantined:
    """Requests with a fingerprint are no longer run; sent to peers."""

    #: Fingerprint of the requests.
    fingerprint: str
    #: Seconds until the quarantine ends.
    remaining: float


@dataclasses.dataclass(frozen=True, slots=True)
class FingerprintReleased:
    """An operator released a fingerprint from quarantine; sent to peers."""

    #: Fingerprint of the requests.
    fingerprint: str


@dataclasses.dataclass(frozen=True, slots=True)
class AnswersReported:
    """A suspect request got complete answers too; sent to peers."""

    #: Fingerprint of the requests.
    fingerprint: str
    #: Identity of the daemon that passed the answers on.
    reporter: str
    #: Number of these answers.
    answers: int


@dataclasses.dataclass(frozen=True, slots=True)
class QuarantineReported:
    """Quarantined fingerprints of the sender; sent to peers again and again."""

    #: The fingerprints with the time that is left.
    entries: tuple[FingerprintQuarantined, ...]


#: Effects that the daemon gossips to its peers.
QuarantineEffect: TypeAlias = (
    CrashReported | FingerprintQuarantined | FingerprintReleased
)


@dataclasses.dataclass(frozen=True, slots=True)
class Crash:
    """One stream that broke because its target crashed."""

    #: Fingerprint of the request.
    fingerprint: str
    #: Target that crashed.
    target: str
    #: Whether the request was before its first token or in its early phase.
    is_early: bool


@dataclasses.dataclass(frozen=True, slots=True)
class QuarantineEntry:
    """A quarantined fingerprint, in the form shown to operators."""

    #: Fingerprint of the requests.
    fingerprint: str
    #: Crashed targets, as recorded by this daemon or reported by peers.
    targets: tuple[str, ...]
    #: Seconds until the quarantine ends.
    remaining: float
    #: Whether this daemon saw one of the crashes itself.
    has_own_crash: bool = False

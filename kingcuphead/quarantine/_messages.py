"""Inputs, effects and views of the quarantine."""

from typing import TypeAlias

from kingcuphead.frozen import frozen
from kingcuphead.quarantine._subjects import RequestIdentity
from kingcuphead.quarantine._trials import TrialHistory


@frozen
class CrashReported:
    """A target crashed while it ran a suspect request; sent to peers."""

    #: Target that crashed.
    target: str
    #: The request, with those parts that were never answered.
    request: RequestIdentity


@frozen
class FingerprintQuarantined:
    """Requests are no longer run; sent to peers."""

    #: Key of the quarantine: fingerprint of the requests, or parts that they contain.
    fingerprint: str
    #: Seconds until the quarantine ends.
    remaining: float


@frozen
class FingerprintReleased:
    """An operator released a fingerprint from quarantine; sent to peers."""

    #: Fingerprint of the requests.
    fingerprint: str


@frozen
class AnswersReported:
    """A suspect request or part got complete answers too; sent to peers."""

    #: Fingerprint of the requests, or name of the part.
    subject: str
    #: Identity of the daemon that passed the answers on.
    reporter: str
    #: Number of these answers.
    answers: int


@frozen
class QuarantineReported:
    """Quarantined fingerprints of the sender; sent to peers again and again."""

    #: The fingerprints with the time that is left.
    entries: tuple[FingerprintQuarantined, ...]


@frozen
class PartsAccused:
    """Parts of prompts may have to be quarantined, unless another daemon objects."""


#: Effects of the quarantine; all but `PartsAccused` are sent to peers.
QuarantineEffect: TypeAlias = (
    CrashReported | FingerprintQuarantined | FingerprintReleased | PartsAccused
)


@frozen
class Crash:
    """One request that was lost because its target crashed."""

    #: Target that crashed.
    target: str
    #: The request.
    request: RequestIdentity
    #: Whether the request was before its first token or in its early phase.
    is_early: bool


@frozen
class SavedCrash:
    """A crash under a request, as kept in the table."""

    #: Incarnation of the target.
    target: str
    #: The request.
    request: RequestIdentity
    #: Seconds since the crash.
    age: float


@frozen
class SavedQuarantine:
    """A quarantine, as kept in the table."""

    #: Key of the quarantine: fingerprint of the requests, or parts that they contain.
    fingerprint: str
    #: Seconds until the quarantine ends.
    remaining: float
    #: Trials that daemons were granted.
    trials: TrialHistory = TrialHistory()


@frozen
class QuarantineEntry:
    """What is quarantined, in the form shown to operators."""

    #: Key of the quarantine: fingerprint of the requests, or parts that they contain.
    fingerprint: str
    #: Crashed targets, as recorded by this daemon or reported by peers.
    targets: tuple[str, ...]
    #: Seconds until the quarantine ends.
    remaining: float
    #: Whether this daemon announced it, having seen one of the crashes itself.
    is_announced: bool = False

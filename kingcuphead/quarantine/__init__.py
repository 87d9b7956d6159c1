"""Quarantine of requests whose execution repeatedly crashes targets."""

from kingcuphead.quarantine._exchange import (
    QuarantineExchange,
    QuarantineMessage,
)
from kingcuphead.quarantine._messages import (
    AnswersReported,
    Crash,
    CrashReported,
    FingerprintQuarantined,
    FingerprintReleased,
    QuarantineEffect,
    QuarantineEntry,
    QuarantineReported,
)
from kingcuphead.quarantine._quarantine import Quarantine
from kingcuphead.quarantine._settings import QuarantineSettings

__all__ = [
    "AnswersReported",
    "Crash",
    "CrashReported",
    "FingerprintQuarantined",
    "FingerprintReleased",
    "Quarantine",
    "QuarantineEffect",
    "QuarantineEntry",
    "QuarantineExchange",
    "QuarantineMessage",
    "QuarantineReported",
    "QuarantineSettings",
]

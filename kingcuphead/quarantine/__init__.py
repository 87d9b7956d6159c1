"""Quarantine of requests, and of parts of prompts, that repeatedly crash targets."""

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
    PartsAccused,
    QuarantineEffect,
    QuarantineEntry,
    QuarantineReported,
)
from kingcuphead.quarantine._quarantine import Quarantine
from kingcuphead.quarantine._settings import QuarantineSettings
from kingcuphead.quarantine._subjects import RequestIdentity, name_parts
from kingcuphead.quarantine._trials import Trial

__all__ = [
    "AnswersReported",
    "Crash",
    "CrashReported",
    "FingerprintQuarantined",
    "FingerprintReleased",
    "PartsAccused",
    "Quarantine",
    "QuarantineEffect",
    "QuarantineEntry",
    "QuarantineExchange",
    "QuarantineMessage",
    "QuarantineReported",
    "QuarantineSettings",
    "RequestIdentity",
    "Trial",
    "name_parts",
]

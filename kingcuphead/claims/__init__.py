"""At-most-once execution of calls that carry an idempotency key.

Before a call is dispatched, its attempt writes a claim, one row per idempotency
key, into the platform's table. The claim stops other attempts from dispatching the
call and keeps the recorded answer for replay.
"""

from kingcuphead.claims._claim import Claim
from kingcuphead.claims._driver import Claims, HeldClaim
from kingcuphead.claims._messages import (
    AnswerNotReceived,
    AnswerReceived,
    BackoffElapsed,
    BackoffRequested,
    ClaimClosed,
    ClaimGranted,
    ClaimRefused,
    ClaimReplayed,
    ClaimRequest,
    ClaimSettings,
    ClaimStarted,
    ClaimUnresolved,
    ClosingOutcome,
    CommitReplied,
    CommitRequested,
    Decision,
    DispatchFailed,
    DispatchStarted,
    Effect,
    IoEffect,
    Message,
    ReadReplied,
    ReadRequested,
    ReleaseRequested,
    fingerprint_request,
)
from kingcuphead.claims._register import ClaimPage, ClaimRegister
from kingcuphead.claims._resolution import ClaimEntry, Resolution, ResolutionRefused
from kingcuphead.claims._retention import RetentionSettings, SweepEnded
from kingcuphead.claims._rows import (
    AnswerLost,
    ClaimRow,
    ClaimState,
    Held,
    RecordedAnswer,
    Released,
    Resolved,
    UnreadableClaim,
)
from kingcuphead.claims._sweeper import sweep_claims
from kingcuphead.invariants import InvariantError

__all__ = [
    "AnswerLost",
    "AnswerNotReceived",
    "AnswerReceived",
    "BackoffElapsed",
    "BackoffRequested",
    "Claim",
    "ClaimClosed",
    "ClaimEntry",
    "ClaimGranted",
    "ClaimPage",
    "ClaimRefused",
    "ClaimRegister",
    "ClaimReplayed",
    "ClaimRequest",
    "ClaimRow",
    "ClaimSettings",
    "ClaimStarted",
    "ClaimState",
    "ClaimUnresolved",
    "Claims",
    "ClosingOutcome",
    "CommitReplied",
    "CommitRequested",
    "Decision",
    "DispatchFailed",
    "DispatchStarted",
    "Effect",
    "Held",
    "HeldClaim",
    "InvariantError",
    "IoEffect",
    "Message",
    "ReadReplied",
    "ReadRequested",
    "RecordedAnswer",
    "ReleaseRequested",
    "Released",
    "Resolution",
    "ResolutionRefused",
    "Resolved",
    "RetentionSettings",
    "SweepEnded",
    "UnreadableClaim",
    "fingerprint_request",
    "sweep_claims",
]

"""Verdicts for calls whose claim can't be acquired."""

from kingcuphead.claims._messages import ClaimRequest, ClaimSettings
from kingcuphead.claims._rows import (
    AnswerLost,
    ClaimRow,
    Held,
    RecordedAnswer,
    Resolved,
)
from kingcuphead.verdict import Execution, Reason, Verdict


def refuse_unreachable(settings: ClaimSettings) -> Verdict:
    """Return the verdict for a call that isn't claimed as the table is unavailable."""
    return Verdict(
        Execution.NOT_RUN,
        Reason.PLATFORM_UNAVAILABLE,
        "the call could not be claimed while the platform's table is unavailable",
        settings.retry_after,
    )


def refuse_other_request() -> Verdict:
    """Return the verdict for an idempotency key of a different request."""
    return Verdict(
        Execution.NOT_RUN,
        Reason.INVALID_REQUEST,
        "the idempotency key was used for a different request",
    )


def refuse_unreadable(cause: str) -> Verdict:
    """Return the verdict for a call whose claim row can't be decoded."""
    return Verdict(
        Execution.MAY_HAVE_RUN,
        Reason.ALREADY_CLAIMED,
        f"the claim of the call could not be decoded: {cause}",
    )


def refuse_claimed(
    claim: ClaimRow, request: ClaimRequest, settings: ClaimSettings
) -> Verdict:
    """Return the verdict for a call that another attempt holds or has closed.

    Parameters
    ----------
    claim : ClaimRow
        Claim of the other attempt.
    request : ClaimRequest
        The call and this attempt.
    settings : ClaimSettings
        Retry hint and the age at which a held claim is stale.
    """
    match claim.state:
        case Held():
            is_recent = request.claimed_at - claim.claimed_at < settings.stale_after
            retry_after = settings.retry_after if is_recent else None
            return _refuse_as_may_have_run(
                "another attempt holds the claim of the call", retry_after
            )
        case AnswerLost(cause):
            return _refuse_as_may_have_run(
                f"the call was sent, but its answer was lost: {cause}"
            )
        case RecordedAnswer() | Resolved():
            detail = "the call was executed, but its answer was not stored"
            return Verdict(Execution.RAN, Reason.ALREADY_CLAIMED, detail)
        case _:
            return _refuse_as_may_have_run("the call was already claimed")


def _refuse_as_may_have_run(detail: str, retry_after: float | None = None) -> Verdict:
    return Verdict(Execution.MAY_HAVE_RUN, Reason.ALREADY_CLAIMED, detail, retry_after)

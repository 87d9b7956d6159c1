"""The words in which a claim is refused."""

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
    """Refuse a call that couldn't be claimed for the state of the platform."""
    return Verdict(
        Execution.NOT_RUN,
        Reason.PLATFORM_UNAVAILABLE,
        "the call could not be claimed while the platform's table is unavailable",
        settings.retry_after,
    )


def refuse_other_request() -> Verdict:
    """Refuse a key that was used for another request."""
    return Verdict(
        Execution.NOT_RUN,
        Reason.INVALID_REQUEST,
        "the idempotency key was used for a different request",
    )


def refuse_unreadable(cause: str) -> Verdict:
    """Refuse a call whose claim this release can't read."""
    return Verdict(
        Execution.MAY_HAVE_RUN,
        Reason.ALREADY_CLAIMED,
        f"the call was claimed in a form that is not understood here: {cause}",
    )


def refuse_claimed(
    claim: ClaimRow, request: ClaimRequest, settings: ClaimSettings
) -> Verdict:
    """Refuse a call that another attempt holds or has ended.

    Parameters
    ----------
    claim : ClaimRow
        The other attempt's claim.
    request : ClaimRequest
        This attempt.
    settings : ClaimSettings
        Times of claims.
    """
    match claim.state:
        case Held():
            is_recent = request.claimed_at - claim.claimed_at < settings.stale_after
            retry_after = settings.retry_after if is_recent else None
            return _refuse("another attempt holds the call", retry_after)
        case AnswerLost(cause):
            return _refuse(f"the call was sent and its answer was lost: {cause}")
        case RecordedAnswer() | Resolved():
            detail = "the call was executed, and its answer was not kept"
            return Verdict(Execution.RAN, Reason.ALREADY_CLAIMED, detail)
        case _:
            return _refuse("the call was claimed before")


def _refuse(detail: str, retry_after: float | None = None) -> Verdict:
    return Verdict(Execution.MAY_HAVE_RUN, Reason.ALREADY_CLAIMED, detail, retry_after)

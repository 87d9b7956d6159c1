"""Refusals of holds with their verdicts."""

from kingcuphead.budgets._messages import HoldRefused, HoldRequested
from kingcuphead.budgets._peer_messages import CreditDenied, Denial
from kingcuphead.verdict import Execution, Reason, Verdict

#: Default `retry_after` of a refusal, in seconds; a denial of a home has its own.
RETRY_SECONDS = 1.0


def refuse(
    request: HoldRequested,
    reason: Reason,
    detail: str,
    retry_after: float | None = RETRY_SECONDS,
) -> HoldRefused:
    """Return the refusal of a hold, whose request did not run."""
    verdict = Verdict(Execution.NOT_RUN, reason, detail, retry_after)
    return HoldRefused(request.hold_id, verdict)


def refuse_denied(request: HoldRequested, message: CreditDenied) -> HoldRefused:
    """Return the refusal of a hold for which a home denied credit."""
    after = message.retry_after
    match message.denial:
        case Denial.EXHAUSTED:
            detail = f"budget {request.budget} does not cover {request.tokens} tokens"
            return refuse(request, Reason.BUDGET_EXHAUSTED, detail, after)
        case Denial.UNPROVEN:
            detail = f"credit of budget {request.budget} may be held by other daemons"
            return refuse(request, Reason.CREDIT_UNAVAILABLE, detail, after)
        case Denial.UNREACHABLE:
            detail = f"no reachable home can lend credit of budget {request.budget}"
            return refuse(request, Reason.CREDIT_UNAVAILABLE, detail, after)

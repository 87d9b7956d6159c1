"""Refusals of holds, as verdicts."""

from kingcuphead.budgets._messages import HoldRefused, HoldRequested
from kingcuphead.budgets._peer_messages import CreditDenied, Denial
from kingcuphead.verdict import Execution, Reason, Verdict

#: Seconds after which a caller may try again where no better time is known.
RETRY_SECONDS = 1.0


def refuse(
    request: HoldRequested,
    reason: Reason,
    detail: str,
    retry_after: float | None = RETRY_SECONDS,
) -> HoldRefused:
    """Return the refusal of a request that certainly did not run."""
    verdict = Verdict(Execution.NOT_RUN, reason, detail, retry_after)
    return HoldRefused(request.hold_id, verdict)


def refuse_denied(request: HoldRequested, message: CreditDenied) -> HoldRefused:
    """Return the refusal that a home's denial leads to."""
    after = message.retry_after
    match message.denial:
        case Denial.EXHAUSTED:
            detail = f"budget {request.budget} does not cover {request.tokens} tokens"
            return refuse(request, Reason.BUDGET_EXHAUSTED, detail, after)
        case Denial.UNPROVEN:
            detail = f"credit of budget {request.budget} is held elsewhere"
            return refuse(request, Reason.CREDIT_UNAVAILABLE, detail, after)
        case Denial.UNREACHABLE:
            detail = f"the state of budget {request.budget} is not known"
            return refuse(request, Reason.CREDIT_UNAVAILABLE, detail, after)

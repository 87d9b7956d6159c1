"""Decides whether a request gets another attempt after one that failed."""

from kingcuphead.dispatch import AttemptResult, RetryAllowance
from kingcuphead.forwarding._attempt import Answered, AttemptFailed
from kingcuphead.forwarding._context import RequestContext
from kingcuphead.targets import TargetDirectory
from kingcuphead.timing import get_time
from kingcuphead.verdict import Execution

#: Number of attempted targets from which on a failure to connect ends the request.
MAX_UNREACHABLE_TARGETS = 4


class RetryDecision:
    """Allows retries and counts them against the retry budget.

    Parameters
    ----------
    directory
        Lists the targets that accept requests.
    allowance
        Retry budget of this daemon for each service.
    """

    def __init__(self, directory: TargetDirectory, allowance: RetryAllowance) -> None:
        self._directory = directory
        self._allowance = allowance

    def claim_after_answer(self, context: RequestContext, answer: Answered) -> bool:
        """Return whether an error answer is discarded for a retry; count the retry."""
        return answer.head.status >= 500 and self.claim(context)

    def claim_after_failure(
        self, context: RequestContext, failure: AttemptFailed
    ) -> bool:
        """Return whether another attempt follows a failed one; count it as a retry.

        An attempt that opened no connection is not counted.
        """
        if failure.execution is Execution.NOT_RUN:
            if failure.result is AttemptResult.UNREACHABLE:
                # Nothing was sent: neither the attempt limit nor the retry budget
                # applies.
                return len(context.tried) < MAX_UNREACHABLE_TARGETS
            if failure.is_misdirected:
                return self._has_other_target(context) and self._spend_retry(context)
            return self._has_attempts_left(context) and self._spend_retry(context)
        if failure.result is AttemptResult.SILENT:
            # The retry was counted when the attempt was abandoned.
            return True
        return self.claim(context)

    def claim(self, context: RequestContext) -> bool:
        """Return whether a request that may have run is retried; count the retry."""
        return (
            context.route.may_run_again
            and self._has_attempts_left(context)
            and self._has_other_target(context)
            and self._spend_retry(context)
        )

    def _has_attempts_left(self, context: RequestContext) -> bool:
        return len(context.tried) < context.route.max_attempts

    def _has_other_target(self, context: RequestContext) -> bool:
        usable = self._directory.list_usable(context.service)
        eligible = context.select_eligible(usable)
        return any(target.name not in context.tried for target in eligible)

    def _spend_retry(self, context: RequestContext) -> bool:
        return self._allowance.try_spend(context.service, get_time())

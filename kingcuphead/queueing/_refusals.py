"""Verdicts with which the scheduler refuses requests."""

import random

from kingcuphead.queueing._messages import RequestArrived
from kingcuphead.queueing._retries import RetrySchedule
from kingcuphead.queueing._settings import QueueingSettings
from kingcuphead.queueing._waits import ExpectedWait
from kingcuphead.verdict import Reason, Verdict

#: Expected time until a target accepts requests again, in seconds.
TARGET_RECOVERY_SECONDS = 5.0


class Refusals:
    """Builds verdicts, each with a retry delay if a retry can succeed.

    Parameters
    ----------
    settings : QueueingSettings
        Bounds on the retry delay.
    rng : random.Random
        Adds jitter to the retry delays.
    """

    def __init__(self, settings: QueueingSettings, rng: random.Random) -> None:
        self._rng = rng
        self._retry_schedule = RetrySchedule(settings, rng)

    def refuse_late(self, late: ExpectedWait, rate: float, now: float) -> Verdict:
        """Refuse a request that is expected to miss its deadline."""
        request = late.waiting.request
        remaining = max(0.0, request.deadline - now)
        detail = (
            f"the first token is expected in {late.first_token_seconds:.1f} s, "
            f"after the deadline in {remaining:.1f} s"
        )
        retry_after = self._retry_schedule.schedule_retry(late.wait, rate, now)
        return Verdict(request.execution, Reason.DEADLINE, detail, retry_after)

    def refuse_full(self, request: RequestArrived, rate: float, now: float) -> Verdict:
        """Refuse a request that exceeds the capacity of the queue."""
        detail = (
            f"the queue is full; class {request.work_class!r} has the lowest rank in it"
        )
        retry_after = self._retry_schedule.schedule_retry(0.0, rate, now)
        return Verdict(request.execution, Reason.QUEUE_FULL, detail, retry_after)

    def refuse_without_target(self, request: RequestArrived) -> Verdict:
        """Refuse a request for which no target accepts requests."""
        work = f"model {request.model!r}" if request.model else "the service"
        detail = f"no target of {request.service!r} for {work} accepts new requests"
        retry_after = TARGET_RECOVERY_SECONDS * self._rng.uniform(0.5, 1.5)
        return Verdict(request.execution, Reason.NO_TARGET, detail, retry_after)

    def refuse_retry(self, request: RequestArrived) -> Verdict:
        """Refuse to retry a failed request on another target."""
        failed = ", ".join(request.excluded)
        detail = f"failed on {failed}, and the retry budget is exhausted"
        retry_after = TARGET_RECOVERY_SECONDS * self._rng.uniform(0.5, 1.5)
        return Verdict(request.execution, Reason.TARGET_FAILED, detail, retry_after)

    def refuse_quarantined(self, request: RequestArrived) -> Verdict:
        """Refuse a quarantined request."""
        detail = (
            f"several targets crashed while they ran this request; "
            f"an operator can release fingerprint {request.fingerprint!r}"
        )
        return Verdict(request.execution, Reason.QUARANTINED, detail)

"""Verdicts of the scheduler."""

import random

from kingcuphead.queueing._messages import RequestArrived
from kingcuphead.queueing._retries import ComebackPlan
from kingcuphead.queueing._settings import QueueingSettings
from kingcuphead.queueing._waits import ExpectedWait
from kingcuphead.verdict import Reason, Verdict

#: Seconds in which a target is expected to come back.
TARGET_RETURN_SECONDS = 5.0


class Refusals:
    """Builds each verdict with a time to come back.

    Parameters
    ----------
    settings : QueueingSettings
        Bounds on the time to come back.
    random_source : random.Random
        Spreads the times.
    """

    def __init__(
        self, settings: QueueingSettings, random_source: random.Random
    ) -> None:
        self._random = random_source
        self._plan = ComebackPlan(settings, random_source)

    def refuse_late(self, late: ExpectedWait, rate: float, now: float) -> Verdict:
        """Refuse a request that can't make its deadline."""
        request = late.waiting.request
        left = max(0.0, request.deadline - now)
        detail = (
            f"the first token is expected in {late.first_token:.1f} s, "
            f"after the deadline in {left:.1f} s"
        )
        back = self._plan.book(late.wait, rate, now)
        return Verdict(request.execution, Reason.DEADLINE, detail, back)

    def refuse_full(self, request: RequestArrived, rate: float, now: float) -> Verdict:
        """Refuse a request for which the queue has no room."""
        detail = f"the queue is full; class {request.work_class!r} gives way first"
        back = self._plan.book(0.0, rate, now)
        return Verdict(request.execution, Reason.QUEUE_FULL, detail, back)

    def refuse_without_target(self, request: RequestArrived) -> Verdict:
        """Refuse a request that no target can take."""
        work = f"model {request.model!r}" if request.model else "the service"
        detail = f"no target of {request.service!r} for {work} takes new work"
        back = TARGET_RETURN_SECONDS * self._random.uniform(0.5, 1.5)
        return Verdict(request.execution, Reason.NO_TARGET, detail, back)

    def refuse_retry(self, request: RequestArrived) -> Verdict:
        """Refuse to run a failed request again on another target."""
        failed = ", ".join(request.excluded)
        detail = f"failed on {failed}, and the retry budget is used up"
        back = TARGET_RETURN_SECONDS * self._random.uniform(0.5, 1.5)
        return Verdict(request.execution, Reason.TARGET_FAILED, detail, back)

    def refuse_quarantined(self, request: RequestArrived) -> Verdict:
        """Refuse a request that crashes targets."""
        detail = (
            f"targets died each time they ran this request; "
            f"an operator can release fingerprint {request.fingerprint!r}"
        )
        return Verdict(request.execution, Reason.QUARANTINED, detail)

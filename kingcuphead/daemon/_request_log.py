"""What became of requests: a log line, metrics and a bounded memory for operators."""

import collections

from loguru import logger

from kingcuphead.metrics import Metrics, RequestMeasured
from kingcuphead.operators import Explanation
from kingcuphead.pipeline import RequestEnd

#: Requests whose ends are kept for operators.
EXPLANATION_CAPACITY = 10_000
#: `execution` of a request that was answered.
ANSWERED = "ran"


class RequestLog:
    """Takes the end of each request, without its content.

    Parameters
    ----------
    instance
        Name of this daemon.
    metrics
        Counts the request.
    """

    def __init__(self, instance: str, metrics: Metrics) -> None:
        self._instance = instance
        self._metrics = metrics
        self._recent: collections.deque[Explanation] = collections.deque(
            maxlen=EXPLANATION_CAPACITY
        )

    def explain(self, request_id: str) -> tuple[Explanation, ...]:
        """Return what became of a request, once for each try seen here."""
        return tuple(each for each in self._recent if each.request_id == request_id)

    def report(self, end: RequestEnd) -> None:
        """Take the end of one request."""
        explanation = self._describe(end)
        self._recent.append(explanation)
        self._metrics.record_request(_measure(end))
        bound = logger.bind(
            request_id=explanation.request_id,
            organisation=explanation.organisation,
            work_class=explanation.work_class,
            execution=explanation.execution,
            reason=explanation.reason,
            phases=explanation.phases,
        )
        if end.verdict is None:
            bound.info("request answered")
        else:
            bound.info("request refused: {}", explanation.message)

    def _describe(self, end: RequestEnd) -> Explanation:
        verdict = end.verdict
        return Explanation(
            request_id=end.received.request_id,
            instance=self._instance,
            organisation=end.organisation,
            work_class=end.work_class,
            execution=ANSWERED if verdict is None else verdict.execution.value,
            reason="" if verdict is None else verdict.reason.value,
            message="" if verdict is None else verdict.message,
            phases={phase.value: time for phase, time in end.stopwatch.phases},
        )


def _measure(end: RequestEnd) -> RequestMeasured:
    usage = end.stopwatch.usage
    return RequestMeasured(
        organisation=end.organisation,
        work_class=end.work_class,
        verdict=end.verdict,
        phases=tuple(end.stopwatch.phases),
        stream=end.stopwatch.stream,
        prompt_tokens=usage.prompt_tokens,
        completion_tokens=usage.completion_tokens,
    )

"""Records ended requests: a log line, metrics and a bounded history for operators."""

import collections

from loguru import logger

from kingcuphead.metrics import Metrics, RequestMeasured
from kingcuphead.operators import Explanation
from kingcuphead.pipeline import RequestEnd

#: Maximum number of ended requests in the history.
EXPLANATION_CAPACITY = 10_000
#: Value of the `execution` field for a request with a complete answer.
ANSWERED = "ran"


class RequestLog:
    """Logs, counts and keeps the end of each request, without its content.

    Parameters
    ----------
    instance
        Instance name of this daemon.
    metrics
        Metrics that count and time the requests.
    """

    def __init__(self, instance: str, metrics: Metrics) -> None:
        self._instance = instance
        self._metrics = metrics
        self._recent: collections.deque[Explanation] = collections.deque(
            maxlen=EXPLANATION_CAPACITY
        )

    def explain(self, request_id: str) -> tuple[Explanation, ...]:
        """Return an explanation for each arrival of the request in the history."""
        return tuple(each for each in self._recent if each.request_id == request_id)

    def record(self, end: RequestEnd) -> None:
        """Record the end of one request."""
        explanation = self._make_explanation(end)
        self._recent.append(explanation)
        self._metrics.record_request(_measure(end))
        bound_logger = logger.bind(
            request_id=explanation.request_id,
            organisation=explanation.organisation,
            work_class=explanation.work_class,
            execution=explanation.execution,
            reason=explanation.reason,
            phases=explanation.phases,
        )
        if end.verdict is None:
            bound_logger.info("request answered")
        else:
            bound_logger.info("request refused: {}", explanation.message)

    def _make_explanation(self, end: RequestEnd) -> Explanation:
        verdict = end.verdict
        return Explanation(
            request_id=end.received.request_id,
            instance=self._instance,
            organisation=end.organisation,
            work_class=end.work_class,
            execution=ANSWERED if verdict is None else verdict.execution.value,
            reason="" if verdict is None else verdict.reason.value,
            message="" if verdict is None else verdict.message,
            phases={phase.value: seconds for phase, seconds in end.stopwatch.phases},
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

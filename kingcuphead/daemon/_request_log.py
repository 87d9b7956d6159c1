"""One log line for each request."""

from loguru import logger

from kingcuphead.pipeline import RequestEnd


class RequestLog:
    """Logs how requests ended, without their content."""

    def report(self, end: RequestEnd) -> None:
        """Log the end of one request."""
        verdict = end.verdict
        bound = logger.bind(
            request_id=end.received.request_id,
            organisation=end.organisation,
            work_class=end.work_class,
            execution="ran" if verdict is None else verdict.execution.value,
            reason="" if verdict is None else verdict.reason.value,
            phases={phase.value: seconds for phase, seconds in end.stopwatch.phases},
        )
        if verdict is None:
            bound.info("request answered")
        else:
            bound.info("request refused: {}", verdict.message)

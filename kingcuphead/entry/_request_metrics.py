"""Prometheus metrics of completed requests."""

import asyncio
from collections.abc import Callable

from kingcuphead.entry._instruments import Counter, Gauge, Histogram, Registry
from kingcuphead.forwarding import (
    AnswerRecord,
    HedgeRecord,
    Refusal,
    RequestContext,
)
from kingcuphead.verdict import Execution

#: Upper bounds of the histogram buckets in seconds.
BUCKETS = (0.01, 0.03, 0.1, 0.2, 0.3, 0.5, 0.8, 1.0, 1.5, 3.0, 5.0, 15.0)


class RequestMetrics:
    """Records counters and latency histograms of completed requests.

    Parameters
    ----------
    registry
        Receives the metrics.
    choose_label
        Returns the label value of a class or an organisation.
    """

    def __init__(self, registry: Registry, choose_label: Callable[[str], str]) -> None:
        self._choose_label = choose_label
        self._requests = Counter(
            "kingcuphead_requests",
            "Requests by class, organisation, status and reason of a refusal.",
            ("work_class", "organisation", "status", "reason"),
            registry=registry,
        )
        self._attempts = Counter(
            "kingcuphead_attempts",
            "Attempts at targets by service.",
            ("service",),
            registry=registry,
        )
        self._attempt_results = Counter(
            "kingcuphead_attempt_results",
            "Attempts at targets by service and result.",
            ("service", "result"),
            registry=registry,
        )
        self._answers = Counter(
            "kingcuphead_target_answers",
            "Answers of targets by service, by the request that their id names and by "
            "whether they state that it was not run.",
            ("service", "id", "statement"),
            registry=registry,
        )
        self._tokens = Counter(
            "kingcuphead_tokens",
            "Tokens settled by organisation.",
            ("organisation",),
            registry=registry,
        )
        self._times = _RequestTimes(registry)

    def record(self, context: RequestContext, refusal: Refusal | None) -> None:
        """Record a request that ended, with its refusal if it was refused."""
        work_class = self._choose_label(context.route.name)
        organisation = self._choose_label(context.payer)
        status = context.status if refusal is None else refusal.status
        reason = "" if refusal is None else refusal.reason.value
        self._requests.labels(work_class, organisation, status, reason).inc()
        self._attempts.labels(context.service).inc(len(context.records))
        for record in context.records:
            self._attempt_results.labels(context.service, record.result.value).inc()
            if record.answer is not None:
                self._record_answer(context.service, record.answer)
        self._tokens.labels(organisation).inc(context.charge.tokens)
        self._times.record(context, work_class)

    def _record_answer(self, service: str, answer: AnswerRecord) -> None:
        statement = Execution.NOT_RUN.value if answer.is_not_run else ""
        self._answers.labels(service, answer.identity.value, statement).inc()


class _RequestTimes:
    """Records how long completed requests took."""

    def __init__(self, registry: Registry) -> None:
        self._seconds = Histogram(
            "kingcuphead_request_seconds",
            "Seconds from arrival to the end, by class.",
            ("work_class",),
            buckets=BUCKETS,
            registry=registry,
        )
        self._first_event = Histogram(
            "kingcuphead_first_event_seconds",
            "Seconds from arrival to the first event of a stream, by class.",
            ("work_class",),
            buckets=BUCKETS,
            registry=registry,
        )
        self._credit = Histogram(
            "kingcuphead_credit_wait_seconds",
            "Seconds that requests waited for credit.",
            buckets=BUCKETS,
            registry=registry,
        )

    def record(self, context: RequestContext, work_class: str) -> None:
        """Record the times of a request that ended."""
        now = asyncio.get_running_loop().time()
        seconds = now - context.request.arrived_at
        self._seconds.labels(work_class).observe(seconds)
        if context.first_event_seconds is not None:
            self._first_event.labels(work_class).observe(context.first_event_seconds)
        if context.credit_seconds:
            self._credit.observe(context.credit_seconds)


class QueueMetrics:
    """Records how long requests wait for room, and which are refused for want of it.

    Parameters
    ----------
    registry
        Receives the metrics.
    """

    def __init__(self, registry: Registry) -> None:
        self._seconds = Histogram(
            "kingcuphead_queue_seconds",
            "Seconds that requests waited for room, by service.",
            ("service",),
            buckets=BUCKETS,
            registry=registry,
        )
        self._refusals = Counter(
            "kingcuphead_queue_refusals",
            "Requests refused for want of room, by service and reason.",
            ("service", "reason"),
            registry=registry,
        )
        self._length = Gauge(
            "kingcuphead_queue_length",
            "Requests that wait for room, by service.",
            ("service",),
            registry=registry,
        )

    def record_wait(self, service: str, seconds: float) -> None:
        """Record how long a request waited."""
        self._seconds.labels(service).observe(seconds)

    def record_refusal(self, service: str, reason: str) -> None:
        """Record a request that was refused for want of room."""
        self._refusals.labels(service, reason).inc()

    def set_length(self, service: str, length: int) -> None:
        """Set the number of requests that wait for a service."""
        self._length.labels(service).set(length)


class HedgingMetrics:
    """Records second attempts, and why there was none.

    Parameters
    ----------
    registry
        Receives the metrics.
    """

    def __init__(self, registry: Registry) -> None:
        self._hedges = Counter(
            "kingcuphead_hedges",
            "Second attempts beside running ones, by service and event.",
            ("service", "event"),
            registry=registry,
        )
        self._denials = Counter(
            "kingcuphead_hedge_denials",
            "Second attempts that were not started, by service and reason.",
            ("service", "reason"),
            registry=registry,
        )

    def record(self, service: str, hedge: HedgeRecord) -> None:
        """Record the second attempt of a request, or why there was none."""
        if hedge.denial is not None:
            self._denials.labels(service, hedge.denial.value).inc()
            return
        self._hedges.labels(service, "started").inc()
        if hedge.is_won:
            self._hedges.labels(service, "won").inc()
        if hedge.is_cancelled:
            self._hedges.labels(service, "cancelled").inc()

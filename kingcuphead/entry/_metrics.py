"""Prometheus metrics of one daemon and the endpoint that exposes them."""

import asyncio

from prometheus_client import (
    CONTENT_TYPE_LATEST,
    CollectorRegistry,
    Counter,
    Histogram,
    generate_latest,
)
from tornado.httpserver import HTTPServer

from kingcuphead.entry._engine_metrics import EngineMetrics
from kingcuphead.entry._get_server import Answer, serve_get
from kingcuphead.forwarding import Refusal, RequestContext

#: Port of the metrics endpoint; the deployment file contains it too.
METRICS_PORT = 9464
#: Path of the metrics endpoint; the deployment file contains it too.
METRICS_PATH = "/metrics"
#: Values per label (organisation, work_class) that get a series of their own. Values of
#: both labels are counted together, up to twice this number; others share one series.
MAX_SERIES = 50
#: Label value of the shared series.
OTHER_LABEL = "other"
#: Upper bounds of the histogram buckets in seconds.
BUCKETS = (0.01, 0.03, 0.1, 0.2, 0.3, 0.5, 0.8, 1.0, 1.5, 3.0, 5.0, 15.0)


class DaemonMetrics:
    """Records counters and latency histograms of completed requests."""

    def __init__(self) -> None:
        self._registry = CollectorRegistry()
        self._labels: set[str] = set()
        self._requests = Counter(
            "kingcuphead_requests",
            "Requests by class, organisation, status and reason of a refusal.",
            ("work_class", "organisation", "status", "reason"),
            registry=self._registry,
        )
        self._attempts = Counter(
            "kingcuphead_attempts",
            "Attempts at targets by service.",
            ("service",),
            registry=self._registry,
        )
        self._attempt_results = Counter(
            "kingcuphead_attempt_results",
            "Attempts at targets by service and result.",
            ("service", "result"),
            registry=self._registry,
        )
        self._tokens = Counter(
            "kingcuphead_tokens",
            "Tokens settled by organisation.",
            ("organisation",),
            registry=self._registry,
        )
        self._seconds = Histogram(
            "kingcuphead_request_seconds",
            "Seconds from arrival to the end, by class.",
            ("work_class",),
            buckets=BUCKETS,
            registry=self._registry,
        )
        self._first_event = Histogram(
            "kingcuphead_first_event_seconds",
            "Seconds from arrival to the first event of a stream, by class.",
            ("work_class",),
            buckets=BUCKETS,
            registry=self._registry,
        )
        self._credit = Histogram(
            "kingcuphead_credit_wait_seconds",
            "Seconds that requests waited for credit.",
            buckets=BUCKETS,
            registry=self._registry,
        )
        #: Placements on engines.
        self.engines = EngineMetrics(self._registry, self._choose_label)

    def record(self, context: RequestContext, refusal: Refusal | None) -> None:
        """Record a request that ended, with its refusal if it was refused."""
        now = asyncio.get_running_loop().time()
        work_class = self._choose_label(context.route.name)
        organisation = self._choose_label(context.payer)
        status = context.status if refusal is None else refusal.status
        reason = "" if refusal is None else refusal.reason.value
        self._requests.labels(work_class, organisation, status, reason).inc()
        self._attempts.labels(context.service).inc(len(context.records))
        for record in context.records:
            self._attempt_results.labels(context.service, record.result.value).inc()
        self._tokens.labels(organisation).inc(context.spent)
        seconds = now - context.request.arrived_at
        self._seconds.labels(work_class).observe(seconds)
        if context.first_event_seconds is not None:
            self._first_event.labels(work_class).observe(context.first_event_seconds)
        if context.credit_seconds:
            self._credit.observe(context.credit_seconds)

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self._registry)

    def _choose_label(self, name: str) -> str:
        """Return the label value of a name; `OTHER_LABEL` once the limit is reached."""
        if name in self._labels or len(self._labels) < 2 * MAX_SERIES:
            self._labels.add(name)
            return name
        return OTHER_LABEL


def serve_metrics(host: str, metrics: DaemonMetrics) -> HTTPServer:
    """Serve the metrics endpoint on an address."""
    return serve_get(
        host,
        METRICS_PORT,
        METRICS_PATH,
        lambda: Answer(200, metrics.render(), CONTENT_TYPE_LATEST),
    )

"""Prometheus metrics of one daemon and the endpoint that exposes them."""

import asyncio
from collections.abc import Callable

from tornado.httpserver import HTTPServer

from kingcuphead.admission import AdmissionGate
from kingcuphead.capacity import CapacityFigures, OwnLoad
from kingcuphead.entry._engine_metrics import EngineMetrics
from kingcuphead.entry._get_server import Answer, serve_get
from kingcuphead.entry._instruments import (
    CONTENT_TYPE,
    Counter,
    Gauge,
    Histogram,
    Registry,
    load_library,
)
from kingcuphead.forwarding import HedgeRecord, Refusal, RequestContext
from kingcuphead.targets import Target, TargetDirectory

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
        self._registry = Registry()
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
        self._memory = Gauge(
            "kingcuphead_held_bytes",
            "Bytes held for bodies, collected answers and events.",
            registry=self._registry,
        )
        self._memory_ends = Counter(
            "kingcuphead_memory_ends",
            "Requests that were ended because the memory was full.",
            registry=self._registry,
        )
        self._credit = Histogram(
            "kingcuphead_credit_wait_seconds",
            "Seconds that requests waited for credit.",
            buckets=BUCKETS,
            registry=self._registry,
        )
        self._load = Gauge(
            "kingcuphead_load",
            "Load of this daemon by resource, 1 being its capacity.",
            ("resource",),
            registry=self._registry,
        )
        self._closed_connections = Counter(
            "kingcuphead_shed_connections",
            "Connections of callers that were closed to shed load.",
            registry=self._registry,
        )
        self._unready = Counter(
            "kingcuphead_shed_seconds",
            "Seconds in which this daemon was unready to shed load.",
            registry=self._registry,
        )
        self._capacity = CapacityFigures(OwnLoad(), 0, 0.0)
        self._cold_denials = Counter(
            "kingcuphead_cold_denials",
            "Permits denied because the target is or may be cold, by service.",
            ("service",),
            registry=self._registry,
        )
        self._queue_seconds = Histogram(
            "kingcuphead_queue_seconds",
            "Seconds that requests waited for room, by service.",
            ("service",),
            buckets=BUCKETS,
            registry=self._registry,
        )
        self._queue_refusals = Counter(
            "kingcuphead_queue_refusals",
            "Requests refused for want of room, by service and reason.",
            ("service", "reason"),
            registry=self._registry,
        )
        self._queue_length = Gauge(
            "kingcuphead_queue_length",
            "Requests that wait for room, by service.",
            ("service",),
            registry=self._registry,
        )
        self._hedges = Counter(
            "kingcuphead_hedges",
            "Second attempts beside running ones, by service and event.",
            ("service", "event"),
            registry=self._registry,
        )
        self._hedge_denials = Counter(
            "kingcuphead_hedge_denials",
            "Second attempts that were not started, by service and reason.",
            ("service", "reason"),
            registry=self._registry,
        )
        #: Placements on engines.
        self.engines = EngineMetrics(self._registry, self._choose_label)
        #: Holds requests back until targets have room; None if none wait.
        self.admission: AdmissionGate | None = None

    def record_capacity(self, figures: CapacityFigures) -> None:
        """Record the load of this daemon and the totals of what it shed."""
        previous, self._capacity = self._capacity, figures
        self._load.labels("link").set(figures.load.link)
        self._load.labels("processor").set(figures.load.processor)
        self._load.labels("event_loop").set(figures.load.lag)
        self._closed_connections.inc(
            figures.closed_connections - previous.closed_connections
        )
        self._unready.inc(max(0.0, figures.unready_seconds - previous.unready_seconds))

    def observe_targets(self, directory: TargetDirectory) -> None:
        """Add gauges that read the directory of targets whenever they are scraped."""
        evacuated = Gauge(
            "kingcuphead_evacuated_zones",
            "Evacuated zones that have targets.",
            registry=self._registry,
        )
        evacuated.set_function(lambda: len(directory.list_evacuated_zones()))
        cold = Gauge(
            "kingcuphead_cold_targets",
            "Targets that are known to be cold.",
            registry=self._registry,
        )
        cold.set_function(lambda: directory.cold_count)

    def record_cold_denial(self, target: Target) -> None:
        """Count a permit that was denied because the target is cold."""
        self._cold_denials.labels(self._choose_label(target.service)).inc()

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
        if self.admission is not None:
            self._queue_seconds.labels(context.service).observe(context.queue_seconds)
        if context.queue_figures is not None:
            self._queue_refusals.labels(context.service, reason).inc()
        if context.hedge is not None:
            self._record_hedge(context.service, context.hedge)

    def _record_hedge(self, service: str, hedge: HedgeRecord) -> None:
        """Record the second attempt of a request, or why there was none."""
        if hedge.denial is not None:
            self._hedge_denials.labels(service, hedge.denial.value).inc()
            return
        self._hedges.labels(service, "started").inc()
        if hedge.is_won:
            self._hedges.labels(service, "won").inc()
        if hedge.is_cancelled:
            self._hedges.labels(service, "cancelled").inc()

    def watch_memory(self, get_bytes: Callable[[], int]) -> None:
        """Expose the bytes that are held for requests."""
        self._memory.set_function(get_bytes)

    def record_memory_end(self) -> None:
        """Record a request that was ended because the memory was full."""
        self._memory_ends.inc()

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        if self.admission is not None:
            for service, length in self.admission.count_waiting():
                self._queue_length.labels(service).set(length)
        return self._registry.render()

    def _choose_label(self, name: str) -> str:
        """Return the label value of a name; `OTHER_LABEL` once the limit is reached."""
        if name in self._labels or len(self._labels) < 2 * MAX_SERIES:
            self._labels.add(name)
            return name
        return OTHER_LABEL


def serve_metrics(host: str, metrics: DaemonMetrics) -> HTTPServer:
    """Serve the metrics endpoint on an address."""

    async def answer_scrape() -> Answer:
        await asyncio.to_thread(load_library)
        return Answer(200, metrics.render(), CONTENT_TYPE)

    return serve_get(host, METRICS_PORT, METRICS_PATH, answer_scrape)

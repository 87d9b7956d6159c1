"""Prometheus metrics of one daemon and the endpoint that exposes them."""

import asyncio
from collections.abc import Callable, Mapping

from tornado.httpserver import HTTPServer

from kingcuphead.admission import AdmissionGate
from kingcuphead.capacity import CapacityFigures, LinkTraffic, TimedSelector
from kingcuphead.entry._engine_metrics import EngineMetrics
from kingcuphead.entry._get_server import Answer, serve_get
from kingcuphead.entry._instruments import (
    CONTENT_TYPE,
    Counter,
    Registry,
    load_library,
)
from kingcuphead.entry._poll_pacing import PollPacing
from kingcuphead.entry._request_metrics import (
    HedgingMetrics,
    QueueMetrics,
    RequestMetrics,
)
from kingcuphead.entry._resource_metrics import (
    LoadMetrics,
    MemoryMetrics,
    add_loop_gauge,
    add_poll_gauges,
    add_target_gauges,
    add_traffic_gauges,
    add_view_gauge,
)
from kingcuphead.entry._resumption_metrics import ResumptionMetrics
from kingcuphead.entry._view_age import ViewAge
from kingcuphead.forwarding import Refusal, RequestContext
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


class DaemonMetrics:
    """All metrics of a daemon."""

    def __init__(self) -> None:
        self._registry = Registry()
        self._labels: set[str] = set()
        self._requests = RequestMetrics(self._registry, self._choose_label)
        self._memory = MemoryMetrics(self._registry)
        self._load = LoadMetrics(self._registry)
        self._cold_denials = Counter(
            "kingcuphead_cold_denials",
            "Permits denied because the target is or may be cold, by service.",
            ("service",),
            registry=self._registry,
        )
        self._task_failures = Counter(
            "kingcuphead_task_failures",
            "Failures of background tasks, which are restarted, by task.",
            ("task",),
            registry=self._registry,
        )
        self._unsent_datagrams = Counter(
            "kingcuphead_unsent_datagrams",
            "Messages to other daemons that could not be encoded, by kind.",
            ("message",),
            registry=self._registry,
        )
        self._unexpected_errors = Counter(
            "kingcuphead_unexpected_errors",
            "Requests that ended with an unexpected error, by what the caller got.",
            ("answer",),
            registry=self._registry,
        )
        self._queue = QueueMetrics(self._registry)
        self._hedging = HedgingMetrics(self._registry)
        #: Streams that callers resume.
        self.resumption = ResumptionMetrics(self._registry)
        #: Placements on engines.
        self.engines = EngineMetrics(self._registry, self._choose_label)
        #: Holds requests back until targets have room; None if none wait.
        self.admission: AdmissionGate | None = None

    def record_capacity(self, figures: CapacityFigures) -> None:
        """Record the load of this daemon and the totals of what it shed."""
        self._load.record(figures)

    def observe_targets(self, directory: TargetDirectory) -> None:
        """Add gauges that read the directory of targets whenever they are scraped."""
        add_target_gauges(self._registry, directory)

    def observe_polls(self, pacings: Mapping[str, PollPacing]) -> None:
        """Add gauges of the delays of polls, by table."""
        add_poll_gauges(self._registry, pacings)

    def observe_view(self, view_age: ViewAge) -> None:
        """Add a gauge of the age of the view of the configuration."""
        add_view_gauge(self._registry, view_age)

    def observe_loop(self, selector: TimedSelector) -> None:
        """Add a gauge of the longest turn of the event loop."""
        add_loop_gauge(self._registry, selector)

    def observe_traffic(self, traffic: LinkTraffic) -> None:
        """Add gauges of the bytes on the link, by kind and direction."""
        add_traffic_gauges(self._registry, traffic)

    def record_cold_denial(self, target: Target) -> None:
        """Count a permit that was denied because the target is cold."""
        self._cold_denials.labels(self._choose_label(target.service)).inc()

    def record_task_failure(self, task: str) -> None:
        """Count a failure of a background task."""
        self._task_failures.labels(task).inc()

    def record_unsent_datagram(self, message: str) -> None:
        """Count a message to other daemons that could not be encoded."""
        self._unsent_datagrams.labels(message).inc()

    def record_unexpected_error(self, is_answered: bool) -> None:
        """Count a request that met an unexpected error, refused or closed."""
        self._unexpected_errors.labels("refused" if is_answered else "closed").inc()

    def record(self, context: RequestContext, refusal: Refusal | None) -> None:
        """Record a request that ended, with its refusal if it was refused."""
        self._requests.record(context, refusal)
        if self.admission is not None:
            self._queue.record_wait(context.service, context.queue_seconds)
        if context.queue_figures is not None:
            reason = "" if refusal is None else refusal.reason.value
            self._queue.record_refusal(context.service, reason)
        if context.hedge is not None:
            self._hedging.record(context.service, context.hedge)

    def watch_memory(self, get_bytes: Callable[[], int]) -> None:
        """Expose the bytes that are held for requests."""
        self._memory.watch(get_bytes)

    def record_memory_end(self) -> None:
        """Record a request that was ended because the memory was full."""
        self._memory.record_end()

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        if self.admission is not None:
            for service, length in self.admission.count_waiting():
                self._queue.set_length(service, length)
        return self._registry.render()

    def _choose_label(self, name: str) -> str:
        """Return the label value of a name; `OTHER_LABEL` once the limit is reached."""
        if name in self._labels or len(self._labels) < 2 * MAX_SERIES:
            self._labels.add(name)
            return name
        return OTHER_LABEL


def serve_metrics(host: str, metrics: DaemonMetrics) -> HTTPServer:
    """Serve the metrics endpoint on an address.

    Parameters
    ----------
    host
        IP address to listen on.
    metrics
        The metrics to expose.
    """

    async def answer_scrape() -> Answer:
        await asyncio.to_thread(load_library)
        return Answer(200, metrics.render(), CONTENT_TYPE)

    return serve_get(host, METRICS_PORT, METRICS_PATH, answer_scrape)

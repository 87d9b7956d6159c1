"""Metrics of one daemon in a separate registry."""

from collections import Counter as KeyCounter
from collections.abc import Mapping, Sequence

from prometheus_client import (
    CONTENT_TYPE_LATEST,
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    ProcessCollector,
    disable_created_metrics,
    generate_latest,
)

from kingcuphead.metrics._labels import BoundedLabel
from kingcuphead.metrics._messages import (
    DaemonState,
    MetricsSettings,
    RequestMeasured,
    StreamTimes,
)

#: Histogram buckets by work class for phases and time to first token: upper bounds
#: in seconds.
CLASS_PHASE_BUCKETS = (
    *(0.001, 0.005, 0.01, 0.05, 0.1, 0.25),
    *(0.5, 0.89, 2.0, 5.0, 15.0, 60.0),
)
#: Histogram buckets by work class for the time between tokens: upper bounds in
#: seconds.
CLASS_GAP_BUCKETS = (0.005, 0.01, 0.02, 0.03, 0.043, 0.06, 0.1, 0.25, 1.0, 5.0)
#: Histogram buckets by organisation for phases and time to first token: upper bounds
#: in seconds.
ORGANISATION_PHASE_BUCKETS = (0.005, 0.05, 0.25, 0.89, 5.0, 60.0)
#: Histogram buckets by organisation for the time between tokens: upper bounds in
#: seconds.
ORGANISATION_GAP_BUCKETS = (0.02, 0.043, 0.1, 1.0)
#: Value of the label `execution` for a request with a complete answer.
ANSWERED = "answered"

_PREFIX = "kingcuphead"


class _LatencyHistograms:
    """Latency histograms by one label.

    Parameters
    ----------
    label : str
        Name of the label, "class" or "organisation".
    registry : CollectorRegistry
        Registry of the histograms.
    phase_buckets : Sequence[float]
        Upper bounds in seconds of the buckets for phases and time to first token.
    gap_buckets : Sequence[float]
        Upper bounds in seconds of the buckets for the time between tokens.
    """

    def __init__(
        self,
        label: str,
        registry: CollectorRegistry,
        phase_buckets: Sequence[float],
        gap_buckets: Sequence[float],
    ) -> None:
        self._phases = Histogram(
            f"{_PREFIX}_{label}_phase_seconds",
            f"Time of a request in a phase, by {label}",
            (label, "phase"),
            buckets=phase_buckets,
            registry=registry,
        )
        self._first_token = Histogram(
            f"{_PREFIX}_{label}_first_token_seconds",
            f"Time from arrival to the first token, by {label}",
            (label,),
            buckets=phase_buckets,
            registry=registry,
        )
        self._mean_gap = Histogram(
            f"{_PREFIX}_{label}_token_gap_seconds",
            f"Mean time between tokens of an answer, by {label}",
            (label,),
            buckets=gap_buckets,
            registry=registry,
        )

    def record(self, value: str, measured: RequestMeasured) -> None:
        """Record a request under one value of the label."""
        for phase, seconds in measured.phases:
            self._phases.labels(value, str(phase)).observe(seconds)
        if measured.stream is not None:
            self._record_stream(value, measured.stream)

    def _record_stream(self, value: str, stream: StreamTimes) -> None:
        self._first_token.labels(value).observe(stream.first_token)
        if stream.mean_gap is not None:
            self._mean_gap.labels(value).observe(stream.mean_gap)


class Metrics:
    """Records the measurements of tasks and renders them for a Prometheus scrape.

    Parameters
    ----------
    settings : MetricsSettings
        Limits on the number of series.
    """

    def __init__(self, settings: MetricsSettings | None = None) -> None:
        settings = settings or MetricsSettings()
        # A creation timestamp per label set would double the series of every histogram.
        disable_created_metrics()  # type: ignore[no-untyped-call]
        self._registry = CollectorRegistry()
        self._organisations = BoundedLabel(settings.organisations)
        self._classes = BoundedLabel(settings.classes)
        self._class_latencies = _LatencyHistograms(
            "class", self._registry, CLASS_PHASE_BUCKETS, CLASS_GAP_BUCKETS
        )
        self._organisation_latencies = _LatencyHistograms(
            "organisation",
            self._registry,
            ORGANISATION_PHASE_BUCKETS,
            ORGANISATION_GAP_BUCKETS,
        )
        self._queued_classes: frozenset[str] = frozenset()
        self._make_counters()
        self._make_gauges()
        ProcessCollector(namespace=_PREFIX, registry=self._registry)

    def record_request(self, measured: RequestMeasured) -> None:
        """Record a request that has ended."""
        organisation = self._organisations.assign_value(measured.organisation)
        work_class = self._classes.assign_value(measured.work_class)
        self._count_request(organisation, measured)
        self._class_latencies.record(work_class, measured)
        self._organisation_latencies.record(organisation, measured)
        stream = measured.stream
        if stream is not None and stream.longest_gap is not None:
            self._longest_gap.labels(work_class).observe(stream.longest_gap)
        self._count_tokens(organisation, measured)

    def count_fault(self, kind: str) -> None:
        """Count a fault that the ledger reported, such as usage above the bound."""
        self._faults.labels(kind).inc()

    def set_state(self, state: DaemonState) -> None:
        """Set the gauges to the current state of the daemon."""
        self._open_requests.set(state.open_requests)
        self._free_tokens.set(state.free_tokens)
        self._held_tokens.set(state.held_tokens)
        self._revision.set(state.revision)
        self._ready.set(state.ready)
        self._set_queued(state.queued)

    def render(self) -> bytes:
        """Return the metrics in the exposition format of `CONTENT_TYPE`.

        Thread-safe: it may run in another thread while tasks record measurements.
        """
        return generate_latest(self._registry)

    def _set_queued(self, queued: Mapping[str, int]) -> None:
        counts: KeyCounter[str] = KeyCounter()
        for work_class, count in queued.items():
            counts[self._classes.assign_value(work_class)] += count
        for work_class, count in counts.items():
            self._queued.labels(work_class).set(count)
        for work_class in self._queued_classes - counts.keys():
            self._queued.remove(work_class)
        self._queued_classes = frozenset(counts)

    def _count_request(self, organisation: str, measured: RequestMeasured) -> None:
        verdict = measured.verdict
        execution = ANSWERED if verdict is None else verdict.execution.value
        reason = "" if verdict is None else verdict.reason.value
        self._requests.labels(execution, reason).inc()
        self._organisation_requests.labels(organisation, execution).inc()

    def _count_tokens(self, organisation: str, measured: RequestMeasured) -> None:
        if measured.prompt_tokens:
            self._tokens.labels(organisation, "prompt").inc(measured.prompt_tokens)
        if measured.completion_tokens:
            self._tokens.labels(organisation, "completion").inc(
                measured.completion_tokens
            )

    def _make_counters(self) -> None:
        self._requests = Counter(
            f"{_PREFIX}_requests",
            "Requests that ended, by execution and reason",
            ("execution", "reason"),
            registry=self._registry,
        )
        self._organisation_requests = Counter(
            f"{_PREFIX}_organisation_requests",
            "Requests that ended, by organisation and execution",
            ("organisation", "execution"),
            registry=self._registry,
        )
        self._tokens = Counter(
            f"{_PREFIX}_billed_tokens",
            "Tokens billed, by organisation and kind",
            ("organisation", "kind"),
            registry=self._registry,
        )
        self._faults = Counter(
            f"{_PREFIX}_ledger_faults",
            "Faults that the ledger reported, by kind",
            ("kind",),
            registry=self._registry,
        )
        self._longest_gap = Histogram(
            f"{_PREFIX}_class_longest_token_gap_seconds",
            "Longest time between tokens of an answer, by class",
            ("class",),
            buckets=CLASS_GAP_BUCKETS,
            registry=self._registry,
        )

    def _make_gauges(self) -> None:
        self._open_requests = self._make_gauge("open_requests", "Requests not ended")
        self._free_tokens = self._make_gauge("free_tokens", "Granted and free tokens")
        self._held_tokens = self._make_gauge("held_tokens", "Granted and held tokens")
        self._revision = self._make_gauge("revision", "Revision in force")
        self._ready = self._make_gauge("ready", "1 if requests are accepted")
        self._queued = Gauge(
            f"{_PREFIX}_queued_requests",
            "Requests that wait for a target, by class",
            ("class",),
            registry=self._registry,
        )

    def _make_gauge(self, name: str, text: str) -> Gauge:
        return Gauge(f"{_PREFIX}_{name}", text, registry=self._registry)


#: Media type of the rendered metrics.
CONTENT_TYPE = CONTENT_TYPE_LATEST

"""Prometheus metrics of placements on engines."""

from collections.abc import Callable

from kingcuphead.dispatch import MemoryDenial
from kingcuphead.entry._instruments import Counter, Histogram, Registry

#: Upper bounds of the buckets of observed minus expected waits, in seconds.
ERROR_BUCKETS = (-0.5, -0.2, -0.1, -0.03, 0.03, 0.1, 0.2, 0.5, 1.0, 3.0)
#: Upper bounds of the buckets of shares of an engine's memory.
SHARE_BUCKETS = (0.1, 0.25, 0.5, 0.65, 0.8, 0.9, 1.0)


class EngineMetrics:
    """Records expected and observed waits, and how full engines are.

    Parameters
    ----------
    registry
        Receives the metrics.
    choose_label
        Returns the label value of a service.
    """

    def __init__(self, registry: Registry, choose_label: Callable[[str], str]) -> None:
        self._choose_label = choose_label
        self._wait_error = Histogram(
            "kingcuphead_engine_wait_error_seconds",
            "Observed minus expected seconds to the first event, by service.",
            ("service",),
            buckets=ERROR_BUCKETS,
            registry=registry,
        )
        self._memory = Histogram(
            "kingcuphead_engine_memory_share",
            "Known share of an engine's memory at each placement, by service.",
            ("service",),
            buckets=SHARE_BUCKETS,
            registry=registry,
        )
        self._denials = Counter(
            "kingcuphead_engine_memory_denials",
            "Requests that got no memory of an engine, by service and cause.",
            ("service", "cause"),
            registry=registry,
        )

    def record_engine_wait(self, service: str, expected: float, seconds: float) -> None:
        """Record the expected and the observed seconds to the first event."""
        self._wait_error.labels(self._choose_label(service)).observe(seconds - expected)

    def record_engine_memory(self, service: str, share: float) -> None:
        """Record the known share of an engine's memory, with a request placed there."""
        self._memory.labels(self._choose_label(service)).observe(share)

    def record_memory_denial(self, service: str, cause: MemoryDenial) -> None:
        """Record that a request got no memory."""
        self._denials.labels(self._choose_label(service), cause.value).inc()

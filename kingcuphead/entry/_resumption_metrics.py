"""Prometheus metrics of streams that callers resume."""

from kingcuphead.entry._instruments import Counter, Gauge, Registry
from kingcuphead.resumption import OriginSource, ResumptionExchange


class ResumptionMetrics:
    """Counts how the origins of streams became known, and shows what was saved.

    Parameters
    ----------
    registry
        Receives the metrics.
    """

    def __init__(self, registry: Registry) -> None:
        self._searches = Counter(
            "kingcuphead_stream_origins",
            "Streams that callers took up, by how their software version was found.",
            ("source",),
            registry=registry,
        )
        self._unsaved = Gauge(
            "kingcuphead_unsaved_origins",
            "Streams whose origins should be in the store and may not be.",
            registry=registry,
        )
        self._saved = Gauge(
            "kingcuphead_saved_origins",
            "Streams whose origins were written to the store since the start.",
            registry=registry,
        )

    def observe(self, resumption: ResumptionExchange) -> None:
        """Follow the searches and the writes of a daemon."""
        resumption.report_search = self._record_search
        self._unsaved.set_function(lambda: resumption.origins.unsaved_count)
        self._saved.set_function(lambda: resumption.origins.written_count)

    def _record_search(self, source: OriginSource) -> None:
        self._searches.labels(source.value).inc()

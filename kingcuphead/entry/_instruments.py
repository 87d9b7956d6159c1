"""Counters, gauges and histograms that need `prometheus_client` only for a scrape.

The library imports HTTP servers and clients, which takes a tenth of the processor time
of a daemon's start. Here values are recorded; the library renders them.
"""

import bisect
import dataclasses
import itertools
import time
from collections.abc import Callable, Iterator
from typing import Any, Generic, TypeVar

#: Media type of `Registry.render`.
CONTENT_TYPE = "text/plain; version=1.0.0; charset=utf-8"


@dataclasses.dataclass(slots=True)
class CounterSeries:
    """A total that only rises."""

    #: Unix time of its creation.
    created: float = dataclasses.field(default_factory=time.time)
    #: The total.
    value: float = 0.0

    def inc(self, amount: float = 1) -> None:
        """Add an amount."""
        self.value += amount


@dataclasses.dataclass(slots=True)
class GaugeSeries:
    """A value that rises and falls."""

    #: Returns the value.
    read: Callable[[], float] = float

    def set(self, value: float) -> None:
        """Replace the value."""
        self.read = lambda: value

    def set_function(self, read: Callable[[], float]) -> None:
        """Call a function for the value whenever it is scraped."""
        self.read = read


@dataclasses.dataclass(slots=True)
class HistogramSeries:
    """Counts of observed values by upper bound."""

    #: Upper bounds of the buckets; the last is infinite.
    bounds: tuple[float, ...]
    #: Values in each bucket alone.
    counts: list[int]
    #: Unix time of its creation.
    created: float = dataclasses.field(default_factory=time.time)
    #: Sum of all values.
    sum: float = 0.0

    def observe(self, value: float) -> None:
        """Count a value."""
        self.counts[bisect.bisect_left(self.bounds, value)] += 1
        self.sum += value


def load_library() -> None:
    """Import the library; call this in a thread, lest it block the event loop."""
    import prometheus_client  # noqa: F401


S = TypeVar("S", CounterSeries, GaugeSeries, HistogramSeries)


class _Family(Generic[S]):
    """A metric with its series, by the values of their labels."""

    #: Type in the Prometheus text format.
    kind: str

    def __init__(
        self,
        name: str,
        documentation: str,
        labels: tuple[str, ...] = (),
        *,
        registry: "Registry",
    ) -> None:
        self.name = name
        self.documentation = documentation
        self.label_names = labels
        self.series: dict[tuple[str, ...], S] = {}
        registry.families.append(self)
        if not labels:
            self.labels()

    def labels(self, *values: object) -> S:
        """Return the series of these label values, creating it if needed."""
        key = tuple(map(str, values))
        series = self.series.get(key)
        if series is None:
            series = self.series[key] = self._make_series()
        return series

    def _make_series(self) -> S:
        raise NotImplementedError


class Counter(_Family[CounterSeries]):
    """A total, or one for each combination of label values."""

    kind = "counter"

    def inc(self, amount: float = 1) -> None:
        """Add an amount to the series without labels."""
        self.labels().inc(amount)

    def _make_series(self) -> CounterSeries:
        return CounterSeries()


class Gauge(_Family[GaugeSeries]):
    """A value, or one for each combination of label values."""

    kind = "gauge"

    def set(self, value: float) -> None:
        """Replace the value of the series without labels."""
        self.labels().set(value)

    def set_function(self, read: Callable[[], float]) -> None:
        """Call a function for the value of the series without labels."""
        self.labels().set_function(read)

    def _make_series(self) -> GaugeSeries:
        return GaugeSeries()


class Histogram(_Family[HistogramSeries]):
    """A distribution, or one for each combination of label values."""

    kind = "histogram"

    def __init__(
        self,
        name: str,
        documentation: str,
        labels: tuple[str, ...] = (),
        *,
        buckets: tuple[float, ...],
        registry: "Registry",
    ) -> None:
        self._bounds = (*buckets, float("inf"))
        super().__init__(name, documentation, labels, registry=registry)

    def observe(self, value: float) -> None:
        """Count a value in the series without labels."""
        self.labels().observe(value)

    def _make_series(self) -> HistogramSeries:
        return HistogramSeries(self._bounds, [0] * len(self._bounds))


class Registry:
    """All metrics of a daemon."""

    def __init__(self) -> None:
        #: The metrics in the order of their creation.
        self.families: list[_Family[Any]] = []

    def render(self) -> bytes:
        """Return all series in the Prometheus text format; see `load_library`."""
        import prometheus_client

        return prometheus_client.generate_latest(self)

    def collect(self) -> Iterator[Any]:
        """Yield the metrics as those of `prometheus_client`."""
        import prometheus_client

        for family in self.families:
            metric = prometheus_client.Metric(
                family.name, family.documentation, family.kind
            )
            for values, series in tuple(family.series.items()):
                labels = dict(zip(family.label_names, values, strict=True))
                for suffix, added, value in _list_samples(series):
                    metric.add_sample(family.name + suffix, labels | added, value)
            yield metric


def _list_samples(
    series: CounterSeries | GaugeSeries | HistogramSeries,
) -> Iterator[tuple[str, dict[str, str], float]]:
    """Yield the suffix, the added labels and the value of each sample."""
    match series:
        case CounterSeries(created, value):
            yield "_total", {}, value
            yield "_created", {}, created
        case GaugeSeries(read):
            yield "", {}, read()
        case HistogramSeries(bounds, counts, created, total):
            sums = itertools.accumulate(counts)
            for bound, count in zip(bounds, sums, strict=True):
                text = "+Inf" if bound == float("inf") else repr(bound)
                yield "_bucket", {"le": text}, count
            yield "_count", {}, sum(counts)
            yield "_sum", {}, total
            yield "_created", {}, created

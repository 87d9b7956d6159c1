import re

import prometheus_client
import pytest

from kingcuphead.entry import _instruments

BUCKETS = (0.01, 0.5, 1.0, 15.0)


def record(library, registry):
    """Record the same values with the library or with the instruments."""
    options = {"registry": registry}
    counter = library.Counter("a_requests", "Requests.", ("x", "y"), **options)
    counter.labels("1", 'q"\\\n').inc()
    counter.labels(1, "").inc(2.5)
    library.Counter("a_plain", "Plain.", **options).inc(3)
    gauge = library.Gauge("a_load", "Load.", ("resource",), **options)
    gauge.labels("link").set(0.25)
    gauge.labels("link").set(0.5)
    library.Gauge("a_unset", "Not set.", **options)
    library.Gauge("a_read", "Read.", **options).set_function(lambda: 7)
    histogram = library.Histogram(
        "a_seconds", "Seconds.", ("x",), buckets=BUCKETS, **options
    )
    for value in (0.0, 0.01, 0.2, 0.5, 0.51, 15.0, 99.0):
        histogram.labels("h").observe(value)
    library.Histogram("a_wait", "Wait.", buckets=BUCKETS, **options)


def mask_times(text):
    """Return the text without the times at which series were created."""
    return re.sub(rb"(_created(?:\{.*\})? ).*", rb"\1time", text)


class TestInstruments:
    """Guards against a difference from what the library itself would expose."""

    @pytest.fixture
    def rendered(self):
        registry = _instruments.Registry()
        record(_instruments, registry)
        return registry.render()

    def test_a_scrape_is_the_same_as_with_the_library(self, rendered):
        registry = prometheus_client.CollectorRegistry()
        record(prometheus_client, registry)
        expected = prometheus_client.generate_latest(registry)
        assert mask_times(rendered) == mask_times(expected)

    def test_the_media_type_is_the_same_as_with_the_library(self):
        assert _instruments.CONTENT_TYPE == prometheus_client.CONTENT_TYPE_LATEST

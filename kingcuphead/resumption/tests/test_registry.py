import pytest

from kingcuphead.resumption import (
    STREAM_LIFETIME,
    BegunStream,
    ServedVersion,
    StreamRegistry,
    VersionHistory,
)
from kingcuphead.resumption._registry import MAX_STREAMS

V1, V2 = ServedVersion("pool", "v1"), ServedVersion("pool", "v2")
OTHER = ServedVersion("other", "v2")


class TestStreamRegistry:
    def test_a_stream_is_known_for_its_lifetime(self):
        registry = StreamRegistry()
        registry.record(BegunStream("r1", "pool", "v1"), 0.0)
        registry.expire(STREAM_LIFETIME - 0.1)
        assert registry.find("r1") is not None
        registry.expire(STREAM_LIFETIME)
        assert registry.find("r1") is None

    def test_the_first_record_of_a_stream_holds(self):
        registry = StreamRegistry()
        registry.record(BegunStream("r1", "pool", "v1"), 0.0)
        registry.record(BegunStream("r1", "pool", "v2"), 1.0)
        assert registry.find("r1") == BegunStream("r1", "pool", "v1")

    def test_the_number_of_streams_is_bounded(self):
        registry = StreamRegistry()
        for number in range(MAX_STREAMS + 1):
            registry.record(BegunStream(f"r{number}", "pool", "v1"), 0.0)
        assert registry.find("r0") is None
        assert registry.find(f"r{MAX_STREAMS}") is not None


class TestVersionHistory:
    @pytest.mark.parametrize(
        ("observed", "services", "expected"),
        [
            ([V1], ["pool"], "v1"),
            ([V1, OTHER], ["pool"], "v1"),
            ([V1, OTHER], ["pool", "other"], None),
            ([V2, OTHER], ["pool", "other"], "v2"),
            ([V1, V2], ["pool"], None),
            ([], ["pool"], None),
        ],
    )
    def test_the_only_version_of_some_services(self, observed, services, expected):
        history = VersionHistory()
        history.observe(observed, 0.0)
        assert history.find_only_version(services, 1.0) == expected

    def test_a_version_that_is_gone_counts_for_the_lifetime_of_its_streams(self):
        history = VersionHistory()
        history.observe([V1], 0.0)
        history.observe([V2], 1.0)
        assert history.find_only_version(["pool"], STREAM_LIFETIME) is None
        history.observe([V2], STREAM_LIFETIME)
        assert history.find_only_version(["pool"], STREAM_LIFETIME + 0.1) == "v2"

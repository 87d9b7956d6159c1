import pytest
from prometheus_client.parser import text_string_to_metric_families

from kingcuphead.metrics import (
    DaemonState,
    Metrics,
    MetricsSettings,
    RequestMeasured,
    StreamTimes,
    TokenClock,
)
from kingcuphead.verdict import Execution, Reason, Verdict

REFUSED = Verdict(Execution.NOT_RUN, Reason.QUEUE_FULL, "full")


class Scrape:
    """Samples of one scrape by metric name and label values."""

    def __init__(self, metrics):
        families = text_string_to_metric_families(metrics.render().decode())
        self.samples = {
            (sample.name, frozenset(sample.labels.values())): sample.value
            for family in families
            for sample in family.samples
        }

    def get(self, name, *labels):
        return self.samples.get((name, frozenset(labels)))

    def select(self, metric_name):
        return {
            labels: value
            for (name, labels), value in self.samples.items()
            if name == metric_name
        }


class TestMetrics:
    def test_complete_answer(self):
        metrics = Metrics()
        stream = StreamTimes(0.04, 0.02, 0.3)
        metrics.record_request(
            RequestMeasured("atlas", "review", None, (("hold", 0.002),), stream, 9, 70)
        )
        values = Scrape(metrics)
        assert values.get("kingcuphead_requests_total", "answered", "") == 1
        assert (
            values.get("kingcuphead_billed_tokens_total", "atlas", "completion") == 70
        )
        for label, name in (("class", "review"), ("organisation", "atlas")):
            prefix = f"kingcuphead_{label}"
            assert (
                values.get(f"{prefix}_phase_seconds_bucket", name, "hold", "0.005") == 1
            )
            assert values.get(f"{prefix}_first_token_seconds_sum", name) == 0.04
            assert values.get(f"{prefix}_token_gap_seconds_sum", name) == 0.02
        phases = "kingcuphead_class_phase_seconds_bucket"
        assert values.get(phases, "review", "hold", "0.001") == 0
        longest = "kingcuphead_class_longest_token_gap_seconds_sum"
        assert values.get(longest, "review") == 0.3

    def test_refused_requests(self):
        metrics = Metrics()
        metrics.record_request(RequestMeasured("atlas", "review", REFUSED))
        metrics.record_request(RequestMeasured("", "", REFUSED))
        values = Scrape(metrics)
        assert values.get("kingcuphead_requests_total", "not_run", "queue_full") == 2
        requests = "kingcuphead_organisation_requests_total"
        assert values.get(requests, "atlas", "not_run") == 1
        assert values.get(requests, "none", "not_run") == 1

    def test_series_are_bounded(self):
        metrics = Metrics(MetricsSettings(organisations=3))
        for number in range(50):
            metrics.record_request(RequestMeasured(f"o{number}", "c", None))
        metrics.record_request(RequestMeasured("o0", "c", None))
        values = Scrape(metrics)
        requests = "kingcuphead_organisation_requests_total"
        counts = values.select(requests)
        expected = {"o0": 2, "o1": 1, "o2": 1, "other": 47}
        assert counts == {
            frozenset({name, "answered"}): n for name, n in expected.items()
        }

    def test_new_state_replaces_the_previous_one(self):
        metrics = Metrics()
        metrics.set_state(DaemonState(3, {"review": 2}, 10, 20, 7, True))
        metrics.set_state(DaemonState(1, {"dealer": 5}, 11, 21, 8, False))
        values = Scrape(metrics)
        assert values.get("kingcuphead_queued_requests", "dealer") == 5
        assert values.get("kingcuphead_queued_requests", "review") is None
        assert values.get("kingcuphead_ready") == 0
        assert values.get("kingcuphead_revision") == 8

    def test_registries_are_independent(self):
        first, second = Metrics(), Metrics()
        first.record_request(RequestMeasured("atlas", "review", None))
        assert Scrape(second).select("kingcuphead_requests_total") == {}


class TestTokenClock:
    @pytest.mark.parametrize(
        ("chunk_times", "expected"),
        [
            ([], None),
            ([1.5], StreamTimes(0.5, None, None)),
            ([1.5, 2.0, 3.5], StreamTimes(0.5, 1.0, 1.5)),
        ],
    )
    def test_get_times(self, chunk_times, expected):
        clock = TokenClock(1.0)
        for now in chunk_times:
            clock.record_chunk(now)
        assert clock.get_times() == expected

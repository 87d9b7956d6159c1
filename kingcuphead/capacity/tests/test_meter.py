import pytest

from kingcuphead.capacity import OwnLoad
from kingcuphead.capacity._median import compute_median
from kingcuphead.capacity._meter import LoadMeter, Sample

#: Capacity of the link in Mbit/s: 625,000 bytes a second each way.
LINK_MBPS = 5.0


def measure(meter, start=0.0, seconds=2.0, busy=0.0, sent=0, received=0, lags=(0.0,)):
    """Return the load after samples every 0.1 s with rates for each second."""
    load = OwnLoad()
    for number in range(round(seconds * 10) + 1):
        passed = number / 10
        load = meter.measure(
            Sample(
                start + passed,
                busy * passed,
                round(sent * passed),
                round(received * passed),
                lags[number % len(lags)],
            )
        )
    return load


class TestLoadMeter:
    @pytest.mark.parametrize(
        ("rates", "expected"),
        [
            ({"sent": 500_000}, OwnLoad(link=0.8)),
            ({"sent": 100_000, "received": 250_000}, OwnLoad(link=0.4)),
            ({"busy": 0.25}, OwnLoad(processor=0.25)),
            # A saturated event loop is full load, however many cores there are.
            ({"busy": 1.0}, OwnLoad(processor=1.0)),
            ({"lags": (0.025,)}, OwnLoad(lag=0.5)),
            ({"lags": (0.2,)}, OwnLoad(lag=1.0)),
            ({"lags": (0.3,) + 9 * (0.0,)}, OwnLoad()),
            ({"lags": (-0.001,)}, OwnLoad()),
        ],
    )
    def test_each_resource_is_measured(self, rates, expected):
        load = measure(LoadMeter(LINK_MBPS), **rates)
        assert load.link == pytest.approx(expected.link, abs=0.01)
        assert load.processor == pytest.approx(expected.processor, abs=0.01)
        assert load.lag == pytest.approx(expected.lag, abs=0.01)

    def test_the_largest_load_counts(self):
        assert OwnLoad(link=0.2, processor=0.9, lag=0.4).peak == 0.9

    def test_a_short_measurement_gives_no_load(self):
        """Guards against a rate computed from a few packets in a few milliseconds."""
        load = measure(LoadMeter(LINK_MBPS), seconds=0.5, sent=10_000_000)
        assert load == OwnLoad()

    def test_load_that_ended_is_forgotten_after_the_window(self):
        meter = LoadMeter(LINK_MBPS)
        measure(meter, sent=600_000)
        for number in range(1, 12):
            load = meter.measure(Sample(2 + number / 10, 0.0, 1_200_000, 0, 0.0))
        assert load.link == 0

    def test_changed_limits_apply_to_the_next_sample(self):
        meter = LoadMeter(LINK_MBPS)
        measure(meter, sent=500_000)
        meter.apply_link(10 * LINK_MBPS)
        load = meter.measure(Sample(2.1, 0.0, 1_050_000, 0, 0.0))
        assert load.link == pytest.approx(0.08, abs=0.01)


class TestMedian:
    @pytest.mark.parametrize(
        ("numbers", "expected"),
        [([3.0], 3.0), ([3.0, 1.0], 2.0), ([9.0, 1.0, 2.0], 2.0), ([4, 1, 3, 2], 2.5)],
    )
    def test_the_middle_is_returned(self, numbers, expected):
        assert compute_median(numbers) == expected

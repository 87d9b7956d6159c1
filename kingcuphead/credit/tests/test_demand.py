import pytest

from kingcuphead.credit._demand import Demand, SpendShare

#: Time constant, in seconds, of the slower average.
PERIOD = 6.0


def record_requests(demand, rate, begin, end, tokens=1_000):
    for number in range(int((end - begin) * rate)):
        demand.record(tokens, begin + number / rate)


class TestDemand:
    """Guards against free credit that lags behind a daemon's requests."""

    @pytest.mark.parametrize("rate", [2.0, 50.0])
    def test_steady_requests_give_their_rate(self, rate):
        demand = Demand(PERIOD)
        record_requests(demand, rate, 0.0, 30.0)
        assert demand.get_rate(30.0) == pytest.approx(rate * 1_000, rel=0.25)

    def test_a_daemon_that_becomes_busy_is_seen_within_two_seconds(self):
        demand = Demand(PERIOD)
        record_requests(demand, 0.5, 0.0, 30.0)
        record_requests(demand, 40.0, 30.0, 32.0)
        assert demand.get_rate(32.0) > 0.7 * 40_000

    def test_few_large_requests_do_not_count_as_a_rise(self):
        demand = Demand(PERIOD)
        record_requests(demand, 0.5, 0.0, 30.0)
        demand.record(12_000, 30.0)
        assert demand.get_rate(30.0) < 1.5 * (500 + 12_000 / PERIOD)

    def test_unspent_tokens_do_not_count(self):
        demand = Demand(PERIOD)
        demand.record(9_000, 1.0)
        demand.record(1_000, 1.0)
        demand.correct(9_000, 1.0, 4.0)
        expected = Demand(PERIOD)
        expected.record(1_000, 1.0)
        assert demand.get_rate(4.0) == pytest.approx(expected.get_rate(4.0))


class TestSpendShare:
    """Guards against equal shares where one daemon has most of the requests."""

    @pytest.mark.parametrize("own, expected", [(0, 0.0), (300, 0.3), (1_000, 1.0)])
    def test_the_share_follows_what_is_recorded_as_spent(self, own, expected):
        share = SpendShare()
        for second in range(30):
            share.record(own * second, 1_000 * second, float(second))
        assert share.get(0.0, 29.0) == pytest.approx(expected)

    def test_the_first_requests_of_an_organisation_give_no_share(self):
        share = SpendShare()
        share.record(0, 0, 0.0)
        share.record(1_000, 1_000, 1.0)
        assert share.get(80_000.0, 1.0) < 0.02

    def test_a_restored_total_is_ignored(self):
        share = SpendShare()
        share.record(0, 0, 0.0)
        share.record(500, 1_000, 1.0)
        share.record(600, 400, 2.0)
        share.record(700, 600, 3.0)
        assert share.get(0.0, 3.0) == pytest.approx(0.5, abs=0.05)

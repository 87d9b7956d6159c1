import pytest

from kingcuphead.admission._concurrency import SETPOINT_LOAD, ConcurrencyLimit
from kingcuphead.dispatch import ServiceLoad

#: Requests that the daemons aim at together for 100 places.
AIMED = SETPOINT_LOAD * 100


def count_allowed(load, yields_to_timely=False):
    """Return how many requests may be in progress, at the next interval."""
    limit = ConcurrencyLimit()
    limit.update(load, 0.0)
    return sum(limit.allows(own, yields_to_timely) for own in range(1_000))


class TestBound:
    def test_a_daemon_alone_may_use_all_places(self):
        load = ServiceLoad(places=100, own=10, others=0, daemons=1)
        assert count_allowed(load) == pytest.approx(AIMED, abs=1)

    def test_one_with_much_demand_gets_what_the_others_leave(self):
        """An equal share for each would leave places unused."""
        load = ServiceLoad(100, own=60, others=12, daemons=4, reported=(4, 4, 4))
        assert count_allowed(load) == pytest.approx(AIMED - 12, abs=1)

    def test_busy_daemons_share_equally_what_is_left(self):
        load = ServiceLoad(100, own=20, others=80, daemons=4, reported=(60, 18, 2))
        assert count_allowed(load) == pytest.approx((AIMED - 2 - 18) / 2, abs=1)

    def test_daemons_that_were_not_heard_of_count_like_the_others(self):
        load = ServiceLoad(100, own=50, others=40, daemons=5, reported=(10, 10))
        assert count_allowed(load) == pytest.approx(AIMED - 40, abs=1)

    def test_daemons_do_not_take_the_last_places_together(self):
        """Each of them sees the same 8 places before the others report theirs."""
        load = ServiceLoad(100, own=42, others=60, daemons=4, reported=(20, 20, 20))
        assert count_allowed(load) == pytest.approx(42 + (AIMED - 102) / 4, abs=1)

    def test_an_overload_by_others_leaves_an_equal_share(self):
        """The others lower theirs as soon as they know."""
        load = ServiceLoad(100, own=0, others=200, daemons=5, reported=(50,) * 4)
        assert count_allowed(load) == pytest.approx(100 / 5, abs=1)

    def test_late_requests_leave_a_part_to_timely_ones(self):
        load = ServiceLoad(places=100, own=10, others=0, daemons=1)
        assert count_allowed(load, yields_to_timely=True) < count_allowed(load)


class TestEqualShare:
    @pytest.mark.parametrize(("own", "has_share"), [(24, False), (25, True)])
    def test_old_reports_are_ignored_below_it(self, own, has_share):
        limit = ConcurrencyLimit()
        limit.update(ServiceLoad(100, own, 120, daemons=4, reported=(40,) * 3), 0.0)
        assert limit.has_equal_share(own) is has_share

    def test_it_is_at_least_one_request(self):
        """There are more daemons than places at a plain service."""
        limit = ConcurrencyLimit()
        limit.update(ServiceLoad(10, 0, 40, daemons=40, reported=(1,) * 39), 0.0)
        assert not limit.has_equal_share(0)
        assert limit.has_equal_share(1)

import pytest

from kingcuphead.permits.tests._simulation import SimulatedFleet

#: Seconds over which requests are counted, and those that may be sent in that time.
WINDOW = 4.0
ALLOWED_RATIO, ALLOWED_EXTRA = 1.5, 5
#: Share of the limit that has to be used when more is asked for.
USED_SHARE = 0.75

SIZES = pytest.mark.parametrize("size", [7, 195])
LIMITS = pytest.mark.parametrize("limit", [1, 2, 10])
SEEDS = pytest.mark.parametrize("seed", range(3))


def check_limit(fleet):
    allowed = ALLOWED_RATIO * WINDOW * fleet.terms.requests_per_second + ALLOWED_EXTRA
    assert fleet.count_most(WINDOW) <= allowed


def check_use(fleet):
    limit = fleet.terms.requests_per_second
    assert fleet.count_last(WINDOW) >= USED_SHARE * WINDOW * limit


@SIZES
@LIMITS
@SEEDS
class TestPermitsOfAFleet:
    """Load that is many times the limit of a target."""

    @pytest.mark.parametrize("is_even", [True, False], ids=["even", "uneven"])
    def test_the_limit_is_kept_and_used(self, size, limit, seed, is_even):
        fleet = SimulatedFleet(size, limit, seed)
        callers = sorted(fleet.listed)
        fleet.run(12, callers if is_even else callers[:1])
        check_limit(fleet)
        check_use(fleet)

    def test_while_the_coordinator_ends_for_good(self, size, limit, seed):
        fleet = SimulatedFleet(size, limit, seed)
        fleet.run(5, sorted(fleet.listed))
        del fleet.daemons[fleet.find_coordinator()]
        fleet.run(12, sorted(fleet.daemons))
        check_limit(fleet)
        check_use(fleet)

    def test_while_daemons_start(self, size, limit, seed):
        fleet = SimulatedFleet(size, limit, seed)
        fleet.run(5, sorted(fleet.listed))
        for number in range(size, size + 4):
            fleet.add(number)
            fleet.run(3, sorted(fleet.listed))
        fleet.run(8, sorted(fleet.listed))
        check_limit(fleet)
        check_use(fleet)

    def test_while_nobody_hears_of_the_others(self, size, limit, seed):
        fleet = SimulatedFleet(size, limit, seed)
        fleet.run(5, sorted(fleet.listed))
        for daemon in fleet.daemons.values():
            daemon.is_cut = True
        fleet.run(10, sorted(fleet.listed))
        for daemon in fleet.daemons.values():
            daemon.is_cut = False
        fleet.run(8, sorted(fleet.listed))
        check_limit(fleet)
        check_use(fleet)

    def test_while_one_daemon_hears_nothing_of_the_others(self, size, limit, seed):
        fleet = SimulatedFleet(size, limit, seed)
        fleet.run(5, sorted(fleet.listed))
        coordinator = fleet.daemons[fleet.find_coordinator()]
        coordinator.is_cut = True
        fleet.run(10, sorted(fleet.listed))
        coordinator.is_cut = False
        fleet.run(8, sorted(fleet.listed))
        check_limit(fleet)
        check_use(fleet)

import dataclasses

import pytest

from kingcuphead.permits.tests._cold_fleet import (
    EVEN_INTERVAL,
    EVEN_REQUESTS,
    TARGET,
    ColdFleet,
)
from kingcuphead.permits.tests._virtual_time import run

SIZE = 69
#: Seconds over which requests are counted, and those that may be sent in that time.
WINDOW = 1.0
ALLOWED_RATIO, ALLOWED_EXTRA = 1.5, 5
#: Share of the limit that has to be used when more is asked for.
USED_SHARE = 0.75

LIMITS = pytest.mark.parametrize("limit", [0.5, 2, 10, 60])
SEEDS = pytest.mark.parametrize("seed", range(2))


def play(limit, seed, scenario):
    """Run a scenario and check that no second has too many requests."""

    async def main():
        fleet = ColdFleet(SIZE, limit, seed)
        await scenario(fleet)
        allowed = ALLOWED_RATIO * WINDOW * limit + ALLOWED_EXTRA
        assert fleet.count_most(WINDOW) <= allowed

    run(main())


@LIMITS
@SEEDS
class TestColdTarget:
    """A cold target fails under the bursts that an idle target attracts."""

    def test_bursts_at_all_daemons(self, limit, seed):
        async def scenario(fleet):
            await fleet.run(12)

        play(limit, seed, scenario)

    def test_an_even_load_uses_the_limit(self, limit, seed):
        async def scenario(fleet):
            await fleet.run(2, EVEN_INTERVAL, EVEN_REQUESTS)
            started_at = fleet.now
            await fleet.run(8, EVEN_INTERVAL, EVEN_REQUESTS)
            seconds = fleet.now - started_at
            used = fleet.count_since(started_at)
            assert used >= int(USED_SHARE * seconds * limit)

        play(limit, seed, scenario)

    def test_while_the_coordinator_dies(self, limit, seed):
        async def scenario(fleet):
            await fleet.run(4)
            fleet.kill(fleet.list_owners()[0])
            died_at = fleet.now
            await fleet.run(12)
            assert fleet.count_since(died_at)

        play(limit, seed, scenario)

    def test_while_daemons_have_died_before_the_target_became_cold(self, limit, seed):
        """The first daemon would wait for their confirmation and grant nothing."""

        async def scenario(fleet):
            fleet.is_cold = False
            await fleet.run(4)
            for daemon in fleet.list_owners()[1:4]:
                fleet.kill(daemon)
            await fleet.run(4)
            fleet.sent_at.clear()
            fleet.is_cold = True
            await fleet.run(2 + 2 / limit)
            assert fleet.sent_at

        play(limit, seed, scenario)

    def test_while_some_daemons_know_an_earlier_incarnation(self, limit, seed):
        """Each incarnation would have an account and owners of its own."""

        async def scenario(fleet):
            restarted = dataclasses.replace(TARGET, started_at_ms=2)
            for daemon in fleet.list_owners()[::2]:
                daemon.target = restarted
            await fleet.run(8)

        play(limit, seed, scenario)

    def test_while_each_zone_is_cut_off_from_the_others(self, limit, seed):
        """Each zone would find a coordinator of its own that grants the whole."""

        async def scenario(fleet):
            await fleet.run(4)
            for number, daemon in enumerate(fleet.list_owners()):
                daemon.group = number % 3
            await fleet.run(10)
            for daemon in fleet.daemons.values():
                daemon.group = 0
            await fleet.run(4)

        play(limit, seed, scenario)

    def test_while_no_daemon_hears_of_another_or_of_the_store(self, limit, seed):
        """Permits that each daemon has saved up would be used at once."""

        async def scenario(fleet):
            await fleet.run(4)
            for number, daemon in enumerate(fleet.daemons.values()):
                daemon.group = number
                daemon.has_store = False
            await fleet.run(10)
            for daemon in fleet.daemons.values():
                daemon.group, daemon.has_store = 0, True
            await fleet.run(4)

        play(limit, seed, scenario)

    def test_while_holders_that_are_cut_off_do_not_know_new_ones(self, limit, seed):
        """A daemon that starts comes first while the previous one uses an old list."""

        async def scenario(fleet):
            await fleet.run(4)
            cut_off = set(fleet.list_owners()[: SIZE // 2])
            for daemon in cut_off:
                daemon.group, daemon.has_store = 1, False
            number = SIZE
            while fleet.list_owners()[0] in cut_off:
                fleet.add(number)
                for daemon in fleet.daemons.values():
                    daemon.poll()
                number += 1
            await fleet.run(12)

        play(limit, seed, scenario)


class TestWarmTarget:
    def test_warm_targets_need_no_question(self):
        """A permit costs a round trip between daemons."""

        async def scenario(fleet):
            fleet.is_cold = False
            await fleet.run(2)
            assert fleet.sent_at
            assert not fleet.queries

        run(scenario_of(scenario))

    def test_a_daemon_without_the_store_learns_that_a_target_is_warm(self):
        """It would else treat all targets as cold during its own loss of the store."""

        async def scenario(fleet):
            fleet.is_cold = False
            for daemon in fleet.list_owners()[3:]:
                daemon.has_store = False
            await fleet.run(4)
            assert len(fleet.sent_at) > 10 * (ALLOWED_RATIO * 4 + ALLOWED_EXTRA)

        run(scenario_of(scenario))


async def scenario_of(scenario):
    await scenario(ColdFleet(SIZE, 1.0, 1))

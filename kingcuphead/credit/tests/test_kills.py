"""Plays fleets of which all daemons are killed at once, three times.

Guards against budgets that the killed daemons leave charged although nobody can spend
them, and against reserves that are reclaimed although they were spent.
"""

import asyncio
import functools

import pytest

from kingcuphead.credit.tests._fleet import SimulatedTimeLoop
from kingcuphead.credit.tests._kills import KilledFleet, LargeRequestFleet

#: Daemons, organisations and requests a second.
FLEETS = [(7, 10, 40.0), (67, 24, 150.0)]
#: Seconds of demand that the budgets cover.
BUDGET_SECONDS = 40.0
#: The same for large requests.
LARGE_BUDGET_SECONDS = 28.0
#: Seconds from the first request to each kill, and to the last request.
KILLS, SECONDS = (7.0, 14.0, 21.0), 27.0
#: Share of a budget that a kill may leave charged and not settled.
MAX_LOST_SHARE = 0.02
#: Calls to the store for each daemon and second.
MAX_CALLS = 20.0


@functools.cache
def play(daemons, organisations, rate):
    with asyncio.Runner(loop_factory=SimulatedTimeLoop) as runner:
        fleet = KilledFleet(daemons, organisations, rate, BUDGET_SECONDS, kills=KILLS)
        runner.run(fleet.run(SECONDS))
    assert len(fleet.losses) == len(KILLS)
    return fleet


@pytest.mark.parametrize("daemons, organisations, rate", FLEETS)
class TestKills:
    def test_a_kill_takes_little_of_each_budget(self, daemons, organisations, rate):
        fleet = play(daemons, organisations, rate)
        lost = {
            (number, name): (loss.total / fleet.budgets[name], loss)
            for number, losses in enumerate(fleet.losses)
            for name, loss in losses.items()
        }
        worst = max(lost, key=lambda key: lost[key][0])
        assert lost[worst][0] <= MAX_LOST_SHARE, (worst, lost[worst], fleet.summary)

    def test_spend_stays_within_each_budget(self, daemons, organisations, rate):
        fleet = play(daemons, organisations, rate)
        for name, limit in fleet.budgets.items():
            assert 0 < fleet.spent[name] <= fleet.store.read_budget(name).charged
            assert fleet.store.read_budget(name).charged <= limit

    def test_what_is_spent_and_settled_adds_up(self, daemons, organisations, rate):
        """Otherwise the shares above would leave something out."""
        fleet = play(daemons, organisations, rate)
        for name in fleet.budgets:
            budget = fleet.store.read_budget(name)
            assert budget.settled <= fleet.spent[name]
            assert all(losses[name].rest >= 0 for losses in fleet.losses)

    def test_calls_to_the_store_are_few(self, daemons, organisations, rate):
        fleet = play(daemons, organisations, rate)
        assert fleet.calls <= MAX_CALLS * daemons * SECONDS


class TestLargeRequests:
    """Guards against budgets that a kill takes though callers got nothing for them."""

    @pytest.mark.parametrize("seed", range(1, 6))
    def test_a_kill_takes_little_beyond_what_callers_got(self, seed):
        with asyncio.Runner(loop_factory=SimulatedTimeLoop) as runner:
            fleet = LargeRequestFleet(
                7, 10, 36.0, LARGE_BUDGET_SECONDS, kills=(14.0,), seed=seed
            )
            runner.run(fleet.run(21.0))
        (losses,) = fleet.losses
        lost = {
            name: ((loss.free + loss.held + loss.rest) / fleet.budgets[name], loss)
            for name, loss in losses.items()
        }
        worst = max(lost, key=lambda name: lost[name][0])
        assert fleet.requests > 300
        assert lost[worst][0] <= MAX_LOST_SHARE, (worst, lost[worst], fleet.summary)
        for name, limit in fleet.budgets.items():
            assert fleet.spent[name] <= fleet.store.read_budget(name).charged <= limit

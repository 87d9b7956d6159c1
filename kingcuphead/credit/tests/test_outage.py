"""Plays outages of the store for a fleet with uneven demand.

Guards against credit that idle daemons keep while a daemon with much demand refuses
requests.
"""

import asyncio

import msgspec
import pytest

from kingcuphead.credit._stamp import StampRow
from kingcuphead.credit.tests._fleet import START_SECONDS, Fleet, SimulatedTimeLoop

#: Organisation whose requests go to few daemons.
NAME = "o0"
#: Share of the budget that may be on its way or in transactions without an outcome.
IN_FLIGHT_SHARE = 0.01


class UnevenFleet(Fleet):
    """A fleet where a share of one organisation's requests goes to one daemon."""

    def __init__(self, hot_share, hot_from, outage, *arguments, **options):
        super().__init__(*arguments, **options)
        self.hot_share = hot_share
        self.hot_from = hot_from
        self.outage = outage
        self.covered = self.refused = self.refused_though_covered = 0
        self.waits = []

    def get_time(self):
        """Return the seconds since the first request."""
        return asyncio.get_running_loop().time() - START_SECONDS

    def is_store_cut(self):
        begin, end = self.outage
        return begin <= self.get_time() < end

    def choose_daemon(self, organisation):
        may_be_hot = organisation == NAME and self.get_time() >= self.hot_from
        is_hot = may_be_hot and self.rng.random() < self.hot_share
        task = self.tasks[0] if is_hot else super().choose_daemon(organisation)
        return RecordingTask(self, task)


class RecordingTask:
    """Records the requests of the organisation that come during the outage."""

    def __init__(self, fleet, task):
        self.fleet = fleet
        self.task = task

    async def hold(self, name, tokens, timeout):
        if name != NAME or not self.fleet.is_store_cut():
            return await self.task.hold(name, tokens, timeout)
        fleet, loop = self.fleet, asyncio.get_running_loop()
        slack = IN_FLIGHT_SHARE * fleet.budgets[name]
        is_covered = fleet.count_transferable(name) >= tokens + slack
        begun_at = loop.time()
        held = await self.task.hold(name, tokens, timeout)
        fleet.covered += is_covered
        fleet.refused += held.is_error()
        fleet.refused_though_covered += is_covered and held.is_error()
        if held.is_ok():
            fleet.waits.append(loop.time() - begun_at)
        return held

    def settle(self, hold, spent):
        self.task.settle(hold, spent)


def play(hot_share, hot_from, outage, seed=1):
    with asyncio.Runner(loop_factory=SimulatedTimeLoop) as runner:
        fleet = UnevenFleet(hot_share, hot_from, outage, 71, 5, 100.0, 80.0, seed=seed)
        runner.run(fleet.run(outage[1]))
    return fleet


class TestOutage:
    @pytest.mark.parametrize(
        "hot_share, hot_from", [(0.0, 0.0), (0.4, 0.0), (0.9, 0.0), (0.9, 8.5)]
    )
    def test_credit_moves_to_the_requests_within_a_tenth_of_a_second(
        self, hot_share, hot_from
    ):
        fleet = play(hot_share, hot_from, outage=(10.0, 16.0))
        assert fleet.covered > 150
        assert fleet.refused_though_covered <= 0.001 * fleet.covered
        assert max(fleet.waits) <= 0.1


class TestStampsAfterAnOutage:
    """Guards against reserves that are lost if the fleet crashes soon after an outage.

    Daemons have released a part of their reserves by then.
    """

    def test_stamps_are_renewed_soon(self):
        with asyncio.Runner(loop_factory=SimulatedTimeLoop) as runner:
            fleet = UnevenFleet(0.9, 0.0, (4.0, 12.0), 71, 24, 150.0, 40.0)
            runner.run(fleet.run(13.5))
            ended_at = (START_SECONDS + 12.0) * 1000
            rows = fleet.store.read("stamps", "").rows
            stamps = [msgspec.json.decode(row.value, type=StampRow) for row in rows]
        assert len(stamps) == 71
        late = [each for each in stamps if each.stamp_ms < ended_at]
        assert not late

import itertools
from collections import Counter

import pytest

from kingcuphead.dispatch import Dispatcher, DispatchSettings, PlacementRequest
from kingcuphead.dispatch.tests._fleet import (
    OBJECTIVE,
    PlayedFleet,
    get_quantile,
    is_small,
    make_prompt,
)


def play(is_contended, per_second=150, is_broadcast=True, **fleet_options):
    settings = DispatchSettings("z", has_contended_engines=is_contended)
    fleet = PlayedFleet(settings, **fleet_options)
    fleet.is_broadcast = is_broadcast
    fleet.offer(5, per_second, make_prompt)
    fleet.run(8)
    return fleet


def make_unshared(tokens):
    """Return a maker of prompts that share nothing."""
    return lambda rng: PlacementRequest("pool", (), tokens, OBJECTIVE)


class TestLongPrompts:
    """Several daemons place long prompts on one engine, and short ones behind them."""

    @pytest.mark.parametrize("loss", [0.1, 0.4])
    @pytest.mark.parametrize("per_second", [150, 250])
    def test_requests_wait_less_for_others(self, per_second, loss):
        """Three seeds together: the slowest of 100 requests of one play vary."""
        delays: dict[bool, list[float]] = {False: [], True: []}
        collisions: Counter[bool] = Counter()
        late: Counter[bool] = Counter()
        for is_contended, seed in itertools.product((False, True), (1, 2, 3)):
            fleet = play(is_contended, per_second, loss=loss, seed=seed)
            delays[is_contended] += fleet.list_delays()
            collisions[is_contended] += fleet.count_collisions()
            waits = fleet.list_waits(is_small)
            late[is_contended] += sum(wait > OBJECTIVE for wait in waits)
        assert collisions[True] < collisions[False]
        assert late[True] <= late[False]
        for share in (0.9, 0.99):
            before, after = (get_quantile(delays[each], share) for each in delays)
            assert after < before

    def test_large_placements_that_all_daemons_hear_of_collide_less(self):
        """Gossip tells 12 of 66 others; the datagrams in the fleet stay below twice."""
        gossip = play(True, is_broadcast=False)
        broadcast = play(True)
        assert broadcast.count_collisions() < gossip.count_collisions()
        assert broadcast.datagrams <= 2 * gossip.datagrams

    def test_daemons_without_any_report_collide_as_often_as_by_chance(self):
        """60 long prompts arrive at 60 daemons within a round trip, for 70 engines."""
        collisions = []
        for seed in range(5):
            settings = DispatchSettings("z", has_contended_engines=True)
            fleet = PlayedFleet(settings, daemons=60, seed=seed, loss=1.0)
            fleet.offer(0.02, 3_000, make_unshared(12_000))
            fleet.run(2)
            collisions.append(fleet.count_collisions() / len(fleet.placed))
        # Expected share when n prompts choose among 70 engines at random: 0.33.
        assert sum(collisions) / len(collisions) <= 0.45


class TestAnnouncing:
    @pytest.mark.parametrize("is_contended", [False, True])
    def test_a_large_placement_is_announced_with_its_target(self, is_contended):
        fleet = PlayedFleet(
            DispatchSettings("z", has_contended_engines=is_contended), daemons=1
        )
        dispatcher: Dispatcher = fleet.daemons[0].dispatcher
        reports: list[None] = []
        loads: list[object] = []
        dispatcher.announce = lambda: reports.append(None)
        dispatcher.announce_placement = loads.append
        for tokens in (1_000, 30_000):
            request = PlacementRequest("pool", (), tokens, OBJECTIVE)
            dispatcher.place(request, fleet.targets, (), 0.0)
        assert (len(reports), len(loads)) == ((0, 1) if is_contended else (1, 0))

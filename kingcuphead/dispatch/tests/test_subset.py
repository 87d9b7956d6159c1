import random
from collections import Counter

import pytest

from kingcuphead.dispatch import DispatchSettings
from kingcuphead.dispatch._subset import EngineSubset
from kingcuphead.dispatch.tests._fleet import (
    PlayedFleet,
    get_quantile,
    is_small,
    make_prompt,
    make_targets,
)

SIZE = 6
TARGETS = make_targets(70)
ADDRESSES = [(f"10.0.0.{number}", 1) for number in range(67)]


def select(own, daemons=ADDRESSES, targets=TARGETS):
    subset = EngineSubset(SIZE)
    subset.apply_daemons(own, [each for each in daemons if each != own])
    return {target.name for target in subset.select(targets)}


class TestEngineSubset:
    def test_each_engine_is_in_equally_many_subsets(self):
        users = Counter(name for own in ADDRESSES for name in select(own))
        assert len(users) == len(TARGETS)
        assert max(users.values()) <= 1.5 * min(users.values())

    def test_subsets_are_small_and_none_is_empty(self):
        sizes = [len(select(own)) for own in ADDRESSES]
        assert sum(sizes) / len(sizes) <= 1.3 * SIZE
        assert min(sizes) >= SIZE / 2

    @pytest.mark.parametrize("known_share", [0.8, 0.5])
    def test_all_engines_are_used_by_daemons_that_know_only_some_of_the_others(
        self, known_share
    ):
        rng = random.Random(1)
        users: Counter[str] = Counter()
        for own in ADDRESSES:
            known = rng.sample(ADDRESSES, round(known_share * len(ADDRESSES)))
            users.update(select(own, known))
        assert len(users) == len(TARGETS)

    @pytest.mark.parametrize(
        "daemons, targets",
        [(ADDRESSES[1:], TARGETS), (ADDRESSES, TARGETS[1:])],
        ids=["daemon", "engine"],
    )
    def test_one_that_leaves_changes_few_subsets(self, daemons, targets):
        changes = entries = 0
        for own in daemons:
            before, after = select(own), select(own, daemons, targets)
            changes += len(before ^ after)
            entries += len(before)
        assert changes <= 0.05 * entries

    @pytest.mark.parametrize("daemons", [0, 1, 12])
    def test_a_small_fleet_uses_all_engines(self, daemons):
        names = select(ADDRESSES[0], ADDRESSES[:daemons])
        assert len(names) == len(TARGETS)


class TestConnections:
    """Many daemons with a few requests each open a connection for nearly each one."""

    @pytest.mark.parametrize("per_second", [30, 150])
    def test_more_requests_find_a_connection_and_none_waits_longer(self, per_second):
        fleets = []
        for is_contended in (False, True):
            settings = DispatchSettings("z", has_contended_engines=is_contended)
            fleet = PlayedFleet(settings)
            fleet.offer(8, per_second, make_prompt)
            fleet.run(11)
            fleets.append(fleet)
        before, after = fleets
        assert after.reuse_share >= 2 * before.reuse_share
        for share in (0.5, 0.9):
            old = get_quantile(before.list_waits(is_small), share)
            new = get_quantile(after.list_waits(is_small), share)
            assert new <= max(1.1 * old, old + 0.005)

import random
from collections import Counter

import pytest

from kingcuphead.dispatch import Dispatcher, DispatchSettings, PlacementRequest
from kingcuphead.loads import LoadsReported, PeerLoads, TargetLoad
from kingcuphead.targets import Availability, Target

TARGETS = [
    Target(f"t{number}", "pool", f"10.0.0.{number}:80", "z", 8, Availability.READY, 1)
    for number in range(4)
]
ENGINE = PlacementRequest("pool", prompt_tokens=1)
PLAIN = PlacementRequest("pool")


def place_in_fleet(reported, request, spreads_load=True, daemons=100):
    """Return how many of many daemons that know the same reports choose each target."""
    loads = PeerLoads()
    report = tuple(
        TargetLoad(target.name, running, 0)
        for target, running in zip(TARGETS, reported, strict=True)
    )
    loads.apply_report(LoadsReported("d", 1, report), 10.0)
    settings = DispatchSettings("z", spreads_load=spreads_load)
    chosen: Counter[str] = Counter()
    for number in range(daemons):
        dispatcher = Dispatcher(settings, loads, random.Random(number))
        placement = dispatcher.place(request, TARGETS, (), 10.0)
        assert placement is not None
        chosen[placement.target.name] += 1
    return [chosen[target.name] for target in TARGETS]


class TestSpread:
    @pytest.mark.parametrize(
        ("reported", "request_"), [((7, 8, 8, 8), ENGINE), ((15, 16, 16, 16), PLAIN)]
    )
    def test_daemons_do_not_choose_the_same_free_place(self, reported, request_):
        """The target would be over-full and the others idle before the next reports."""
        assert max(place_in_fleet(reported, request_)) <= 50
        assert max(place_in_fleet(reported, request_, spreads_load=False)) == 100

    def test_emptier_targets_get_more(self):
        chosen = place_in_fleet((2, 8, 8, 8), ENGINE)
        assert chosen[0] > 2 * max(chosen[1:])

    def test_a_target_far_above_the_others_gets_none(self):
        assert place_in_fleet((6, 6, 6, 14), ENGINE)[3] == 0

    def test_the_cheapest_is_chosen_where_the_service_is_not_busy(self):
        """Spread requests would need more connections to targets."""
        assert place_in_fleet((0, 4, 4, 4), ENGINE) == [100, 0, 0, 0]

    def test_a_dear_target_gets_no_more_because_others_are_full(self):
        """The cost of another zone still counts."""
        loads = PeerLoads()
        report = tuple(TargetLoad(target.name, 7, 0) for target in TARGETS)
        loads.apply_report(LoadsReported("d", 1, report), 10.0)
        settings = DispatchSettings("z", spreads_load=True, zone_cost=0.5)
        away = Target("t9", "pool", "10.0.1.9:80", "y", 8, Availability.READY, 1)
        for number in range(50):
            dispatcher = Dispatcher(settings, loads, random.Random(number))
            placement = dispatcher.place(ENGINE, [*TARGETS, away], (), 10.0)
            assert placement is not None
            assert placement.target is not away

import random

import pytest

from kingcuphead.dispatch import Dispatcher, DispatchSettings, PlacementRequest
from kingcuphead.dispatch.tests._fleet import (
    PlayedFleet,
    get_quantile,
    make_prompt,
    make_targets,
)
from kingcuphead.loads import LoadsReported, PeerLoads, TargetLoad

#: One target in each of four zones.
TARGETS = make_targets(4)
REQUESTS = [
    PlacementRequest("desk", body_bytes=3_000),
    PlacementRequest("pool", (), 2_000, body_bytes=8_000),
]


def place_all(peer_loads, request, is_contended=True):
    """Return the zones of twenty choices of a daemon in zone z0."""
    settings = DispatchSettings("z0", has_contended_engines=is_contended)
    dispatcher = Dispatcher(settings, peer_loads, random.Random(1))
    zones = []
    for _ in range(20):
        placement = dispatcher.place(request, TARGETS, (), 0.0)
        assert placement is not None
        zones.append(placement.target.zone)
        dispatcher.withdraw(placement)
    return zones


@pytest.mark.parametrize("request_", REQUESTS, ids=["plain", "engine"])
class TestZoneCost:
    """Bytes between zones are expensive."""

    def test_an_equal_target_of_the_own_zone_is_preferred(self, request_):
        assert place_all(PeerLoads(), request_).count("z0") >= 15

    def test_a_busy_target_of_the_own_zone_is_not(self, request_):
        peer_loads = PeerLoads()
        load = TargetLoad(TARGETS[0].name, 16, 40_000)
        peer_loads.apply_report(LoadsReported("d2", 1, (load,)), 0.0)
        assert "z0" not in place_all(peer_loads, request_)

    def test_zones_do_not_count_without_the_setting(self, request_):
        assert len(set(place_all(PeerLoads(), request_, is_contended=False))) == 4


class TestZonesOfAFleet:
    def test_fewer_requests_leave_their_zone_and_none_waits_longer(self):
        shares, waits = [], []
        for cost in (0.0, DispatchSettings("z").zone_transfer_cost):
            settings = DispatchSettings(
                "z", has_contended_engines=True, zone_transfer_cost=cost
            )
            fleet = PlayedFleet(settings)
            fleet.offer(8, 150, make_prompt)
            fleet.run(11)
            shares.append(fleet.other_zone_share)
            waits.append(get_quantile(fleet.list_waits(), 0.9))
        assert shares[1] <= 0.9 * shares[0]
        assert waits[1] <= 1.1 * waits[0]

import random

import pytest

from kingcuphead.dispatch import (
    Dispatcher,
    DispatchSettings,
    PlacementRequest,
    SharedPrefix,
)
from kingcuphead.loads import LoadsReported, PeerLoads, TargetLoad
from kingcuphead.targets import Availability, Target

TARGET = Target("t", "pool", "10.0.0.1:80", "z", 4, Availability.READY, 1)
SMALL = PlacementRequest("pool", prompt_tokens=100, objective_ends_at=10.5)
PLAIN = PlacementRequest("pool", objective_ends_at=10.5)
LARGE = PlacementRequest("pool", prompt_tokens=70_000, objective_ends_at=10.5)
SHARED = PlacementRequest(
    "pool", (SharedPrefix("/s", 60_000),), 70_000, objective_ends_at=10.5
)
LATE = PlacementRequest("pool", prompt_tokens=100, objective_ends_at=9.0)
WAITED = PlacementRequest(
    "pool", prompt_tokens=100, objective_ends_at=10.5, waiting_since=9.89
)
NEW = PlacementRequest(
    "pool", prompt_tokens=100, objective_ends_at=10.5, waiting_since=9.95
)


class TestRoom:
    @pytest.mark.parametrize(
        ("request_", "own", "reported", "pending", "has_room"),
        [
            (SMALL, 0, 0, 0, True),
            (SMALL, 2, 1, 0, True),
            (SMALL, 2, 2, 0, False),
            (SMALL, 0, 4, 0, False),
            # 30,000 pending tokens take longer than the rest of the objective.
            (SMALL, 0, 2, 30_000, False),
            (LATE, 0, 2, 30_000, True),
            (LATE, 0, 4, 0, False),
            # Waiting doesn't make a prompt shorter.
            (LARGE, 0, 1, 0, True),
            (SHARED, 0, 0, 0, True),
            # A plain service queues requests itself.
            (PLAIN, 2, 4, 0, True),
            (PLAIN, 4, 4, 0, False),
            # Old reports hold no request back for longer than 0.1 s.
            (NEW, 0, 5, 0, False),
            (WAITED, 0, 5, 0, True),
            (WAITED, 0, 6, 0, False),
            (WAITED, 1, 5, 0, False),
        ],
    )
    def test_room_depends_on_slots_and_expected_wait(
        self, request_, own, reported, pending, has_room
    ):
        loads = PeerLoads()
        load = TargetLoad("t", reported, pending)
        loads.apply_report(LoadsReported("d", 1, (load,)), 10.0)
        dispatcher = Dispatcher(DispatchSettings("z"), loads, random.Random(1))
        for _ in range(own):
            dispatcher.place(PlacementRequest("pool"), [TARGET], (), 10.0)
        assert dispatcher.has_room(request_, [TARGET], 10.0) is has_room

    def test_daemons_that_were_not_heard_of_count_too(self):
        """Reports reach a part of the fleet."""
        loads = PeerLoads()
        report = LoadsReported("d", 1, (TargetLoad("t", 2, 0),))
        loads.apply_report(report, 10.0)
        dispatcher = Dispatcher(DispatchSettings("z"), loads, random.Random(1))
        assert dispatcher.has_room(SMALL, [TARGET], 10.0)
        dispatcher.daemons = 3
        assert not dispatcher.has_room(SMALL, [TARGET], 10.0)

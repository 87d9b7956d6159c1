from types import SimpleNamespace
from typing import Any

import pytest

from kingcuphead.entry._fleet_links import FleetLinks
from kingcuphead.forwarding import TargetStated
from kingcuphead.targets import Availability, Target, TargetDirectory


def make_target(started_at_ms):
    return Target(
        "t1", "pool", "10.0.0.9:1", "z", 4, Availability.READY, started_at_ms, 1
    )


class TestStatements:
    """Guards against a statement that counts for a later process of the same name.

    A daemon that was frozen reads it after the target has restarted, and would send
    nothing to the target any more.
    """

    @pytest.mark.parametrize("started_at_ms", [1, 2])
    def test_it_counts_for_the_process_that_made_it(self, started_at_ms):
        directory = TargetDirectory()
        directory.record_read(0.0)
        target = make_target(started_at_ms)
        list(directory.put(target))
        paused = []
        links: Any = SimpleNamespace(
            _directory=directory,
            permits=SimpleNamespace(
                pause=lambda target, seconds: paused.append(target)
            ),
            report_leaving=lambda target: list(directory.mark_leaving(target)),
        )
        FleetLinks._apply_statement(links, TargetStated("t1", True, 5.0, 1))
        is_same = started_at_ms == 1
        assert bool(directory.list_usable("pool")) is not is_same
        assert bool(paused) is is_same

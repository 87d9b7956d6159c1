"""Plays the load of fleets on a simulated store and counts false refusals.

Guards against budgets that suffice but whose credit lies with daemons that have no use
for it, or can't be reached in time because the daemons' transactions conflict.
"""

import asyncio

import pytest

from kingcuphead.credit.tests._fleet import Fleet, SimulatedTimeLoop


class TestFalseRefusals:
    @pytest.mark.parametrize(
        "daemons, organisations, rate, seconds, is_cut, most",
        [
            (7, 10, 40.0, 30.0, False, 0.001),
            (7, 10, 40.0, 30.0, True, 0.01),
            (62, 24, 150.0, 10.0, False, 0.001),
            (62, 24, 150.0, 10.0, True, 0.01),
        ],
    )
    def test_a_request_that_the_budget_covers_gets_its_credit(
        self, daemons, organisations, rate, seconds, is_cut, most
    ):
        """A cut keeps the daemons from each other, not from the store."""
        with asyncio.Runner(loop_factory=SimulatedTimeLoop) as runner:
            fleet = Fleet(daemons, organisations, rate, 1.5 * seconds, is_cut)
            runner.run(fleet.run(seconds))
        assert fleet.requests > 0.8 * seconds * rate
        assert fleet.false_refusals <= most * fleet.requests

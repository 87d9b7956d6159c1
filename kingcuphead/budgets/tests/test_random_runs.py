import pytest

from kingcuphead.bench._budgets_random import RandomRun


class TestRandomRun:
    @pytest.mark.parametrize("seed", range(1, 5))
    def test_bills_and_credit_stay_consistent_under_faults(self, seed):
        run = RandomRun(seed)
        assert run.run(steps=150).bills

import pytest

from kingcuphead.bench._budgets_random import RandomRun


class TestRandomRun:
    @pytest.mark.parametrize("seed", range(1, 5))
    def test_books_hold_under_every_fault(self, seed):
        run = RandomRun(seed)
        assert run.run(steps=150).bills

import pytest

from kingcuphead.budgets import BudgetState, GrantState, ShardRow
from kingcuphead.budgets._rows import compute_shard, decode_shard, encode
from kingcuphead.invariants import InvariantError


class TestBudgetState:
    @pytest.mark.parametrize(
        ("settled", "amount"), [(60, 41), (101, 1), (0, 0), (-1, 5)]
    )
    def test_rejects_invalid_amounts(self, settled, amount):
        with pytest.raises(InvariantError):
            BudgetState(100, settled, {"a/1": GrantState("a", amount)})

    def test_a_bill_moves_tokens_from_its_grant(self):
        state = BudgetState(100).with_grant("a/1", "a", 100).with_bill("a/1", 30)
        assert (state.settled, state.granted, state.unallocated) == (30, 70, 0)

    def test_rejects_a_bill_beyond_its_grant(self):
        with pytest.raises(InvariantError, match="covered by its grant"):
            BudgetState(100).with_grant("a/1", "a", 10).with_bill("a/1", 11)


class TestShardRow:
    def test_decodes_what_it_encodes(self):
        budget = BudgetState(100).with_grant("a/1", "a", 10)
        row = ShardRow(3).with_budget("b", budget)
        assert decode_shard(encode(row)) == row

    def test_shard_of_a_budget_is_stable(self):
        assert [compute_shard(name, 16) for name in ("a", "b", "c")] == [15, 5, 11]

from kingcuphead.credit._budget import SHARD_COUNT, Budget, Limit, Shard
from kingcuphead.credit._messages import ShardRow


class TestBudgetTotals:
    """Guards against kept totals that outlive the shards that they were added from."""

    def test_a_changed_budget_has_totals_of_its_own(self):
        limit = Limit(24_000, 1)
        empty = Budget()
        assert (empty.charged, empty.exists) == (0, False)
        assert empty.count_unallocated(limit) == 24_000
        row = ShardRow(charged=600, settled=200)
        changed = empty.with_shards({SHARD_COUNT - 1: Shard(row, 5)})
        assert (changed.charged, changed.settled, changed.exists) == (600, 200, True)
        assert changed.count_unallocated(limit) == 23_400
        assert empty.count_unallocated(limit) == 24_000

    def test_the_unallocated_tokens_follow_the_limit(self):
        budget = Budget()
        counts = [budget.count_unallocated(Limit(n, 1)) for n in (24_000, 48_000)]
        assert counts == [24_000, 48_000]

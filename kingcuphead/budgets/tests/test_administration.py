import pytest
from expression import Result

from kingcuphead.bench._budgets_table import MemoryTable
from kingcuphead.budgets import (
    BudgetState,
    GrantState,
    ShardRow,
    ShardVersion,
    build_creation,
    build_reduction,
    build_release,
    build_reports,
    build_shard_key,
    build_topup,
    decode_shard,
    parse_shard,
)
from kingcuphead.storage import (
    Committed,
    Conflict,
    Instance,
    InstanceState,
    Transaction,
)

LIVE = Instance("live", "kingcuphead", "z", "", InstanceState.LIVE)
LEAVING = Instance("leaving", "kingcuphead", "z", "", InstanceState.LEAVING)
TERMINATED = Instance("dead", "kingcuphead", "z", "", InstanceState.TERMINATED)
GRANTS = {"dead/1": GrantState("dead", 30), "live/1": GrantState("live", 20)}
SHARD = ShardVersion(0, ShardRow(0, {"b": BudgetState(100, 40, GRANTS)}), 7)


class TestTopUp:
    def test_repeated_top_up_is_applied_once(self):
        table = MemoryTable()

        def read():
            return parse_shard(0, table.read((build_shard_key(0),)))

        table.commit(build_creation(read(), "b", 100).ok)
        first, second = (build_topup(read(), "b", "t1", 50).ok for _ in range(2))
        assert isinstance(table.commit(first), Committed)
        assert isinstance(table.commit(second), Conflict)
        assert isinstance(table.commit(build_topup(read(), "b", "t1", 50).ok), Conflict)
        assert read().row.budgets["b"].limit == 150


class TestReduction:
    @pytest.mark.parametrize(
        ("limit", "tag"), [(89, "error"), (90, "ok"), (101, "error")]
    )
    def test_limit_covers_settled_and_granted_tokens(self, limit, tag):
        assert build_reduction(SHARD, "b", limit).tag == tag


class TestRelease:
    @pytest.mark.parametrize(
        ("grant_id", "surrendered", "cause"),
        [
            ("live/1", ("live", "leaving"), "not listed as terminated"),
            ("dead/1", ("live",), "no surrender from leaving"),
            ("gone/1", ("live", "leaving"), "is not open"),
        ],
    )
    def test_requires_an_open_grant_a_terminated_holder_and_surrenders(
        self, grant_id, surrendered, cause
    ):
        instances = (LIVE, LEAVING, TERMINATED)
        result = build_release(SHARD, "b", grant_id, instances, surrendered)
        assert cause in result.error.message

    def test_returns_the_grant_to_the_budget(self):
        instances = (LIVE, LEAVING, TERMINATED)
        result = build_release(SHARD, "b", "dead/1", instances, ("live", "leaving"))
        match result:
            case Result(tag="ok", ok=transaction):
                table = MemoryTable()
                table.commit(Transaction((), transaction.writes))
                (row,) = table.read((build_shard_key(0),))
                assert decode_shard(row.value).budgets["b"].unallocated == 40


class TestReport:
    def test_sums_unattributed_grants(self):
        (report,) = build_reports(SHARD.row, (LIVE, TERMINATED))
        assert (report.remaining, report.unattributed) == (10, 30)

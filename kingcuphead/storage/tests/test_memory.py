import pytest

from kingcuphead.storage import (
    ABSENT,
    Check,
    Committed,
    Conflict,
    Delete,
    MemoryTable,
    Put,
    Row,
    Transaction,
)


def make_table(*keys: str) -> MemoryTable:
    table = MemoryTable()
    for key in keys:
        table.commit_now(Transaction((), (Put(key, key.encode()),)))
    return table


class TestMemoryTable:
    def test_version_is_the_commit_number_and_never_reused(self):
        table = make_table("a")
        table.commit_now(Transaction((), (Delete("a"),)))
        assert table.commit_now(Transaction((), (Put("a", b"2"),))) == Committed(3)
        assert table.read_now(["a"]) == (Row("a", 3, b"2"),)

    @pytest.mark.parametrize(
        ("check", "rows"),
        [
            (Check("a", ABSENT), (Row("a", 1, b"a"),)),
            (Check("a", 2), (Row("a", 1, b"a"),)),
            (Check("z", 1), ()),
        ],
    )
    def test_failed_check_writes_nothing(self, check, rows):
        table = make_table("a")
        writes = (Put("b", b"b"), Delete("a"))
        assert table.commit_now(Transaction((check,), writes)) == Conflict(rows)
        assert [row.key for row in table.rows] == ["a"]
        assert table.counts.conflicts == 1

    def test_scan_pages_through_a_prefix_only(self):
        table = make_table("p/3", "q/1", "p/1", "o/9", "p/2")
        first = table.scan_now("p/", limit=2)
        second = table.scan_now("p/", after=first.resume_after, limit=2)
        assert [row.key for row in first.rows] == ["p/1", "p/2"]
        assert [row.key for row in second.rows] == ["p/3"]
        assert second.resume_after is None

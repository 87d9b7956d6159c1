import asyncio
import time
from typing import Any

import pytest
from expression import Ok

from kingcuphead.entry._table_watch import TableWatch
from kingcuphead.entry._view_age import ViewAge
from kingcuphead.platform import Change, Changes
from kingcuphead.storage import RowSnapshot


class IgnoringListener:
    def apply_snapshot(self, rows):
        pass

    def apply_changes(self, changes):
        pass


class ScriptedStore:
    """Answers one snapshot, then polls with given changes after a delay."""

    def __init__(self, changes, delay):
        self._changes = changes
        self._delay = delay
        self.polled_at = []

    async def read_table(self, table):
        return Ok(RowSnapshot((), 1, 1, 0))

    async def follow_table(self, table, version, wait):
        self.polled_at.append(time.monotonic())
        await asyncio.sleep(self._delay)
        return Ok(Changes(self._changes, 2, 1, 100))


class TestViewAge:
    @pytest.mark.parametrize(
        ("changes", "expected"),
        [((), (0.9, 1.0)), ((Change("config", b"2"),), (-0.1, 0.0))],
        ids=["quiet", "changed"],
    )
    def test_a_reply_confirms_no_later_time_than_that_of_its_read(
        self, changes, expected
    ):
        """Guards against a reply that waited in a late process and looks new."""
        confirmed: list[float] = []
        store: Any = ScriptedStore(changes, 1.2)

        async def follow():
            watch = TableWatch(
                store,
                "op",
                IgnoringListener(),
                lambda at: None,
                confirm=confirmed.append,
            )
            task = asyncio.create_task(watch.run())
            await asyncio.sleep(1.5)
            task.cancel()

        asyncio.run(follow())
        earliest, latest = expected
        assert earliest <= confirmed[1] - store.polled_at[0] <= latest

    def test_a_view_is_current_until_a_poll_is_overdue(self):
        """Guards against final refusals by a version that may be an older one."""
        age = ViewAge()
        assert not age.is_current
        age.confirm(time.monotonic() - 1.6)
        assert age.is_current
        age = ViewAge()
        age.confirm(time.monotonic() - 2.1)
        assert not age.is_current

    def test_the_age_counts_from_the_last_confirmation(self):
        """Guards against a late confirmation of an earlier time that hides an age."""
        age = ViewAge()
        assert age.get_age() == float("inf")
        now = time.monotonic()
        age.confirm(now - 1.0)
        age.confirm(now - 3.0)
        assert 1.0 <= age.get_age() < 1.5

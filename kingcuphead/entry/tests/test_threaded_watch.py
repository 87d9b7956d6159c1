import asyncio
import threading
import time
from typing import Any

import pytest
from expression import Ok

from kingcuphead.entry._configuration_watch import PostedListener
from kingcuphead.entry._table_watch import TableWatch
from kingcuphead.entry._threaded_watch import ThreadedWatch
from kingcuphead.platform import Change, Changes
from kingcuphead.storage import Row, RowSnapshot

#: Seconds for which the daemon's event loop is busy.
BUSY_SECONDS = 1.0


class CountingStore:
    """Has a new version every 50 ms."""

    def __init__(self):
        self.version = 1

    async def read_table(self, table):
        return Ok(RowSnapshot((Row("config", 1, b"1"),), 1, 1))

    async def follow_table(self, table, version, wait):
        await asyncio.sleep(0.05)
        self.version = version + 1
        return Ok(Changes((Change("config", b"%d" % self.version),), self.version, 1))


class Versions:
    def __init__(self):
        self.versions = []
        self.threads = set()

    def apply_snapshot(self, rows):
        self.versions += [row.version for row in rows]
        self.threads.add(threading.current_thread())

    def apply_changes(self, changes):
        self.versions += [int(each.value) for each in changes]
        self.threads.add(threading.current_thread())


class TestThreadedWatch:
    def test_it_follows_a_table_while_the_event_loop_is_busy(self):
        """Guards against versions that wait for a late event loop."""
        store: Any = CountingStore()
        early, late = Versions(), Versions()

        class Both:
            def __init__(self, post):
                self._listeners = (PostedListener(post, late), early)

            def apply_snapshot(self, rows):
                for each in self._listeners:
                    each.apply_snapshot(rows)

            def apply_changes(self, changes):
                for each in self._listeners:
                    each.apply_changes(changes)

        async def main():
            watch = ThreadedWatch(
                lambda post, report_read: TableWatch(
                    store, "op", Both(post), print, report_read=report_read
                )
            )
            task = asyncio.create_task(watch.run())
            await watch.has_read.wait()
            known = len(late.versions)
            time.sleep(BUSY_SECONDS)
            assert len(early.versions) >= BUSY_SECONDS / 0.05 / 2
            assert len(late.versions) == known
            await asyncio.sleep(0.02)
            assert late.versions == sorted(late.versions)
            assert len(late.versions) >= BUSY_SECONDS / 0.05 / 2
            assert watch.last_position is not None
            assert watch.last_position.version <= late.versions[-1]
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
            await asyncio.sleep(0.2)
            seen = len(early.versions)
            await asyncio.sleep(0.2)
            assert len(early.versions) == seen

        asyncio.run(main())
        assert late.threads == {threading.current_thread()}
        assert threading.current_thread() not in early.threads

    def test_a_failure_in_the_thread_ends_the_task(self):
        """Guards against a daemon that goes on with an old configuration for good."""

        def fail(post, report_read):
            raise LookupError("no table")

        async def main():
            async with asyncio.timeout(5):
                await ThreadedWatch(fail).run()

        with pytest.raises(LookupError):
            asyncio.run(main())

import asyncio
import json

import pytest
from expression import Error, Ok

from kingcuphead.entry._followers import ConfigurationFollower, TargetFollower
from kingcuphead.entry._following import TableWatch
from kingcuphead.platform import Change, Changes, HistoryLost, Snapshot
from kingcuphead.storage import PlatformFault, Row
from kingcuphead.targets import TargetDirectory


def make_content(version):
    return json.dumps({"version": version}).encode()


class TestConfigurationFollower:
    @pytest.mark.parametrize(
        ("versions", "applied"),
        [([3, 5], [3, 5]), ([5, 3], [5]), ([5, 5], [5]), ([3, 9, 4, 10], [3, 9, 10])],
    )
    def test_a_configuration_never_goes_back(self, versions, applied):
        seen = []
        follower = ConfigurationFollower(lambda each: seen.append(each.version))
        for number, version in enumerate(versions):
            row = Row("config", number + 1, make_content(version))
            if number % 2:
                follower.take_snapshot([row])
            else:
                follower.take_changes([Change("config", row.value)])
        assert seen == applied

    def test_what_can_not_be_read_leaves_the_last_one(self):
        seen = []
        follower = ConfigurationFollower(lambda each: seen.append(each.version))
        follower.take_changes([Change("config", make_content(3))])
        follower.take_changes([Change("config", b"broken"), Change("other", b"")])
        assert seen == [3]


class TestTargetFollower:
    def test_entries_of_other_writers_leave_the_others_alone(self):
        directory = TargetDirectory()
        follower = TargetFollower(directory, lambda change: None)
        entry = {"service": "s", "address": "10.0.0.1:80", "state": "ready"}
        follower.take_changes([Change("t1", json.dumps(entry).encode())])
        follower.take_changes([Change("t2", b"\xff"), Change("t1", b"{}")])
        assert [each.name for each in directory.list_usable("s")] == ["t1"]


class ScriptedStore:
    """Answers with what a test gives, and ends the watch after that."""

    def __init__(self, *replies):
        self.replies = list(replies)
        self.calls = []

    async def read_table(self, table):
        self.calls.append("read")
        return self._take()

    async def follow_table(self, table, version, wait):
        self.calls.append(version)
        return self._take()

    def _take(self):
        if not self.replies:
            raise asyncio.CancelledError
        return self.replies.pop(0)


class TestTableWatch:
    @pytest.mark.parametrize(
        ("replies", "calls"),
        [
            ([Changes((), 8)], ["read", 7, 8]),
            ([Changes((), 3)], ["read", 7, 7]),
            ([HistoryLost(), Snapshot((), 9)], ["read", 7, "read", 9]),
        ],
    )
    def test_changes_are_followed_without_gaps(self, replies, calls):
        store = ScriptedStore(Ok(Snapshot((), 7)), *(Ok(each) for each in replies))
        assert self.run(store) == calls

    def test_the_table_is_read_again_after_a_failed_call(self):
        fault = PlatformFault("follow", "silent")
        store = ScriptedStore(Ok(Snapshot((), 7)), Error(fault), Ok(Snapshot((), 8)))
        failures: list[float] = []
        assert self.run(store, failures) == ["read", 7, "read", 8]
        assert len(failures) == 1

    def run(self, store, failures=None):
        follower = ConfigurationFollower(lambda each: None)
        failures = [] if failures is None else failures
        watch = TableWatch(store, "op", follower, failures.append)
        with pytest.raises(asyncio.CancelledError):
            asyncio.run(watch.run())
        return store.calls

import asyncio
import json
import time

import pytest
from expression import Error, Ok

from kingcuphead.entry._table_listeners import (
    ConfigurationListener,
    EvacuationListener,
    TargetListener,
)
from kingcuphead.entry._table_watch import ListenerGroup, TableWatch
from kingcuphead.platform import Change, Changes, ConfigurationDecoder, HistoryLost
from kingcuphead.storage import PlatformFault, Row, RowSnapshot
from kingcuphead.targets import TargetDirectory, ZoneEvacuated, ZoneReadmitted


def make_content(version):
    return json.dumps({"version": version}).encode()


class TestConfigurationListener:
    @pytest.mark.parametrize(
        ("versions", "applied"),
        [([3, 5], [3, 5]), ([5, 3], [5]), ([5, 5], [5]), ([3, 9, 4, 10], [3, 9, 10])],
    )
    def test_a_lower_or_equal_version_is_ignored(self, versions, applied):
        applied_versions = []
        listener = ConfigurationListener(
            lambda each: applied_versions.append(each.version)
        )
        for number, version in enumerate(versions):
            row = Row("config", number + 1, make_content(version))
            if number % 2:
                listener.apply_snapshot([row])
            else:
                listener.apply_changes([Change("config", row.value)])
        assert applied_versions == applied

    def test_undecodable_contents_leave_the_last_version_in_force(self):
        applied_versions = []
        listener = ConfigurationListener(
            lambda each: applied_versions.append(each.version)
        )
        listener.apply_changes([Change("config", make_content(3))])
        listener.apply_changes([Change("config", b"broken"), Change("other", b"")])
        assert applied_versions == [3]

    def test_a_row_that_has_not_changed_is_not_decoded_again(self, monkeypatch):
        """Guards against the cost of snapshots while calls to the store fail."""
        decoded = []
        decode = ConfigurationDecoder.decode

        def record(decoder, content):
            decoded.append(content)
            return decode(decoder, content)

        monkeypatch.setattr(ConfigurationDecoder, "decode", record)
        listener = ConfigurationListener(lambda each: None)
        for number in range(3):
            listener.apply_snapshot([Row("config", number, make_content(3))])
        assert decoded == [make_content(3)]


ENTRY = json.dumps(
    {
        "service": "s",
        "address": "10.0.0.1:80",
        "zone": "z",
        "version": "v1",
        "slots": 4,
        "state": "ready",
        "sequence": 1,
    }
).encode()


class TestTargetListener:
    def test_undecodable_entries_leave_the_targets_unchanged(self):
        directory = TargetDirectory()
        listener = TargetListener(directory, lambda change: None)
        listener.apply_changes([Change("t1", ENTRY)])
        listener.apply_changes([Change("t2", b"\xff"), Change("t1", b"{}")])
        assert [each.name for each in directory.list_usable("s")] == ["t1"]

    def test_a_target_is_dropped_when_its_time_is_up_not_at_the_next_sweep(self):
        """Guards against requests to it after the daemon is bound by its removal."""

        async def play():
            directory = TargetDirectory()
            listener = TargetListener(directory, lambda change: None)
            listener.apply_changes([Change("t1", ENTRY)])
            directory.record_store_failure(time.monotonic() - 2.9)
            listener.apply_changes([Change("t1", None)])
            assert directory.list_usable("s")
            await asyncio.sleep(0.15)
            assert directory.list_usable("s") == ()

        asyncio.run(play())


class TestEvacuationListener:
    """A zone stays evacuated exactly as long as its row exists."""

    @pytest.fixture
    def changes(self):
        return []

    @pytest.fixture
    def listener(self, changes):
        return EvacuationListener(TargetDirectory(), changes.append)

    def test_rows_are_added_and_removed(self, listener, changes):
        evacuated, readmitted = ZoneEvacuated("a", ()), ZoneReadmitted("a", ())
        listener.apply_changes([Change("evacuate/a", b"{}"), Change("config", b"")])
        assert changes == [evacuated]
        listener.apply_changes([Change("evacuate/a", b"again")])
        assert changes == [evacuated]
        listener.apply_changes([Change("evacuate/a", None), Change("config", None)])
        assert changes == [evacuated, readmitted]

    def test_a_snapshot_brings_changes_that_were_missed(self, listener, changes):
        listener.apply_changes([Change("evacuate/a", b"")])
        changes.clear()
        listener.apply_snapshot([Row("config", 1, b""), Row("evacuate/b", 2, b"")])
        assert changes == [ZoneReadmitted("a", ()), ZoneEvacuated("b", ())]

    def test_the_configuration_is_read_beside_evacuations(self, listener, changes):
        versions = []
        group = ListenerGroup(
            (
                listener,
                ConfigurationListener(lambda each: versions.append(len(changes))),
            )
        )
        group.apply_snapshot(
            iter([Row("config", 1, make_content(1)), Row("evacuate/a", 2, b"")])
        )
        assert versions == [1]


class ScriptedStore:
    """Returns the given replies in order, then cancels the watch."""

    def __init__(self, *replies):
        self.replies = list(replies)
        self.calls = []

    async def read_table(self, table):
        self.calls.append("read")
        return self._pop_reply()

    async def follow_table(self, table, version, wait, report_begin=None):
        self.calls.append(version)
        return self._pop_reply()

    def _pop_reply(self):
        if not self.replies:
            raise asyncio.CancelledError
        return self.replies.pop(0)


class TestTableWatch:
    @pytest.mark.parametrize(
        ("replies", "calls"),
        [
            ([Changes((), 8)], ["read", 7, 8]),
            ([Changes((), 3)], ["read", 7, 7]),
            ([HistoryLost(), RowSnapshot((), 9)], ["read", 7, "read", 9]),
        ],
    )
    def test_each_poll_starts_at_the_latest_version(self, replies, calls):
        store = ScriptedStore(Ok(RowSnapshot((), 7)), *(Ok(each) for each in replies))
        assert self.run(store) == calls

    def test_the_table_is_read_again_after_a_failed_call(self):
        fault = PlatformFault("follow", "silent")
        store = ScriptedStore(
            Ok(RowSnapshot((), 7)), Error(fault), Ok(RowSnapshot((), 8))
        )
        failures: list[float] = []
        assert self.run(store, failures) == ["read", 7, "read", 8]
        assert len(failures) == 1

    def test_changes_of_a_new_era_are_dropped_and_the_table_is_read_again(self):
        """The store was restored: its versions are unrelated to the position."""
        store = ScriptedStore(
            Ok(RowSnapshot((), 7, era=1)),
            Ok(Changes((Change("config", make_content(9)),), 8, era=2)),
            Ok(RowSnapshot((), 5, era=2)),
            Ok(Changes((), 6, era=2)),
        )
        applied: list[object] = []
        assert self.run(store, applied=applied) == ["read", 7, "read", 5, 6]
        assert applied == []

    def run(self, store, failures=None, applied=None):
        applied = [] if applied is None else applied
        listener = ConfigurationListener(applied.append)
        failures = [] if failures is None else failures
        watch = TableWatch(store, "op", listener, failures.append)
        with pytest.raises(asyncio.CancelledError):
            asyncio.run(watch.run())
        return store.calls

import asyncio

import pytest
from expression import Ok

from kingcuphead.entry._poll_pacing import (
    PacingBounds,
    PollPacing,
    bound_configuration_polls,
    bound_target_polls,
)
from kingcuphead.entry._table_watch import TableWatch
from kingcuphead.entry._watch_policy import WatchPolicy
from kingcuphead.platform import Change, Changes, parse_profile
from kingcuphead.storage import Row, RowSnapshot

WATCH = "kingcuphead.entry._table_watch"
PROFILE = (
    "node=n\nzone=z\nip=127.0.0.1\nlisten.front=127.0.0.1:1\n"
    "listen.ready=127.0.0.1:2\nplatform.address=127.0.0.1:3\n"
)


def make_profile(link):
    return parse_profile(PROFILE + (f"limits.link_mbps={link}\n" if link else "")).ok


class TestBounds:
    @pytest.mark.parametrize(
        ("link", "delay"), [("", 0), ("5", 0.4), ("10", 0.2), ("4", 0.5), ("201", 0)]
    )
    def test_a_stated_narrow_link_spaces_configurations(self, link, delay):
        """Guards against versions of 25 KB that fill half of a link."""
        bounds = bound_configuration_polls(make_profile(link))
        assert bounds.compute_delay(25_000) == pytest.approx(delay)

    @pytest.mark.parametrize(
        ("link", "targets", "delay"),
        [("", 500, 0), ("", 501, 0.5), ("5", 500, 0.016), ("1000", 501, 0.5)],
    )
    def test_heartbeats_of_many_targets_are_collected(self, link, targets, delay):
        """Guards against a poll for each of thousands of heartbeats a second."""
        bounds = bound_target_polls(make_profile(link), targets)
        assert bounds.compute_delay(1_000) == pytest.approx(delay)


class VersionStore:
    """Writes a row of a fixed size at given times; time passes only in calls.

    Parameters
    ----------
    times
        Seconds at which versions are written, in order.
    keeps_all
        Whether the feed contains replaced versions, too.
    """

    SIZE = 25_000

    def __init__(self, times, keeps_all):
        self.times, self.keeps_all = times, keeps_all
        self.now = 0.0
        self.calls = self.bytes = 0
        #: Seconds from each version's write to its arrival or that of a later one.
        self.ages = {}

    async def sleep(self, seconds):
        self.now += seconds

    def apply_snapshot(self, rows):
        self._record(row.version for row in rows)

    def apply_changes(self, changes):
        self._record(int(change.value) for change in changes)

    def _record(self, versions):
        for version in range(1, max(versions, default=0) + 1):
            self.ages.setdefault(version, self.now - self.times[version - 1])

    async def read_table(self, table):
        self._count()
        newest = self._get_newest()
        rows = (Row("config", newest, b""),) if newest else ()
        size = self.SIZE if newest else 0
        self.bytes += size
        return Ok(RowSnapshot(rows, newest, 0, size))

    async def follow_table(self, table, version, wait, report_begin=None):
        self._count()
        if self._get_newest() == version:
            due = self.times[version] if version < len(self.times) else float("inf")
            self.now = min(self.now + wait, max(self.now, due))
        newest = self._get_newest()
        first = version if self.keeps_all else max(version, newest - 1)
        versions = range(first + 1, newest + 1)
        changes = tuple(Change("config", str(each).encode()) for each in versions)
        size = self.SIZE * len(changes)
        self.bytes += size
        return Ok(Changes(changes, newest, 0, size))

    def _get_newest(self):
        return sum(each <= self.now for each in self.times)

    def _count(self):
        self.calls += 1
        self.now += 0.004
        if self.now > 20:
            raise asyncio.CancelledError


class TestSpacing:
    """Versions come 5.6 times a second for 10 s, and once after a pause of 5 s."""

    TIMES = tuple(1 + number / 5.6 for number in range(56)) + (16.0,)

    def play(self, monkeypatch, bounds, keeps_all):
        store = VersionStore(self.TIMES, keeps_all)
        monkeypatch.setattr(WATCH + ".time.monotonic", lambda: store.now)
        monkeypatch.setattr(WATCH + ".asyncio.sleep", store.sleep)
        self.follow(store, bounds)
        return store

    def follow(self, store, bounds):
        pacing = PollPacing(lambda: bounds)
        policy = WatchPolicy(prefers_rows=True)
        watch = TableWatch(store, "op", store, print, pacing, policy)
        with pytest.raises(asyncio.CancelledError):
            asyncio.run(watch.run())

    @pytest.mark.parametrize("keeps_all", [False, True])
    def test_versions_take_a_tenth_of_the_link(self, monkeypatch, keeps_all):
        """Guards against versions that fill the link, whatever the feed contains."""
        bounds = bound_configuration_polls(make_profile("5"))
        before = self.play(monkeypatch, PacingBounds(), keeps_all)
        after = self.play(monkeypatch, bounds, keeps_all)
        assert before.bytes == 57 * VersionStore.SIZE
        # A tenth of 5 Mbit/s for 10 s, the first version, the one alone, and one more
        # in a reply whose delay is at its maximum.
        assert after.bytes <= 10 * 62_500 + 3 * VersionStore.SIZE
        assert after.calls < before.calls
        assert max(after.ages.values()) <= 0.5
        assert len(after.ages) == len(self.TIMES)

    def test_a_version_after_a_quiet_time_arrives_at_once(self, monkeypatch):
        """Guards against a delay of single versions, which need no spacing."""
        store = self.play(monkeypatch, PacingBounds(min_delay=0.5), False)
        assert store.ages[1] <= 0.01
        assert store.ages[57] <= 0.01

import asyncio
import random
import types
from typing import Any

import pytest
from expression import Error, Ok

from kingcuphead.entry._peers import PeerDiscovery
from kingcuphead.entry._store_watches import CONFIGURATION_POLICY, StoreWatches
from kingcuphead.entry._table_watch import TableWatch
from kingcuphead.entry._view_age import ViewAge
from kingcuphead.entry._watch_policy import RetryDelays, WatchPolicy
from kingcuphead.entry.tests._fleet import make_profile
from kingcuphead.permits.tests._virtual_time import run
from kingcuphead.platform import Change, Changes
from kingcuphead.storage import Committed, PlatformFault, Put, Row, RowSnapshot

PROFILE = make_profile(1, 3)
REFUSED = PlatformFault("follow", "HTTP 429")


def get_time():
    return asyncio.get_running_loop().time()


class SlowStore:
    """Writes version 2 while the first poll, which is lost, waits for changes.

    Parameters
    ----------
    delay
        Seconds that each answer takes.
    """

    def __init__(self, delay):
        self.delay = delay
        self.polls = 0
        self.written_at = float("inf")
        self.applied_at = {}

    def apply_snapshot(self, rows):
        for row in rows:
            self.applied_at.setdefault(row.version, get_time())

    def apply_changes(self, changes):
        for change in changes:
            self.applied_at.setdefault(int(change.value), get_time())

    def get_newest(self):
        return 2 if get_time() >= self.written_at else 1

    async def read_table(self, table):
        await asyncio.sleep(self.delay)
        return Ok(RowSnapshot((Row("config", self.get_newest(), b""),), 9))

    async def follow_table(self, table, version, wait, report_begin=None):
        self.polls += 1
        if self.polls == 1:
            self.written_at = get_time() + 0.01
            await asyncio.sleep(wait + 1.0)
            return Error(PlatformFault("follow", "TimeoutError"))
        await asyncio.sleep(self.delay)
        change = Change("config", str(self.get_newest()).encode())
        return Ok(Changes((change,), 9))


class TestBrokenConnection:
    @pytest.mark.parametrize("delay", [0.004, 1.0])
    def test_a_version_is_in_force_within_three_seconds(self, delay):
        """Guards against a poll whose connection broke, beside a slow store."""
        store = SlowStore(delay)
        run(self.follow(store))
        assert store.applied_at[2] - store.written_at <= 3.0

    async def follow(self, store):
        watch = TableWatch(store, "op", store, print, policy=CONFIGURATION_POLICY)
        task = asyncio.create_task(watch.run())
        await asyncio.sleep(8.0)
        task.cancel()


class FleetStore:
    """A store whose calls of a second are limited, and that refuses those beyond.

    Version 2 of the configuration is written at 0.5 s; entries of targets change all
    the time.
    """

    #: Calls a second, for a fleet of 300 whose daemons poll three times a second.
    LIMIT = 1_500
    TARGETS, PAGE = 3_000, 500

    def __init__(self):
        self.calls = {}
        self.reads = {"op": 0, "servers": 0}
        self.order = []

    def get_newest(self):
        return 2 if get_time() >= 0.5 else 1

    def is_refused(self):
        second = int(get_time())
        self.calls[second] = self.calls.get(second, 0) + 1
        return self.calls[second] > self.LIMIT

    async def read_table(self, table):
        self.order.append(table)
        pages = self.TARGETS // self.PAGE if table == "servers" else 1
        for _ in range(pages):
            await asyncio.sleep(0.004)
            if self.is_refused():
                return Error(REFUSED)
        self.reads[table] += 1
        return Ok(RowSnapshot((Row("config", self.get_newest(), b""),), 1))

    async def follow_table(self, table, version, wait, report_begin=None):
        await asyncio.sleep(0.004)
        if self.is_refused():
            return Error(REFUSED)
        if table == "servers":
            await asyncio.sleep(0.3)
            return Ok(Changes((Change("t", b""),), version + 1))
        until = get_time() + wait
        while version >= self.get_newest() and get_time() < until:
            await asyncio.sleep(0.05)
        newest = self.get_newest()
        rows = (Change("config", b""),) if newest > version else ()
        return Ok(Changes(rows, newest))


class Versions:
    """Listener of one daemon: when it has applied each version."""

    def __init__(self):
        self.applied_at = {}

    def apply_snapshot(self, rows):
        for row in rows:
            self.applied_at.setdefault(row.version, get_time())

    def apply_changes(self, changes):
        if tuple(changes):
            self.applied_at.setdefault(2, get_time())


class IgnoringListener:
    """Listener for the entries of targets, which these tests don't need."""

    def apply_snapshot(self, rows):
        pass

    def apply_changes(self, changes):
        pass


class TestFleetStart:
    """300 daemons that start within 0.3 s read 3,000 targets from a limited store."""

    def play(self, store):
        fleet = [Versions() for _ in range(300)]
        directory = types.SimpleNamespace(
            count=3_000, record_store_failure=lambda at: None
        )
        run(self.start(store, fleet, directory))
        return fleet

    async def start(self, store, fleet, directory):
        tasks: list[asyncio.Task[None]] = []
        for daemon in fleet:
            watches = StoreWatches(
                store,
                daemon,
                IgnoringListener(),
                directory,
                lambda: PROFILE,
                ViewAge(),
            )
            tasks += (asyncio.create_task(each.run()) for each in watches.list_tasks())
            await asyncio.sleep(0.001)
        await asyncio.sleep(8.0)
        for task in tasks:
            task.cancel()

    def test_a_version_is_in_force_everywhere_within_three_seconds(self):
        """Guards against 404 answers according to an older version."""
        store = FleetStore()
        fleet = self.play(store)
        ages = sorted(each.applied_at[2] - 0.5 for each in fleet)
        assert ages[-1] <= 3.0, (ages[150], store.calls, store.reads)

    def test_the_configuration_is_read_first_and_targets_once(self):
        """Guards against all rows being read again for each refused poll."""
        store = FleetStore()
        self.play(store)
        assert store.order[:10].index("op") == 0
        assert store.reads["servers"] == 300


class TestRetryDelays:
    def test_daemons_that_were_refused_together_retry_apart(self):
        """Guards against a fleet that repeats refused calls all at once."""
        policy = WatchPolicy(first_retry_delay=0.1, get_retry_delay=lambda: 0.4)
        fleet = [RetryDelays(policy, random.Random(each)) for each in range(300)]
        first = [each.record_failure() for each in fleet]
        later = [each.record_failure() for each in fleet]
        assert 0.05 <= min(first) < 0.06 < 0.14 < max(first) <= 0.15
        assert 0.2 <= min(later) < 0.21 < 0.59 < max(later) <= 0.6

    @pytest.mark.parametrize(("targets", "mean"), [(500, 0.2), (501, 0.4)])
    def test_few_targets_are_retried_as_often_as_ever(self, targets, mean):
        """Guards against small fleets that learn of leaving targets later."""
        store = RefusingStore()
        run(self.follow(store, targets))
        # The first retry has another mean; the others vary by half.
        retries = len(store.read_at["servers"]) - 2
        assert 0.85 * 60 / mean < retries < 1.15 * 60 / mean

    async def follow(self, store, targets):
        directory: Any = types.SimpleNamespace(
            count=targets, record_store_failure=lambda at: None
        )
        listener = IgnoringListener()
        watches = StoreWatches(
            store, listener, listener, directory, lambda: PROFILE, ViewAge()
        )
        tasks = [asyncio.create_task(each.run()) for each in watches.list_tasks()]
        await asyncio.sleep(60.0)
        for task in tasks:
            task.cancel()


class RefusingStore:
    """Refuses all reads of targets, and records when they are sent."""

    def __init__(self):
        self.read_at: dict[str, list[float]] = {"op": [], "servers": []}

    async def read_table(self, table):
        self.read_at[table].append(get_time())
        return Error(REFUSED) if table == "servers" else Ok(RowSnapshot((), 1))

    async def follow_table(self, table, version, wait, report_begin=None):
        await asyncio.sleep(wait)
        return Ok(Changes((), version))


class CountingStore:
    """Counts the reads of the table of daemons."""

    def __init__(self):
        self.reads = 0
        self.written_keys: list[str] = []

    async def commit(self, table, part, transaction):
        self.written_keys += [
            each.key for each in transaction.writes if isinstance(each, Put)
        ]
        return Committed(1)

    async def read_table(self, table, part):
        self.reads += 1
        return Ok(RowSnapshot((), 1))


class TestPeersOfAFleetThatStarts:
    def test_a_daemon_that_leaves_before_its_first_read_is_not_listed(self):
        """Guards against the row of a daemon that has ended."""
        store = CountingStore()
        run(self.leave(store))
        assert not store.written_keys

    async def leave(self, store):
        discovery = PeerDiscovery(store, ("10.0.0.1", 1), lambda peers: None)
        await discovery.deregister()
        task = asyncio.create_task(discovery.run())
        await asyncio.sleep(1.0)
        task.cancel()

    def test_the_list_is_read_a_few_times(self):
        """Guards against a read of all rows for each of 300 daemons that start."""
        store = CountingStore()
        run(self.hear(store))
        # At the start, and every 0.4 s at most for 3 s.
        assert 4 <= store.reads <= 9

    async def hear(self, store):
        discovery = PeerDiscovery(store, ("10.0.0.1", 1), lambda peers: None)
        task = asyncio.create_task(discovery.run())
        for number in range(300):
            await asyncio.sleep(0.01)
            discovery.record_sender((f"10.0.1.{number}", 1))
        task.cancel()

"""Rows as another version might leave them in the store."""

import asyncio
import json
import random

import msgspec
import pytest
from loguru import logger

from kingcuphead.credit import CreditLedger, CreditTask, HolderRow, ShardRow
from kingcuphead.credit._budget import SHARD_COUNT
from kingcuphead.credit._stamp import StampRow
from kingcuphead.credit.tests._store import FaultyStore
from kingcuphead.credit.tests.test_task import NAME, DisconnectableTable
from kingcuphead.routing import Organisation
from kingcuphead.storage import Put, Transaction

OTHER = "other"
LIMIT = 240_000
TOKENS = 2_000
STAMPS = "stamps"
#: An integer that is too large for a float.
HUGE = b"1" + b"0" * 400
UNDECODABLE = [
    b"",
    b"\xff",
    b"{}",
    b'["900"]',
    b"[900.5]",
    b'[900, 1, {"a": 1}]',
    b"[%s]" % HUGE,
    b"[-%s]" % HUGE,
]


class PartTable(DisconnectableTable):
    """One part of the test store."""

    def __init__(self, store, part):
        super().__init__(store)
        self.part = part

    async def commit(self, transaction):
        await asyncio.sleep(0)
        return self.store.commit(self.part, transaction, self.is_disconnected)

    async def read_prefix(self, prefix):
        await asyncio.sleep(0)
        return (await super().read_prefix(prefix)).map(
            lambda snapshot: self.store.read(self.part, prefix)
        )


def put(store, part, key, value):
    store.apply(part, Transaction((), (Put(key, value),)))


def make_store():
    store = FaultyStore(random.Random(1))
    store.advance(1.0)
    return store


@pytest.fixture
def lines():
    lines: list[str] = []
    sink = logger.add(
        lambda line: lines.append(str(line)), format="{message}", level="WARNING"
    )
    yield lines
    logger.remove(sink)


async def run_daemon(store, scenario, instance="a", incarnation="2"):
    """Run a scenario with the credit task of a daemon, which must not fail."""
    task = CreditTask(
        CreditLedger(instance, incarnation),
        lambda name: PartTable(store, name),
        stamp_table=PartTable(store, STAMPS),
    )
    organisations = [Organisation(each, None, LIMIT) for each in (NAME, OTHER)]
    task.apply_limits(organisations, 1)
    renewal = asyncio.create_task(task.run())
    async with asyncio.timeout(10):
        await scenario(task)
    assert not renewal.done(), renewal
    renewal.cancel()
    await asyncio.gather(renewal, return_exceptions=True)
    return task


def charge(value):
    """Return the tokens that a shard row has charged."""
    return json.loads(value)[0]


class TestShardRows:
    """Guards against an undecodable row that ends daemons or counts as unspent."""

    def check(self, store, lines, key):
        """Check that nothing is allocated from the budget, and others are served."""
        before = store.read(NAME, "shard/").rows

        async def scenario(task):
            for _ in range(3):
                held = await task.hold(NAME, TOKENS, timeout=0.2)
                assert held.is_error()
            assert (await task.hold(OTHER, TOKENS, timeout=1.0)).is_ok()
            await task.shut_down(0.3)

        asyncio.run(run_daemon(store, scenario))
        assert store.read(NAME, "shard/").rows == before
        undecodable = [line for line in lines if "cannot decode" in line]
        assert len(undecodable) == 1
        assert key in undecodable[0]
        assert len(undecodable[0]) <= 400

    @pytest.mark.parametrize("value", UNDECODABLE)
    def test_an_undecodable_row_stops_allocation_from_its_budget(self, lines, value):
        store = make_store()
        key = "shard/00000000/05"
        put(store, NAME, key, value)
        self.check(store, lines, key)

    @pytest.mark.parametrize(
        "key",
        [f"shard/00000000/{SHARD_COUNT}", "shard/00000000/sum", "shard/00000000/05/b"],
    )
    def test_so_does_an_unknown_key_of_a_shard(self, lines, key):
        """Guards against a budget in more parts, of which a daemon sees only some."""
        store = make_store()
        put(store, NAME, key, msgspec.json.encode(ShardRow(charged=LIMIT)))
        self.check(store, lines, key)

    def test_so_does_a_row_that_a_conflict_shows_first(self, lines):
        store = make_store()

        async def scenario(task):
            assert (await task.hold(NAME, TOKENS, timeout=1.0)).is_ok()
            for row in store.read(NAME, "shard/").rows:
                put(store, NAME, row.key, b"{}")
            for _ in range(3):
                assert (await task.hold(NAME, LIMIT // 2, timeout=0.3)).is_error()
            assert (await task.hold(OTHER, TOKENS, timeout=1.0)).is_ok()

        asyncio.run(run_daemon(store, scenario))
        assert len([line for line in lines if "cannot decode" in line]) == 1

    def test_allocation_goes_on_once_the_row_is_decodable(self):
        store = make_store()
        put(store, NAME, "shard/00000000/05", b"{}")

        async def scenario(task):
            assert (await task.hold(NAME, TOKENS, timeout=0.2)).is_error()
            row = ShardRow(charged=1_000)
            put(store, NAME, "shard/00000000/05", msgspec.json.encode(row))
            # As after an outage, requests are refused until the next renewal.
            await asyncio.sleep(0.3)
            assert (await task.hold(NAME, TOKENS, timeout=1.0)).is_ok()

        asyncio.run(run_daemon(store, scenario))

    def test_further_elements_of_a_row_are_ignored(self, lines):
        store = make_store()
        row = [LIMIT // SHARD_COUNT - 5, 0, 1, LIMIT, -1, 0, 0, "new", {"a": [1]}]
        for index in range(SHARD_COUNT):
            put(store, NAME, f"shard/00000000/{index:02}", json.dumps(row).encode())

        async def scenario(task):
            assert (await task.hold(NAME, 500, timeout=0.3)).is_error()
            assert (await task.hold(NAME, 100, timeout=1.0)).is_ok()

        asyncio.run(run_daemon(store, scenario))
        charged = sum(charge(each.value) for each in store.read(NAME, "shard/").rows)
        assert charged <= LIMIT
        assert lines == []

    def test_missing_elements_of_a_row_have_defaults(self):
        store = make_store()
        row = json.dumps([LIMIT // SHARD_COUNT]).encode()
        for index in range(SHARD_COUNT):
            put(store, NAME, f"shard/00000000/{index:02}", row)

        async def scenario(task):
            assert (await task.hold(NAME, 1, timeout=0.3)).is_error()

        asyncio.run(run_daemon(store, scenario))

    def test_rows_of_an_unknown_kind_are_ignored(self, lines):
        store = make_store()
        put(store, NAME, "summary/00000000", b"\xff")
        put(store, NAME, "shards/00000000/01", b"\xff")
        put(store, NAME, "a", b"\xff")

        async def scenario(task):
            assert (await task.hold(NAME, TOKENS, timeout=1.0)).is_ok()

        asyncio.run(run_daemon(store, scenario))
        assert lines == []


class TestHolderRows:
    """Guards against a row of an earlier incarnation that ends the next one."""

    KEY = "holder/a/1/00000000"

    def restart(self, store):
        async def scenario(task):
            assert (await task.hold(NAME, TOKENS, timeout=1.0)).is_ok()
            await asyncio.sleep(0.7)

        asyncio.run(run_daemon(store, scenario))

    @pytest.mark.parametrize(
        "value",
        [
            b"",
            b"\xff",
            b"[]",
            b"{}",
            b'{"attempt": "1"}',
            b'{"era": 0}',
            b'{"attempt": 1, "reserve": 9, "stamp_ms": %s}' % HUGE,
            b'{"attempt": 1, "stamp_ms": 1000, "reserve": %s}' % HUGE,
        ],
    )
    def test_an_undecodable_reserve_stays_charged(self, lines, value):
        store = make_store()
        put(store, NAME, self.KEY, value)
        self.restart(store)
        (row,) = store.read(NAME, self.KEY).rows
        assert row.value == value
        assert len([line for line in lines if "cannot decode" in line]) == 1

    def test_other_reserves_are_reclaimed(self, lines):
        store = make_store()
        put(store, NAME, self.KEY, b"{}")
        holder = HolderRow(1, stamp_ms=store.time_ms, reserve=3_000, received=3_000)
        put(store, NAME, "holder/a/0/00000000", msgspec.json.encode(holder))
        shard = msgspec.json.encode(ShardRow(charged=3_000))
        put(store, NAME, "shard/00000000/00", shard)
        self.restart(store)
        (row,) = store.read(NAME, "holder/a/0/").rows
        assert msgspec.json.decode(row.value, type=HolderRow).is_closed

    def test_new_fields_are_ignored(self, lines):
        store = make_store()
        shard = msgspec.json.encode(ShardRow(charged=3_000))
        put(store, NAME, "shard/00000000/00", shard)
        holder = {"attempt": 1, "stamp_ms": store.time_ms, "reserve": 3_000}
        put(store, NAME, self.KEY, json.dumps(holder | {"cause": {"a": 1}}).encode())
        self.restart(store)
        (row,) = store.read(NAME, self.KEY).rows
        assert msgspec.json.decode(row.value, type=HolderRow).is_closed
        assert lines == []


class TestStampRows:
    """Guards against a stamp of an earlier incarnation that ends the next one."""

    def restart(self, store):
        async def scenario(task):
            assert (await task.hold(NAME, TOKENS, timeout=1.0)).is_ok()
            await asyncio.sleep(0.7)

        return asyncio.run(run_daemon(store, scenario))

    @pytest.mark.parametrize(
        "value",
        [
            b"",
            b"\xff",
            b"[]",
            b"{}",
            b'{"era": 0}',
            b'{"stamp_ms": 1}',
            b'{"era": 0, "stamp_ms": %s}' % HUGE,
        ],
    )
    def test_an_undecodable_stamp_counts_as_none(self, lines, value):
        store = make_store()
        put(store, STAMPS, "a/1", value)
        put(store, STAMPS, "a/0", msgspec.json.encode(StampRow(0, 900)))
        task = self.restart(store)
        assert task.ledger.stamp.earlier == {"0": StampRow(0, 900)}
        # The row of the running incarnation is written all the same.
        assert store.read(STAMPS, "a/2").rows
        assert len([line for line in lines if "cannot decode" in line]) == 1

    def test_new_fields_are_ignored(self, lines):
        store = make_store()
        put(store, STAMPS, "a/1", b'{"era": 0, "stamp_ms": 900, "new": [1]}')
        task = self.restart(store)
        assert task.ledger.stamp.earlier == {"1": StampRow(0, 900)}
        assert lines == []

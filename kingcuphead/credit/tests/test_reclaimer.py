import asyncio
import random

import msgspec
import pytest
from expression import Error
from loguru import logger

from kingcuphead.credit import (
    CreditLedger,
    CreditSettings,
    CreditTask,
    HolderRow,
    ShardRow,
)
from kingcuphead.credit._organisation_ledger import OrganisationLedger
from kingcuphead.credit._reclaimer import Reclaimer
from kingcuphead.credit._stamp import StampRow
from kingcuphead.credit.tests._store import FaultyStore, renew
from kingcuphead.credit.tests.test_task import NAME, DisconnectableTable
from kingcuphead.routing import Organisation
from kingcuphead.storage import PlatformFault, Put, Transaction

LIMIT = 100_000
RESERVE = 50_000


def make_store(reserve):
    """Return a store whose budget is allocated to a daemon that has crashed."""
    store = FaultyStore(random.Random(1))
    store.advance(1.0)
    shard = ShardRow(charged=LIMIT, settled=LIMIT - RESERVE)
    holder = HolderRow(1, stamp_ms=store.time_ms, reserve=reserve)
    rows = {"shard/00000000/00": shard, "holder/a/1/00000000": holder}
    puts = [Put(key, msgspec.json.encode(row)) for key, row in rows.items()]
    store.apply(NAME, Transaction((), tuple(puts)))
    return store


async def hold(store, is_disconnected=False):
    """Return whether the next incarnation gets the credit of a request."""
    table = DisconnectableTable(store)
    table.is_disconnected = is_disconnected
    task = CreditTask(CreditLedger("a", "2"), lambda name: table)
    task.apply_limits([Organisation(NAME, None, LIMIT)], 1)
    renewal = asyncio.create_task(task.run())
    asyncio.get_running_loop().call_later(0.1, setattr, table, "is_disconnected", False)
    await asyncio.sleep(0.2 if is_disconnected else 0.0)
    held = await task.hold(NAME, 5_000, timeout=1.0)
    renewal.cancel()
    return held.is_ok()


class RestoredTable(DisconnectableTable):
    """The store is restored just after it has sent the first rows."""

    ledger: OrganisationLedger
    is_restored = False

    async def read_prefix(self, prefix):
        rows = await super().read_prefix(prefix)
        if not self.is_restored:
            self.is_restored = True
            self.store.restore(0.0)
            self.ledger.begin_era(self.store.era)
        return rows


class FlakyTable(DisconnectableTable):
    """A table of which the second read fails."""

    count = 0

    async def read_prefix(self, prefix):
        self.count += 1
        if self.count == 2:
            return Error(PlatformFault("read", "no reply"))
        return await super().read_prefix(prefix)


def make_reclaimer(ledger, table):
    """Return the reclaimer of a daemon and the daemon's part for the organisation."""
    ledger.stamp.earlier = {}
    part = ledger.get_organisation(NAME)
    rng = random.Random(1)
    return Reclaimer(NAME, part, table, CreditSettings(), ledger.stamp, rng)


class TestReclaimer:
    """Guards against budgets that stay charged with reserves of crashed daemons."""

    @pytest.mark.parametrize("is_disconnected", [False, True])
    def test_a_request_gets_a_reserve_when_nothing_else_is_left(self, is_disconnected):
        assert asyncio.run(hold(make_store(RESERVE), is_disconnected))

    def test_without_a_reserve_it_is_refused(self):
        assert not asyncio.run(hold(make_store(0)))

    def test_a_reserve_is_reclaimed_without_requests(self):
        async def run():
            store = make_store(RESERVE)
            task = CreditTask(
                CreditLedger("a", "2"), lambda name: DisconnectableTable(store)
            )
            task.apply_limits([Organisation(NAME, None, LIMIT)], 1)
            renewal = asyncio.create_task(task.run())
            await asyncio.sleep(2.0)
            renewal.cancel()
            return store.read_budget(NAME).charged

        # The new incarnation keeps a part of what it reclaimed.
        assert asyncio.run(run()) < LIMIT

    def test_the_own_reserve_is_not_reclaimed_after_a_restore(self):
        """The own row of an earlier era has another key than the current one."""
        store = FaultyStore(random.Random(1))
        store.advance(1.0)
        ledger = CreditLedger("a", "2")
        ledger.apply_limits([Organisation(NAME, None, LIMIT)], 1)
        ledger.record_demand(NAME, 2_000, store.now)
        renew(ledger, store)
        store.advance(1.0)
        account = ledger.get_organisation(NAME).account
        assert account.reserve
        table = RestoredTable(store)
        table.ledger = ledger.get_organisation(NAME)
        asyncio.run(make_reclaimer(ledger, table).run())
        renew(ledger, store)
        budget = store.read_budget(NAME)
        assert budget.charged >= account.free + account.reserve

    def test_what_a_killed_daemon_had_is_logged(self):
        """Otherwise nothing tells free credit that was lost from credit in use."""
        store = FaultyStore(random.Random(1))
        store.advance(1.0)
        killed = CreditLedger("a", "1")
        killed.apply_limits([Organisation(NAME, None, LIMIT)], 1)
        assert killed.hold(NAME, 3_000, store.now) is None
        killed.add_waiting(NAME, 3_000)
        renew(killed, store)
        killed.remove_waiting(NAME, 3_000)
        assert killed.hold(NAME, 3_000, store.now) is not None
        store.advance(5.0)
        killed.record_demand(NAME, 3_000, store.now)
        renew(killed, store)
        free = killed.get_organisation(NAME).account.free
        ledger = CreditLedger("a", "2")
        reclaimer = make_reclaimer(ledger, DisconnectableTable(store))
        ledger.stamp.earlier = {"1": StampRow(0, store.time_ms)}
        lines: list[str] = []
        sink = logger.add(
            lambda line: lines.append(str(line)),
            format="{extra[organisation]} {message}",
        )
        asyncio.run(reclaimer.run())
        logger.remove(sink)
        (line,) = [each for each in lines if "credit that" in each]
        assert line.startswith(
            f"{NAME} credit that holder/a/1/00000000 left: received="
        )
        assert f"free={free} held=3000 " in line

    def test_it_is_tried_again_when_the_shards_could_not_be_read(self):
        store = make_store(RESERVE)
        ledger = CreditLedger("a", "2")
        reclaimer = make_reclaimer(ledger, FlakyTable(store))

        async def run():
            await reclaimer.run()
            await reclaimer.run()

        asyncio.run(run())
        assert store.read_budget(NAME).charged == LIMIT - RESERVE

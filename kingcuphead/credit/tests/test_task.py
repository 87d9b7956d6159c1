import asyncio
import random

import pytest
from expression import Ok

from kingcuphead.credit import (
    Borrower,
    CreditBook,
    CreditSettings,
    CreditTask,
    Lending,
    Shortage,
)
from kingcuphead.credit.tests._store import FaultyStore
from kingcuphead.routing import Organisation

NAME = "atelier"
PEER = ("10.0.0.2", 9000)


class CutTable:
    """The store as a daemon sees it that may be cut off from it."""

    def __init__(self, store):
        self.store = store
        self.is_cut = False

    async def commit(self, transaction):
        await asyncio.sleep(0)
        return self.store.commit(transaction, self.is_cut)

    async def read_prefix(self, prefix):
        return Ok(())

    def estimate_time(self):
        return self.store.time_ms

    def bound_time(self, moment):
        return self.store.time_ms


def make_book(name, limit):
    book = CreditBook(name, "1")
    book.apply_limits([Organisation(NAME, None, limit)], 1)
    return book


class CountingTable(CutTable):
    """Counts transactions."""

    count = 0

    async def commit(self, transaction):
        self.count += 1
        return await super().commit(transaction)


class TestRenewal:
    @pytest.mark.parametrize("daemons, least, most", [(7, 2, 4), (330, 1, 1)])
    def test_a_daemon_of_a_large_fleet_renews_less_often(self, daemons, least, most):
        async def play():
            table = CountingTable(FaultyStore(random.Random(1)))
            settings = CreditSettings(renewal_interval=0.2)
            book = CreditBook("a", "1", settings)
            book.apply_limits([Organisation(NAME, None, 100_000)], 1)
            now = asyncio.get_running_loop().time()
            book.count_demand(NAME, 5_000, now)
            task = CreditTask(book, table, settings)
            task.daemons = daemons
            renewal = asyncio.create_task(task.run())
            await asyncio.sleep(0.7)
            renewal.cancel()
            return table.count

        assert least <= asyncio.run(play()) <= most


class TestBorrowingTask:
    """Requests that another daemon has credit for are not refused."""

    def setup_method(self):
        store = FaultyStore(random.Random(1))
        self.lender = make_book("a", 100_000)
        self.lender.want(NAME, 40_000)
        for _ in range(3):
            transaction = self.lender.plan_transaction(0.0, 0)
            if transaction is not None:
                self.lender.take_outcome(store.commit(transaction, is_cut=False), 0.0)
        self.lender.unwant(NAME, 40_000)
        self.book = make_book("b", 100_000)
        self.table = CutTable(store)
        self.task = CreditTask(self.book, self.table)
        self.lending = Lending(self.lender, "a/1")
        self.borrower = Borrower(
            Lending(self.book, "b/1"), self.send, lambda: (PEER,), random.Random(1)
        )
        self.task.borrower = self.borrower

    def send(self, asked, peer):
        loop = asyncio.get_running_loop()
        loop.call_soon(self.borrower.take, self.lending.answer(asked, 0.0))

    async def hold(self, tokens):
        renewal = asyncio.create_task(self.task.run())
        await asyncio.sleep(0.3)
        held = await self.task.hold(NAME, tokens, timeout=0.5)
        renewal.cancel()
        await asyncio.gather(renewal, return_exceptions=True)
        return held

    def test_a_daemon_that_is_cut_off_borrows(self):
        self.table.is_cut = True
        assert asyncio.run(self.hold(30_000)).is_ok()

    def test_without_others_it_refuses(self):
        self.table.is_cut = True
        self.task.borrower = None
        held = asyncio.run(self.hold(30_000))
        assert held.error.shortage is Shortage.UNREACHABLE

    def test_credit_that_others_have_taken_is_borrowed(self):
        third = make_book("c", 100_000)
        third.want(NAME, 100_000)
        for _ in range(2):
            transaction = third.plan_transaction(0.0, 0)
            outcome = self.table.store.commit(transaction, is_cut=False)
            third.take_outcome(outcome, 0.0)
        assert third.find_shortage(NAME, 100_000) is Shortage.UNPROVEN
        assert asyncio.run(self.hold(30_000)).is_ok()

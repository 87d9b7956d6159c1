import asyncio
import random

import pytest
from expression import Ok

from kingcuphead.credit import (
    CreditLedger,
    CreditSettings,
    CreditTask,
    Shortage,
    TransferClient,
    TransferEndpoint,
)
from kingcuphead.credit.tests._store import FaultyStore
from kingcuphead.routing import Organisation

NAME = "atelier"
PEER = ("10.0.0.2", 9000)


class DisconnectableTable:
    """The test store through a connection that can be cut."""

    def __init__(self, store):
        self.store = store
        self.is_disconnected = False

    async def commit(self, transaction):
        await asyncio.sleep(0)
        return self.store.commit(transaction, self.is_disconnected)

    async def read_prefix(self, prefix):
        return Ok(())

    def estimate_time(self):
        return self.store.time_ms

    def bound_time(self, moment):
        return self.store.time_ms


def make_ledger(name, limit):
    ledger = CreditLedger(name, "1")
    ledger.apply_limits([Organisation(NAME, None, limit)], 1)
    return ledger


class CountingTable(DisconnectableTable):
    """Counts the transactions that a task commits."""

    count = 0

    async def commit(self, transaction):
        self.count += 1
        return await super().commit(transaction)


class TestRenewal:
    @pytest.mark.parametrize("daemons, least, most", [(7, 2, 4), (330, 1, 1)])
    def test_a_daemon_of_a_large_fleet_renews_less_often(self, daemons, least, most):
        async def count_renewals():
            table = CountingTable(FaultyStore(random.Random(1)))
            settings = CreditSettings(renewal_interval=0.2)
            ledger = CreditLedger("a", "1", settings)
            ledger.apply_limits([Organisation(NAME, None, 100_000)], 1)
            now = asyncio.get_running_loop().time()
            ledger.record_demand(NAME, 5_000, now)
            task = CreditTask(ledger, table, settings)
            task.daemons = daemons
            renewal = asyncio.create_task(task.run())
            await asyncio.sleep(0.7)
            renewal.cancel()
            return table.count

        assert least <= asyncio.run(count_renewals()) <= most


class TestTransfers:
    """Guards against refusing requests that another daemon has the credit for."""

    def setup_method(self):
        store = FaultyStore(random.Random(1))
        self.peer_ledger = make_ledger("a", 100_000)
        self.peer_ledger.add_waiting(NAME, 40_000)
        for _ in range(3):
            transaction = self.peer_ledger.plan_transaction(0.0, 0)
            if transaction is not None:
                self.peer_ledger.handle_outcome(
                    store.commit(transaction, is_disconnected=False), 0.0
                )
        self.peer_ledger.remove_waiting(NAME, 40_000)
        self.ledger = make_ledger("b", 100_000)
        self.table = DisconnectableTable(store)
        self.task = CreditTask(self.ledger, self.table)
        self.peer_endpoint = TransferEndpoint(self.peer_ledger, "a/1")
        self.client = TransferClient(
            TransferEndpoint(self.ledger, "b/1"),
            self.send,
            lambda: (PEER,),
            random.Random(1),
        )
        self.task.transfer_client = self.client

    def send(self, request, peer):
        loop = asyncio.get_running_loop()
        loop.call_soon(
            self.client.handle_reply, self.peer_endpoint.handle_request(request, 0.0)
        )

    async def hold(self, tokens):
        renewal = asyncio.create_task(self.task.run())
        await asyncio.sleep(0.3)
        held = await self.task.hold(NAME, tokens, timeout=0.5)
        renewal.cancel()
        await asyncio.gather(renewal, return_exceptions=True)
        return held

    def test_a_daemon_without_the_store_requests_a_transfer(self):
        self.table.is_disconnected = True
        assert asyncio.run(self.hold(30_000)).is_ok()

    def test_without_store_and_transfers_a_request_is_refused(self):
        self.table.is_disconnected = True
        self.task.transfer_client = None
        held = asyncio.run(self.hold(30_000))
        assert held.error.shortage is Shortage.UNREACHABLE

    def test_credit_allocated_to_another_daemon_is_transferred(self):
        third = make_ledger("c", 100_000)
        third.add_waiting(NAME, 100_000)
        for _ in range(2):
            transaction = third.plan_transaction(0.0, 0)
            outcome = self.table.store.commit(transaction, is_disconnected=False)
            third.handle_outcome(outcome, 0.0)
        assert third.find_shortage(NAME, 100_000) is Shortage.UNPROVEN
        assert asyncio.run(self.hold(30_000)).is_ok()

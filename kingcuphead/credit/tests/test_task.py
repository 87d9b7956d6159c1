import asyncio
import random

import msgspec
import pytest
from expression import Error, Ok

from kingcuphead.credit import (
    CreditLedger,
    CreditSettings,
    CreditTask,
    ShardRow,
    Shortage,
    TransferClient,
    TransferEndpoint,
)
from kingcuphead.credit.tests._store import FaultyStore, renew
from kingcuphead.routing import Organisation
from kingcuphead.storage import PlatformFault, Put, Transaction

NAME = "atelier"
#: Tokens of which the share of one daemon in a large fleet serves several requests.
LIMIT = 10_000_000
PEER = ("10.0.0.2", 9000)
#: Tokens that no daemon has, where others have nearly all.
UNALLOCATED = 4_000


class DisconnectableTable:
    """The test store through a connection that can be cut."""

    def __init__(self, store):
        self.store = store
        self.is_disconnected = False

    async def commit(self, transaction):
        await asyncio.sleep(0)
        return self.store.commit(NAME, transaction, self.is_disconnected)

    async def read_prefix(self, prefix):
        await asyncio.sleep(0)
        if self.is_disconnected:
            return Error(PlatformFault("read", "disconnected"))
        return Ok(self.store.read(NAME, prefix))

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
            ledger.apply_limits([Organisation(NAME, None, LIMIT)], 1)
            now = asyncio.get_running_loop().time()
            ledger.record_demand(NAME, 5_000, now)
            ledger.apply_fleet_size(daemons)
            task = CreditTask(ledger, lambda name: table, settings)
            task.apply_limits([Organisation(NAME, None, LIMIT)], 1)
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
        renew(self.peer_ledger, store)
        self.peer_ledger.remove_waiting(NAME, 40_000)
        self.ledger = make_ledger("b", 100_000)
        self.table = DisconnectableTable(store)
        self.task = CreditTask(self.ledger, lambda name: self.table)
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
        renew(third, self.table.store)
        shortage = third.get_organisation(NAME).find_shortage(100_000, 0)
        assert shortage is Shortage.UNPROVEN
        assert asyncio.run(self.hold(30_000)).is_ok()


class TestLowCredit:
    """Guards against free credit that has run out when the store is lost."""

    @pytest.mark.parametrize("free_share, is_renewed", [(0.9, False), (0.2, True)])
    def test_low_credit_is_renewed_before_the_interval_ends(
        self, free_share, is_renewed
    ):
        async def count_transactions():
            table = CountingTable(FaultyStore(random.Random(1)))
            task = CreditTask(CreditLedger("a", "1"), lambda name: table)
            task.apply_limits([Organisation(NAME, None, LIMIT)], 1)
            now = asyncio.get_running_loop().time()
            task.ledger.record_demand(NAME, 50_000, now)
            renewal = asyncio.create_task(task.run())
            task._get_renewal(NAME).wake()
            await asyncio.sleep(0.1)
            before = table.count
            free = task.ledger.get_free_tokens(NAME)
            await task.hold(NAME, int(free * (1 - free_share)), timeout=0.1)
            await asyncio.sleep(0.3)
            renewal.cancel()
            return table.count - before

        assert bool(asyncio.run(count_transactions())) is is_renewed


class SlowTable(DisconnectableTable):
    """A store whose commits take longer than a request waits before it asks peers."""

    async def commit(self, transaction):
        await asyncio.sleep(0.1)
        return await super().commit(transaction)


class PeerCredit(TransferClient):
    """Other daemons that have said how much free credit they have."""

    def __init__(self, ledger, free):
        self.ledger = ledger
        self.free = free

    async def request_credit(self, organisation, tokens, extra=0):
        if tokens > self.free:
            return False
        self.free -= tokens
        self.ledger.transfer_in(organisation, tokens)
        return True

    def is_certainly_short(self, organisation, tokens):
        return self.free < tokens


class TestCreditFromSeveralSources:
    """Guards against refusals although the sources together have enough."""

    @pytest.mark.parametrize("peer_tokens, is_held", [(5_000, True), (4_000, False)])
    def test_unallocated_tokens_count_beside_those_of_peers(self, peer_tokens, is_held):
        async def run():
            store = FaultyStore(random.Random(1))
            shard = ShardRow(charged=LIMIT - UNALLOCATED)
            row = Put("shard/00000000/00", msgspec.json.encode(shard))
            store.apply(NAME, Transaction((), (row,)))
            ledger = make_ledger("a", LIMIT)
            task = CreditTask(ledger, lambda name: SlowTable(store))
            task.transfer_client = PeerCredit(ledger, peer_tokens)
            renewal = asyncio.create_task(task.run())
            held = await task.hold(NAME, UNALLOCATED + 5_000, timeout=1.0)
            renewal.cancel()
            return held.is_ok()

        assert asyncio.run(run()) is is_held

import asyncio
import random

import msgspec
import pytest

from kingcuphead.credit import (
    CreditAsked,
    CreditHanded,
    CreditLedger,
    CreditSettings,
    HolderRow,
    TransferClient,
    TransferEndpoint,
)
from kingcuphead.credit._transfer_client import REPLY_TIMEOUT_SECONDS
from kingcuphead.credit.tests._store import FaultyStore, renew
from kingcuphead.routing import Organisation

NAME = "atelier"
LIMIT = 1_000_000


def make_endpoint(store, incarnation, tokens):
    """Return a daemon's ledger with some free credit, and its transfer endpoint."""
    ledger = CreditLedger(
        incarnation, incarnation, CreditSettings(combined_requests=30.0)
    )
    ledger.apply_limits([Organisation(NAME, None, LIMIT)], 1)
    ledger.add_waiting(NAME, tokens)
    renew(ledger, store)
    ledger.remove_waiting(NAME, tokens)
    return ledger, TransferEndpoint(ledger, incarnation)


class TestTransferEndpoint:
    def setup_method(self):
        self.store = FaultyStore(random.Random(1))
        self.sender_ledger, self.sender = make_endpoint(self.store, "a/1", 20_000)
        self.receiver_ledger, self.receiver = make_endpoint(self.store, "b/1", 0)

    def test_transferred_tokens_are_free_on_the_receiver_only(self):
        before = (
            self.sender_ledger.get_free_tokens(NAME),
            self.receiver_ledger.get_free_tokens(NAME),
        )
        reply = self.sender.handle_request(
            self.receiver.create_request(NAME, 15_000), 0.0
        )
        assert reply.tokens == 15_000
        assert self.sender_ledger.get_free_tokens(NAME) == before[0] - 15_000
        assert self.receiver.handle_reply(reply)
        assert self.receiver_ledger.get_free_tokens(NAME) == before[1] + 15_000

    def test_a_reply_is_applied_once(self):
        reply = self.sender.handle_request(self.receiver.create_request(NAME, 500), 0.0)
        assert self.receiver.handle_reply(reply)
        before = self.receiver_ledger.get_free_tokens(NAME)
        assert not self.receiver.handle_reply(reply)
        assert self.receiver_ledger.get_free_tokens(NAME) == before

    def test_a_repeated_request_gets_the_same_reply(self):
        request = self.receiver.create_request(NAME, 500)
        reply = self.sender.handle_request(request, 0.0)
        before = self.sender_ledger.get_free_tokens(NAME)
        assert self.sender.handle_request(request, 0.0) == reply
        assert self.sender_ledger.get_free_tokens(NAME) == before

    @pytest.mark.parametrize("receiver, number", [("b/0", 1), ("b/1", 99)])
    def test_a_reply_to_another_incarnation_or_request_is_ignored(
        self, receiver, number
    ):
        self.receiver.create_request(NAME, 500)
        before = self.receiver_ledger.get_free_tokens(NAME)
        assert not self.receiver.handle_reply(CreditHanded(receiver, number, 500))
        assert self.receiver_ledger.get_free_tokens(NAME) == before

    def test_tokens_that_local_requests_wait_for_are_not_transferred(self):
        self.sender_ledger.add_waiting(
            NAME, self.sender_ledger.get_free_tokens(NAME) - 100
        )
        assert (
            self.sender.handle_request(
                self.receiver.create_request(NAME, 5_000), 0.0
            ).tokens
            == 100
        )

    def test_reserves_are_transferred_only_as_they_are_released(self):
        renew(self.sender_ledger, self.store, is_disconnected=True)
        state = self.sender_ledger.describe(NAME, 0.0)
        settings = CreditSettings()
        begin = settings.release_delay + settings.clock_margin
        early = self.sender.handle_request(
            self.receiver.create_request(NAME, LIMIT), begin
        )
        assert early.tokens == state.free
        half = begin + settings.release_period / 2
        later = self.sender.handle_request(
            self.receiver.create_request(NAME, LIMIT), half
        )
        assert later.tokens == pytest.approx(state.reserve / 2, abs=1)
        end = begin + settings.release_period
        last = self.sender.handle_request(
            self.receiver.create_request(NAME, LIMIT), end
        )
        assert later.tokens + last.tokens == state.reserve

    def test_nothing_is_transferred_for_an_unknown_organisation(self):
        assert (
            self.sender.handle_request(CreditAsked("b/1", 1, "nobody", 5), 0.0).tokens
            == 0
        )


class EarlierEndpoint:
    """Replies as a release without the fields for what the sender still has."""

    def __init__(self, endpoint):
        self.endpoint = endpoint

    def handle_request(self, request, now):
        reply = self.endpoint.handle_request(request, now)
        return CreditHanded(reply.receiver, reply.number, reply.tokens)


class TestReserveOnRequest:
    """Guards against credit that idle daemons keep while requests are refused."""

    def setup_method(self):
        self.store = FaultyStore(random.Random(1))
        self.store.advance(1.0)
        self.sender_ledger, self.sender = make_endpoint(self.store, "a/1", 0)
        _, self.receiver = make_endpoint(self.store, "b/1", 0)
        self.state = self.sender_ledger.describe(NAME, 0.0)

    def request(self, tokens, extra=0):
        return self.sender.handle_request(
            self.receiver.create_request(NAME, tokens, extra), self.store.now
        )

    def test_the_reply_states_what_is_left(self):
        reply = self.request(1_000)
        assert reply.free == self.state.free - 1_000
        assert reply.reserve == self.state.reserve > 0

    def test_the_reserve_is_transferred_once_the_holder_row_lacks_it(self):
        wanted = self.state.free + 5_000
        assert self.request(wanted).tokens == self.state.free
        assert self.request(5_000).tokens == 0
        charged = self.store.read_budget(NAME).charged
        transactions = self.store.version
        renew(self.sender_ledger, self.store, attempts=1)
        assert self.store.version == transactions + 1
        assert self.store.read_budget(NAME).charged == charged
        (row,) = self.store.read(NAME, "holder/a/1").rows
        holder = msgspec.json.decode(row.value, type=HolderRow)
        assert holder.reserve == self.state.reserve - 5_000
        assert self.request(5_000).tokens == 5_000

    def test_the_reserve_stays_while_the_store_does_not_answer(self):
        self.store.advance(5.0)
        renew(self.sender_ledger, self.store, is_disconnected=True)
        self.store.advance(0.5)
        assert self.request(self.state.free + 5_000).reserve == 0
        renew(self.sender_ledger, self.store, is_disconnected=True)
        assert self.request(5_000).tokens == 0

    def test_a_transaction_in_doubt_transfers_nothing(self):
        self.request(self.state.free + 5_000)
        self.store.lost_share = 1.0
        renew(self.sender_ledger, self.store, attempts=1)
        assert self.request(5_000).tokens == 0
        assert self.request(5_000).reserve == 0

    @pytest.mark.parametrize("demand, expected", [(0, 3_000), (1_000_000, 0)])
    def test_extra_tokens_are_those_that_the_demand_leaves(self, demand, expected):
        self.sender_ledger.record_demand(NAME, demand, 0.0)
        assert self.request(0, extra=3_000).tokens == expected


class TestTransferClient:
    def setup_method(self):
        store = FaultyStore(random.Random(1))
        self.ledger, self.endpoint = make_endpoint(store, "b/1", 0)
        self.peers = {}
        for number in range(4):
            _, endpoint = make_endpoint(store, f"a{number}/1", 10_000)
            self.peers[(f"10.0.0.{number}", 9000)] = endpoint
        self.unresponsive = set()
        self.lost_replies = 0
        self.requested = []
        self.sent = []
        self.client = TransferClient(
            self.endpoint, self.send, lambda: tuple(self.peers), random.Random(2)
        )

    def send(self, request, peer):
        self.requested.append(peer)
        self.sent.append((request, peer))
        if peer in self.unresponsive:
            return
        reply = self.peers[peer].handle_request(request, 0.0)
        if self.lost_replies and request.tokens:
            self.lost_replies -= 1
            return
        loop = asyncio.get_running_loop()
        loop.call_soon(self.client.handle_reply, reply)

    def request_credit(self, tokens):
        asyncio.run(self.client.request_credit(NAME, tokens))

    def test_daemons_are_asked_until_enough_tokens_are_received(self):
        before = self.ledger.get_free_tokens(NAME)
        self.request_credit(25_000)
        assert self.ledger.get_free_tokens(NAME) == before + 25_000
        asked = [peer for request, peer in self.sent if request.tokens]
        probed = [peer for request, peer in self.sent if not request.tokens]
        assert len(set(asked)) == len(asked) < len(self.peers)
        assert len(set(probed)) == len(probed)

    def test_no_request_is_sent_if_no_tokens_are_missing(self):
        self.request_credit(0)
        assert self.requested == []

    def test_a_request_is_sent_again_after_a_lost_reply(self):
        self.lost_replies = 1
        before = self.ledger.get_free_tokens(NAME)
        self.request_credit(5_000)
        assert self.ledger.get_free_tokens(NAME) == before + 5_000
        asked = [each for each in self.sent if each[0].tokens]
        assert asked == [asked[0]] * 2

    def test_an_unresponsive_daemon_is_skipped_for_a_period(self):
        self.unresponsive = set(list(self.peers)[:3])

        async def run():
            await self.client.request_credit(NAME, 100_000)
            self.requested.clear()
            await asyncio.sleep(0.25)
            await self.client.request_credit(NAME, 100_000)

        asyncio.run(run())
        assert set(self.requested) == set(self.peers) - self.unresponsive

    def test_those_with_most_free_credit_are_asked_first(self):
        rich = next(iter(self.peers))
        self.peers[rich]._ledger.transfer_in(NAME, 50_000)
        self.request_credit(40_000)
        assert [peer for request, peer in self.sent if request.tokens] == [rich]

    def test_several_daemons_are_asked_at_once(self):
        """Guards against one lost reply that delays the tokens of all others."""

        async def run():
            silent = next(iter(self.peers))
            self.unresponsive = {silent}
            start = asyncio.get_running_loop().time()
            await self.client.request_credit(NAME, 25_000)
            return asyncio.get_running_loop().time() - start

        before = self.ledger.get_free_tokens(NAME)
        assert asyncio.run(run()) < REPLY_TIMEOUT_SECONDS
        assert self.ledger.get_free_tokens(NAME) == before + 25_000

    def test_requests_that_lack_credit_together_share_one_round(self):
        async def run():
            requests = [self.client.request_credit(NAME, 4_000) for _ in range(5)]
            await asyncio.gather(*requests)

        before = self.ledger.get_free_tokens(NAME)
        asyncio.run(run())
        assert self.ledger.get_free_tokens(NAME) == before + 20_000
        assert len(self.sent) <= len(self.peers) + 3

    def test_tokens_for_the_next_requests_are_those_that_others_do_not_need(self):
        needing = next(iter(self.peers))
        self.peers[needing]._ledger.record_demand(NAME, 1_000_000, 0.0)

        async def run():
            self.client.prefetch_credit(NAME, 35_000)
            await asyncio.sleep(0.05)

        before = self.ledger.get_free_tokens(NAME)
        free = self.peers[needing]._ledger.get_free_tokens(NAME)
        asyncio.run(run())
        assert self.ledger.get_free_tokens(NAME) >= before + 20_000
        assert self.peers[needing]._ledger.get_free_tokens(NAME) == free

    def test_tokens_too_few_for_any_request_stay_where_they_are(self):
        before = self.ledger.get_free_tokens(NAME)
        self.request_credit(LIMIT)
        assert self.ledger.get_free_tokens(NAME) == before

    def test_a_daemon_of_an_earlier_release_is_asked(self):
        """Such a daemon doesn't state what it has."""
        peer = next(iter(self.peers))
        endpoint = self.peers.pop(peer)
        self.peers = {peer: EarlierEndpoint(endpoint)}
        before = self.ledger.get_free_tokens(NAME)
        self.request_credit(3_000)
        assert self.ledger.get_free_tokens(NAME) == before + 3_000

    def test_no_request_is_sent_directly_after_all_daemons_had_too_little(self):
        async def run():
            await self.client.request_credit(NAME, LIMIT)
            self.requested.clear()
            await self.client.request_credit(NAME, LIMIT)

        asyncio.run(run())
        assert self.requested == []

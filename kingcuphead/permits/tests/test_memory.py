import asyncio
import random

import pytest

from kingcuphead.permits import (
    MemoryClaim,
    PermitAnswered,
    PermitAsked,
    PermitCoordinator,
    PermitExchange,
    RoomReported,
    TargetTerms,
)
from kingcuphead.permits._memory import (
    COORDINATOR_SHARE,
    REORDERING_PERIOD,
    REPORT_LIFETIME,
    EngineMemory,
    compute_memory_share,
)
from kingcuphead.permits._memory_reports import MemoryReports
from kingcuphead.targets import Availability, Target

CAPACITY = 1_000
TARGET = Target("e1", "pool", "10.1.0.1:80", "z", 16, Availability.READY, 1)
FIRST, SECOND = ("10.0.0.1", 1), ("10.0.0.2", 1)


class TestMemoryAccount:
    def has_room(self, account, tokens, now=0.0, share=COORDINATOR_SHARE):
        return account.has_room("a", MemoryClaim(tokens, CAPACITY), share, now)

    @pytest.mark.parametrize("others, has_room", [(500, True), (501, False)])
    def test_tokens_of_all_daemons_count(self, others, has_room):
        account = EngineMemory()
        account.record("b", others, 1, 0.0)
        assert self.has_room(account, 300) is has_room

    @pytest.mark.parametrize(
        "own, others, has_room", [(0, 0, True), (1, 0, False), (0, 1, False)]
    )
    def test_a_single_request_may_take_the_whole_memory(self, own, others, has_room):
        account = EngineMemory()
        account.record("a", own, 1, 0.0)
        account.record("b", others, 1, 0.0)
        assert self.has_room(account, CAPACITY) is has_room

    def test_a_late_report_changes_nothing(self):
        account = EngineMemory()
        account.record("b", 700, 2, 0.0)
        account.record("b", 0, 1, 0.1)
        assert account.count_tokens(0.1) == 700

    def test_a_restarted_daemon_reports_with_low_numbers(self):
        account = EngineMemory()
        account.record("b", 700, 90, 0.0)
        account.record("b", 10, 1, REORDERING_PERIOD)
        assert account.count_tokens(REORDERING_PERIOD) == 10

    def test_the_tokens_of_a_daemon_that_is_silent_expire(self):
        account = EngineMemory()
        account.record("b", 700, 1, 0.0)
        assert account.count_tokens(REPORT_LIFETIME) == 700
        assert account.count_tokens(REPORT_LIFETIME + 0.1) == 0

    def test_daemons_that_all_coordinate_grant_the_memory_once(self):
        shares = [compute_memory_share(position, False) for position in range(70)]
        shares.append(compute_memory_share(0, True))
        assert sum(shares) <= 1.0


class TestMemoryReports:
    def test_only_what_the_coordinator_may_not_know_is_reported(self):
        """Each denial would else cause a report of what is known."""
        reports = MemoryReports()
        assert not reports.record("e1", 0)
        assert reports.record("e1", 300)
        assert not reports.record("e1", 300)
        reports.mark_doubtful("e1")
        assert reports.record("e1", 300)
        assert not reports.record("e1", 300)


class TestMemoryPermits:
    """Two daemons, of which one coordinates; its answers may get lost."""

    def make_exchanges(self, answers):
        exchanges: dict[tuple[str, int], PermitExchange] = {}

        def make(own):
            def send(message, receiver):
                if isinstance(message, PermitAnswered) and not answers:
                    return
                loop = asyncio.get_running_loop()
                loop.call_soon(exchanges[receiver].handle_message, message, own)

            coordinator = PermitCoordinator(random.Random(1))
            exchange = PermitExchange(own, coordinator, send, lambda message: None)
            exchanges[own] = exchange
            exchange.ranking.apply_peers([FIRST if own == SECOND else SECOND], 0.0)
            return exchange

        pair = [make(FIRST), make(SECOND)]
        pair.sort(key=lambda each: each.ranking.get_position(TARGET.incarnation))
        return pair

    def run(self, claims, answers=True):
        """Let the daemon that doesn't coordinate ask for some permits."""

        async def ask():
            coordinator, other = self.make_exchanges(answers)
            now = asyncio.get_running_loop().time()
            for exchange, peer in ((coordinator, other), (other, coordinator)):
                address = peer.ranking._own_address
                exchange.ranking.record_message(address, now - 1.2)
                exchange.ranking.record_message(address, now)
                exchange.ranking.record_confirmation(address)
            coordinator.report_memory(TARGET, 500)
            decisions = [await other.claim(TARGET, claim) for claim in claims]
            granted = [each.is_granted for each in decisions]
            return granted, other.select_open([TARGET])

        return asyncio.run(ask())

    def test_a_denial_for_memory_does_not_close_the_target(self):
        claims = [MemoryClaim(300, CAPACITY), MemoryClaim(301, CAPACITY)]
        granted, is_open = self.run(claims)
        assert granted == [True, False]
        assert is_open

    @pytest.mark.parametrize(
        "claim, is_granted",
        [
            (MemoryClaim(101, CAPACITY), False),
            (MemoryClaim(40, CAPACITY, fits_unasked=True), False),
        ],
    )
    def test_a_substitute_grants_little(self, claim, is_granted):
        granted, _ = self.run([claim], answers=False)
        assert granted == [is_granted]

    def test_messages_of_the_release_before_have_no_memory(self):
        assert PermitAsked(1, "e1@1", TargetTerms(), 16, 1).memory_tokens is None
        assert RoomReported(1, "e1@1", 1, False).memory_tokens is None
        assert not PermitAnswered(1, True, 0.0).is_full

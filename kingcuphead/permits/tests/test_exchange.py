import asyncio
import random
from typing import Any

import pytest

from kingcuphead.permits import PermitCoordinator, PermitExchange, TargetTerms
from kingcuphead.permits._messages import PermitAnswered, PermitAsked
from kingcuphead.targets import Availability, Target

OWN, PEERS = ("10.0.0.1", 1), (("10.0.0.2", 1), ("10.0.0.3", 1))
BRITTLE = TargetTerms(rejections_per_second=1)
DENIAL_WAIT = 0.7


def make_target(exchange):
    """Return a target whose permits another daemon coordinates."""
    for number in range(100):
        target = Target(
            f"t{number}", "pool", "10.1.0.1:1", "z", 4, Availability.READY, 1
        )
        now = asyncio.get_running_loop().time()
        if exchange.ranking.find_coordinator(target.incarnation, now) != OWN:
            exchange.record_terms(target, BRITTLE)
            return target
    raise AssertionError("this daemon coordinates every target")


def make_exchange(sent):
    exchange = PermitExchange(
        OWN,
        PermitCoordinator(random.Random(1)),
        lambda message, receiver: sent.append((message, receiver)),
        lambda message: None,
    )
    now = asyncio.get_running_loop().time()
    exchange.ranking.apply_peers(PEERS, now)
    for peer in PEERS:
        exchange.ranking.record_message(peer, now - 1.2)
        exchange.ranking.record_message(peer, now)
    return exchange


async def ask(exchange, sent):
    """Start to ask for a permit; return the task, the query and its receiver."""
    claim = asyncio.create_task(exchange.claim(make_target(exchange)))
    await asyncio.sleep(0)
    queries = [each for each in sent if isinstance(each[0], PermitAsked)]
    return claim, *queries[-1]


class TestAnswers:
    """Guards against an answer that counts for a query that it doesn't answer."""

    @pytest.mark.parametrize("is_asked", [True, False])
    def test_it_counts_only_from_the_daemon_that_was_asked(self, is_asked):
        async def scenario():
            sent: list[Any] = []
            exchange = make_exchange(sent)
            claim, query, receiver = await ask(exchange, sent)
            others = [each for each in PEERS if each != receiver]
            sender = receiver if is_asked else others[0]
            exchange.handle_message(
                PermitAnswered(query.number, False, DENIAL_WAIT), sender
            )
            decision = await claim
            assert (decision.wait == DENIAL_WAIT) is is_asked

        asyncio.run(scenario())

    def test_one_to_the_daemon_before_a_restart_counts_for_no_query(self):
        """The coordinator was frozen and answers the process before at its address."""

        async def scenario():
            sent: list[Any] = []
            claim, earlier, _ = await ask(make_exchange(sent), sent)
            claim.cancel()
            restarted = make_exchange(sent)
            claim, _, receiver = await ask(restarted, sent)
            late = PermitAnswered(earlier.number, False, DENIAL_WAIT)
            restarted.handle_message(late, receiver)
            assert (await claim).wait != DENIAL_WAIT

        asyncio.run(scenario())

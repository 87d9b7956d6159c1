"""Asks other daemons for credit, one after the other."""

import asyncio
import random
from collections.abc import Callable, Iterator

from loguru import logger

from kingcuphead.credit._lending import CreditAsked, CreditHanded, Lending

#: Seconds before a question is sent again, or its receiver is given up.
ANSWER_TIMEOUT = 0.04
#: Times that a question is sent.
SENDINGS = 2
#: Most daemons that are asked for one request.
MAX_ASKED = 12
#: Seconds for which a daemon that did not answer is not asked.
SILENCE_PERIOD = 2.0
#: Seconds for which an organisation is not asked for again where nobody had enough.
SHORTAGE_PERIOD = 0.2

Address = tuple[str, int]


class Borrower:
    """Owns this daemon's open questions to others.

    Parameters
    ----------
    lending
        What is asked and handed over.
    send
        Sends a question to a daemon.
    list_peers
        Returns the addresses of the other daemons.
    draw
        Source of chance for the order in which they are asked.
    """

    def __init__(
        self,
        lending: Lending,
        send: Callable[[CreditAsked, Address], None],
        list_peers: Callable[[], tuple[Address, ...]],
        draw: random.Random,
    ) -> None:
        self._lending = lending
        self._send = send
        self._list_peers = list_peers
        self._draw = draw
        self._waiting: dict[int, asyncio.Future[int]] = {}
        self._silent_until: dict[Address, float] = {}
        self._short_until: dict[str, float] = {}

    async def borrow(self, organisation: str, tokens: int) -> None:
        """Ask daemons for credit until enough has come or all were asked."""
        now = asyncio.get_running_loop().time()
        if tokens <= 0 or now < self._short_until.get(organisation, 0.0):
            return
        missing = tokens
        asked = 0
        for peer in self._choose_peers(now):
            asked += 1
            missing -= await self._ask(peer, organisation, missing)
            if missing <= 0:
                break
        else:
            self._short_until[organisation] = now + SHORTAGE_PERIOD
        logger.bind(organisation=organisation).info(
            "credit borrowed: {} of {} tokens, {} daemons asked",
            tokens - max(0, missing),
            tokens,
            asked,
        )

    def take(self, handed: CreditHanded) -> None:
        """Take an answer, also one that comes late."""
        waiting = self._waiting.pop(handed.number, None)
        is_taken = self._lending.take(handed)
        if waiting is not None and not waiting.done():
            waiting.set_result(handed.tokens if is_taken else 0)

    async def _ask(self, peer: Address, organisation: str, tokens: int) -> int:
        """Return what a daemon hands over; 0 if it does not answer."""
        asked = self._lending.ask(organisation, tokens)
        loop = asyncio.get_running_loop()
        answer: asyncio.Future[int] = loop.create_future()
        self._waiting[asked.number] = answer
        try:
            for _ in range(SENDINGS):
                self._send(asked, peer)
                await asyncio.wait([answer], timeout=ANSWER_TIMEOUT)
                if answer.done():
                    return answer.result()
        finally:
            self._waiting.pop(asked.number, None)
        self._silent_until[peer] = loop.time() + SILENCE_PERIOD
        return 0

    def _choose_peers(self, now: float) -> Iterator[Address]:
        peers = [
            peer
            for peer in self._list_peers()
            if self._silent_until.get(peer, 0.0) <= now
        ]
        yield from self._draw.sample(peers, min(MAX_ASKED, len(peers)))

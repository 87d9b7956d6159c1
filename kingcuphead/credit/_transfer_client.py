"""Requests credit transfers from other daemons, one after the other."""

import asyncio
import random
from collections.abc import Callable, Iterator

from loguru import logger

from kingcuphead.credit._transfer import CreditAsked, CreditHanded, TransferEndpoint

#: Seconds to wait for a reply before the request is sent again or abandoned.
REPLY_TIMEOUT_SECONDS = 0.04
#: Maximum number of times that a request is sent to one daemon.
MAX_SENDS = 2
#: Maximum number of daemons asked to cover one shortage.
MAX_PEERS = 12
#: Number of daemons without a reply after which a request is abandoned: most likely
#: this daemon is cut off from the others.
MAX_UNRESPONSIVE_PEERS = 3
#: Seconds for which a daemon that did not reply is skipped.
UNRESPONSIVE_SECONDS = 2.0
#: Seconds for which no transfer is requested for an organisation after all daemons
#: asked had too few tokens together.
SHORTAGE_SECONDS = 0.2

Address = tuple[str, int]


class TransferClient:
    """Sends this daemon's transfer requests and matches replies to them.

    Parameters
    ----------
    endpoint
        Creates the requests and applies the replies.
    send
        Sends a request to a daemon.
    list_peers
        Returns the addresses of the other daemons.
    rng
        Random number generator for the order of the daemons.
    """

    def __init__(
        self,
        endpoint: TransferEndpoint,
        send: Callable[[CreditAsked, Address], None],
        list_peers: Callable[[], tuple[Address, ...]],
        rng: random.Random,
    ) -> None:
        self._endpoint = endpoint
        self._send = send
        self._list_peers = list_peers
        self._rng = rng
        self._pending: dict[int, asyncio.Future[int]] = {}
        self._unresponsive_until: dict[Address, float] = {}
        self._short_until: dict[str, float] = {}

    async def request_credit(self, organisation: str, tokens: int) -> None:
        """Request transfers until enough is received or all chosen peers were asked."""
        now = asyncio.get_running_loop().time()
        if tokens <= 0 or now < self._short_until.get(organisation, 0.0):
            return
        missing = tokens
        peer_count = unresponsive_count = 0
        for peer in self._choose_peers(now):
            peer_count += 1
            missing -= await self._request_from(peer, organisation, missing)
            unresponsive_count += peer in self._unresponsive_until
            if missing <= 0 or unresponsive_count >= MAX_UNRESPONSIVE_PEERS:
                break
        else:
            self._short_until[organisation] = now + SHORTAGE_SECONDS
        logger.bind(organisation=organisation).info(
            "credit borrowed: {} of {} tokens, {} daemons asked",
            tokens - max(0, missing),
            tokens,
            peer_count,
        )

    def handle_reply(self, reply: CreditHanded) -> None:
        """Apply a reply, including one that arrives after the timeout."""
        pending = self._pending.pop(reply.number, None)
        is_applied = self._endpoint.handle_reply(reply)
        if pending is not None and not pending.done():
            pending.set_result(reply.tokens if is_applied else 0)

    async def _request_from(self, peer: Address, organisation: str, tokens: int) -> int:
        """Request tokens from a daemon and return how many it transfers.

        Returns 0 if the daemon does not reply.
        """
        request = self._endpoint.create_request(organisation, tokens)
        loop = asyncio.get_running_loop()
        transferred: asyncio.Future[int] = loop.create_future()
        self._pending[request.number] = transferred
        try:
            for _ in range(MAX_SENDS):
                self._send(request, peer)
                await asyncio.wait([transferred], timeout=REPLY_TIMEOUT_SECONDS)
                if transferred.done():
                    self._unresponsive_until.pop(peer, None)
                    return transferred.result()
        finally:
            self._pending.pop(request.number, None)
        self._unresponsive_until[peer] = loop.time() + UNRESPONSIVE_SECONDS
        return 0

    def _choose_peers(self, now: float) -> Iterator[Address]:
        peers = [
            peer
            for peer in self._list_peers()
            if self._unresponsive_until.get(peer, 0.0) <= now
        ]
        yield from self._rng.sample(peers, min(MAX_PEERS, len(peers)))

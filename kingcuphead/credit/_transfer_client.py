"""Requests credit transfers from other daemons, several at once."""

import asyncio
import dataclasses
import random
from collections.abc import Callable, Iterable

from loguru import logger

from kingcuphead.addresses import Address
from kingcuphead.credit._peer_credit import PeerStatements, PlannedRequest
from kingcuphead.credit._transfer import CreditAsked, CreditHanded, TransferEndpoint
from kingcuphead.frozen import frozen
from kingcuphead.timing import get_time

#: Seconds to wait for a reply before the request is sent again or abandoned.
REPLY_TIMEOUT_SECONDS = 0.04
#: Maximum number of times that a request is sent to one daemon.
MAX_SENDS = 2
#: Maximum number of daemons asked in parallel how much they can transfer.
MAX_PARALLEL_PROBES = 32
#: Maximum number of daemons asked how much they can transfer, in one round.
MAX_PROBES = 96
#: Number of daemons without a reply after which a round is abandoned: most likely this
#: daemon is cut off from the others.
MAX_UNRESPONSIVE_PEERS = 3
#: Seconds for which a daemon that did not reply is skipped.
UNRESPONSIVE_SECONDS = 2.0
#: Seconds after which a round is abandoned.
MAX_ROUND_SECONDS = 0.3
#: Seconds for which no transfer is requested for an organisation after a round that
#: did not receive enough.
SHORTAGE_SECONDS = 0.2


@dataclasses.dataclass(slots=True)
class _Round:
    """The transfers that cover what the requests of one organisation lack now."""

    #: Organisation that pays.
    organisation: str
    #: Time in seconds at which the round is abandoned.
    deadline: float
    #: Tokens that requests lacked when they joined the round.
    wanted: int = 0
    #: Smallest amount that any of these requests lacked.
    least: int = 0
    #: Further tokens to ask for, of what other daemons don't need.
    extra: int = 0
    #: Tokens received.
    received: int = 0
    #: Daemons asked how much they can transfer.
    probed: int = 0
    #: Daemons that sent a reply.
    replied: int = 0
    #: Daemons that did not reply in time.
    unresponsive: int = 0

    @property
    def missing(self) -> int:
        """Tokens that are still missing."""
        return max(0, self.wanted - self.received)

    @property
    def is_cut_off(self) -> bool:
        """Whether no daemon replies, most likely because this one is cut off."""
        return not self.replied and self.unresponsive >= MAX_UNRESPONSIVE_PEERS

    def join(self, tokens: int, extra: int) -> None:
        """Add what one request lacks."""
        if tokens:
            self.least = min(tokens, self.least) if self.wanted else tokens
        self.wanted += tokens
        self.extra = max(self.extra, extra)


@frozen
class _Shortfall:
    """What the other daemons lacked at the end of a round."""

    #: Time in seconds until which it is assumed to last.
    until: float
    #: Tokens that they have together; None if some daemons did not say.
    available: int | None


@frozen
class _Pending:
    """A request that was sent."""

    #: The daemon that was asked.
    peer: Address
    #: The request.
    request: CreditAsked
    #: Round that the request is part of.
    round: _Round
    #: Done once the reply has arrived.
    replied: asyncio.Future[None]


class TransferClient:
    """Sends this daemon's transfer requests and matches replies to them.

    One round of requests runs at a time for each organisation; requests of callers that
    lack credit meanwhile join it.

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
        self._statements = PeerStatements()
        self._pending: dict[int, _Pending] = {}
        self._rounds: dict[str, tuple[_Round, asyncio.Task[bool]]] = {}
        self._unresponsive_until: dict[Address, float] = {}
        self._shortfalls: dict[str, _Shortfall] = {}
        self._no_surplus_until: dict[str, float] = {}

    async def request_credit(
        self, organisation: str, tokens: int, extra: int = 0
    ) -> bool:
        """Request transfers until enough is received or no daemon has more.

        Parameters
        ----------
        organisation
            Organisation that pays.
        tokens
            Tokens that a request lacks.
        extra
            Further tokens, of what other daemons don't need for their own demand.

        Returns
        -------
        bool
            Whether all was received that requests lacked.
        """
        if tokens <= 0:
            return True
        if self._find_shortfall(organisation) is not None:
            return False
        # The round serves other requests too.
        return await asyncio.shield(self._join_round(organisation, tokens, extra))

    def is_certainly_short(self, organisation: str, tokens: int) -> bool:
        """Whether all other daemons have just said that they lack these tokens."""
        shortfall = self._find_shortfall(organisation)
        if shortfall is None or shortfall.available is None:
            return False
        return shortfall.available < tokens

    def prefetch_credit(self, organisation: str, tokens: int) -> None:
        """Request tokens that other daemons don't need, without waiting for them."""
        now = get_time()
        if organisation in self._rounds or tokens <= 0:
            return
        if now >= self._no_surplus_until.get(organisation, 0.0):
            self._no_surplus_until[organisation] = now + SHORTAGE_SECONDS
            self._join_round(organisation, 0, tokens)

    def handle_reply(self, reply: CreditHanded) -> None:
        """Apply a reply, including one that arrives after the timeout."""
        pending = self._pending.pop(reply.number, None)
        is_applied = self._endpoint.handle_reply(reply)
        if pending is None or not is_applied:
            return
        request, round_ = pending.request, pending.round
        round_.received += reply.tokens
        round_.replied += 1
        self._unresponsive_until.pop(pending.peer, None)
        self._statements.record(
            request.organisation, pending.peer, request.tokens, reply, get_time()
        )
        if not pending.replied.done():
            pending.replied.set_result(None)

    def _join_round(
        self, organisation: str, tokens: int, extra: int
    ) -> asyncio.Task[bool]:
        running = self._rounds.get(organisation)
        if running is None:
            round_ = _Round(organisation, get_time() + MAX_ROUND_SECONDS)
            running = round_, asyncio.create_task(self._run_round(round_))
            self._rounds[organisation] = running
        running[0].join(tokens, extra)
        return running[1]

    async def _run_round(self, round_: _Round) -> bool:
        """Run a round; return whether all was received that requests lacked."""
        try:
            # Requests that arrive together join before the first message.
            await asyncio.sleep(0)
            await self._collect(round_)
        finally:
            del self._rounds[round_.organisation]
        if round_.missing:
            self._record_shortfall(round_)
        logger.bind(organisation=round_.organisation).info(
            "credit borrowed: {} of {} tokens; {} daemons replied, {} did not",
            round_.received,
            round_.wanted,
            round_.replied,
            round_.unresponsive,
        )
        return not round_.missing

    def _record_shortfall(self, round_: _Round) -> None:
        now = get_time()
        # A daemon that doesn't reply can't transfer anything either.
        peers, organisation = self._list_responsive_peers(), round_.organisation
        available = None
        unknown = self._statements.list_unknown(organisation, peers, now)
        if round_.replied and not unknown:
            available = sum(self._statements.count_known(organisation, peers, now))
        shortfall = _Shortfall(now + SHORTAGE_SECONDS, available)
        self._shortfalls[organisation] = shortfall

    def _find_shortfall(self, organisation: str) -> _Shortfall | None:
        shortfall = self._shortfalls.get(organisation)
        if shortfall is None or get_time() >= shortfall.until:
            return None
        return shortfall

    async def _collect(self, round_: _Round) -> None:
        """Request what is missing until it is received or no daemon has more."""
        while not round_.is_cut_off and get_time() < round_.deadline:
            peers = self._list_responsive_peers()
            if not self._knows_enough(round_, peers):
                if await self._probe(round_, peers):
                    continue
                if not self._may_serve_one(round_, peers):
                    return
            if await self._request_missing(round_, peers):
                if not round_.missing:
                    return
                continue
            ready_at = self._statements.find_ready_time(
                round_.organisation, peers, get_time()
            )
            if ready_at is None:
                return
            await asyncio.sleep(ready_at - get_time())

    def _knows_enough(self, round_: _Round, peers: tuple[Address, ...]) -> bool:
        """Whether the known free credit of other daemons covers what is missing."""
        now = get_time()
        free, _ = self._statements.count_known(round_.organisation, peers, now)
        return free >= max(1, round_.missing)

    def _may_serve_one(self, round_: _Round, peers: tuple[Address, ...]) -> bool:
        """Whether the known credit may suffice for the smallest waiting request.

        Otherwise the tokens stay where they are, since they may serve requests there.
        """
        now = get_time()
        known = sum(self._statements.count_known(round_.organisation, peers, now))
        return known + round_.received >= max(1, round_.least)

    async def _probe(self, round_: _Round, peers: tuple[Address, ...]) -> bool:
        """Ask some daemons how much they can transfer.

        Returns
        -------
        bool
            Whether any daemon was left to ask.
        """
        unknown = self._statements.list_unknown(round_.organisation, peers, get_time())
        count = min(MAX_PARALLEL_PROBES, MAX_PROBES - round_.probed, len(unknown))
        if count <= 0:
            return False
        round_.probed += count
        chosen = self._rng.sample(unknown, count)
        await self._exchange(
            round_,
            [PlannedRequest(peer) for peer in chosen],
            lambda: self._knows_enough(round_, peers),
        )
        return True

    async def _request_missing(
        self, round_: _Round, peers: tuple[Address, ...]
    ) -> bool:
        """Request what is missing; return False if no daemon is ready to be asked."""
        planned = self._statements.plan_requests(
            round_.organisation, round_.missing or round_.extra, peers, get_time()
        )
        if not planned:
            return False
        if round_.missing:
            extra = round_.extra // len(planned)
            planned = tuple(dataclasses.replace(each, extra=extra) for each in planned)
        else:
            planned = tuple(
                PlannedRequest(each.peer, 0, each.tokens) for each in planned
            )
        await self._exchange(round_, planned, lambda: not round_.missing)
        return True

    async def _exchange(
        self,
        round_: _Round,
        planned: Iterable[PlannedRequest],
        suffices: Callable[[], bool],
    ) -> None:
        """Send requests; wait until replies suffice, all arrived, or the timeout."""
        sent = [self._open(round_, each) for each in planned]
        try:
            for _ in range(MAX_SENDS):
                for each in sent:
                    if not each.replied.done():
                        self._send(each.request, each.peer)
                if await _wait_for_replies(sent, suffices):
                    return
        finally:
            for each in sent:
                self._pending.pop(each.request.number, None)
        self._record_unresponsive(round_, sent)

    def _open(self, round_: _Round, planned: PlannedRequest) -> _Pending:
        request = self._endpoint.create_request(
            round_.organisation, planned.tokens, planned.extra
        )
        replied: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        pending = _Pending(planned.peer, request, round_, replied)
        self._pending[request.number] = pending
        return pending

    def _record_unresponsive(self, round_: _Round, sent: Iterable[_Pending]) -> None:
        until = get_time() + UNRESPONSIVE_SECONDS
        for each in sent:
            if not each.replied.done():
                round_.unresponsive += 1
                self._unresponsive_until[each.peer] = until
                self._statements.forget(round_.organisation, each.peer)

    def _list_responsive_peers(self) -> tuple[Address, ...]:
        now = get_time()
        return tuple(
            peer
            for peer in self._list_peers()
            if self._unresponsive_until.get(peer, 0.0) <= now
        )


async def _wait_for_replies(
    sent: Iterable[_Pending], suffices: Callable[[], bool]
) -> bool:
    """Wait for replies; return False after `REPLY_TIMEOUT_SECONDS`."""
    end = get_time() + REPLY_TIMEOUT_SECONDS
    while True:
        open_ = [each.replied for each in sent if not each.replied.done()]
        if not open_ or suffices():
            return True
        remaining = end - get_time()
        if remaining <= 0:
            return False
        await asyncio.wait(
            open_, timeout=remaining, return_when=asyncio.FIRST_COMPLETED
        )

"""Asks coordinators for permits, and answers the queries of other daemons."""

import asyncio
import dataclasses
import itertools
import random
from collections import Counter
from collections.abc import Callable, Iterable

from kingcuphead.addresses import Address
from kingcuphead.permits._claims import make_claim, name_holder
from kingcuphead.permits._cold import ColdBounds, ColdView, NoColdTargets
from kingcuphead.permits._coordinator import (
    MEMORY_WAIT,
    NO_OWNER,
    Decision,
    PermitClaim,
    PermitCoordinator,
)
from kingcuphead.permits._gate import TargetGate
from kingcuphead.permits._memory import MemoryClaim, compute_memory_share
from kingcuphead.permits._memory_reports import MemoryReports
from kingcuphead.permits._messages import (
    CoordinatorProbed,
    PermitAnswered,
    PermitAsked,
    PermitMessage,
    ProbeAnswered,
    RoomReported,
    TermsReported,
)
from kingcuphead.permits._ranking import ANSWER_TIMEOUT, CoordinatorRanking
from kingcuphead.permits._room import OpenRequests
from kingcuphead.permits._terms import TargetTerms, TermsTable
from kingcuphead.targets import Target, get_target_name
from kingcuphead.timing import get_time

#: Seconds after which a denied permit is asked for again, at the latest; by then a
#: daemon that was cut off may reach the coordinator.
MAX_WAIT = 1.0
#: Seconds after the query within which a permit of a cold target is used.
PERMIT_LIFETIME = 0.2
#: Number of daemons that are asked for one permit before this one decides by itself.
MAX_QUERIES = 2
#: Seconds between two reports of the open requests at targets that are short of room.
REPORT_INTERVAL = 1.0
#: Bits of the random number of a daemon's first message.
FIRST_NUMBER_BITS = 31
#: Upper bound in seconds of the time for which a daemon that hears of no other sends
#: nothing to a brittle target that had no room.
MAX_REJECTION_PAUSE = 5.0


class PermitExchange:
    """The account of what targets take, shared with the other daemons.

    Parameters
    ----------
    own_address
        Address at which this daemon receives datagrams.
    coordinator
        Counts the permits that this daemon grants.
    send
        Sends a message to one daemon, unacknowledged.
    broadcast
        Sends a message to all other daemons, unacknowledged.
    cold_view
        What this daemon knows about cold targets.
    """

    def __init__(
        self,
        own_address: Address,
        coordinator: PermitCoordinator,
        send: Callable[[PermitMessage, Address], None],
        broadcast: Callable[[PermitMessage], None],
        cold_view: ColdView | None = None,
    ) -> None:
        self._own_address = own_address
        self._coordinator = coordinator
        self._send = send
        self._broadcast = broadcast
        self._cold_view: ColdView = cold_view or NoColdTargets()
        self._terms = TermsTable()
        self._gate = TargetGate()
        self._open_requests: Counter[str] = Counter()
        self._memory_reports = MemoryReports()
        # Numbers begin at random, because a late answer may belong to a query of an
        # earlier process at the same address.
        self._numbers = itertools.count(random.getrandbits(FIRST_NUMBER_BITS))
        self._queries: dict[tuple[int, Address], asyncio.Future[Decision]] = {}
        #: Which daemon coordinates the permits of a target.
        self.ranking = CoordinatorRanking(own_address, self._probe)
        #: Whether permits are asked for memory of targets.
        self.bounds_memory = False
        #: Called with each target of which a permit was denied because it is cold.
        self.report_cold_denial: Callable[[Target], None] = lambda target: None

    def apply_cold_bounds(self, bounds: ColdBounds) -> None:
        """Replace the bound on the requests to cold targets."""
        self._coordinator.cold_bounds = bounds

    async def run(self) -> None:
        """Report what this daemon has open at targets until cancelled.

        Also asks the others to confirm this daemon, which grants little before.
        """
        while True:
            await asyncio.sleep(REPORT_INTERVAL)
            if self._cold_view.has_cold_limits or self.bounds_memory:
                self.ranking.probe_unconfirmed(get_time())
            # A report may get lost.
            for target in self._memory_reports.list_repeated():
                self._report_room(target, was_rejected=False)
            for target in self._terms.list_brittle():
                is_reported = self._memory_reports.get(target) is not None
                if self._open_requests[target] and not is_reported:
                    self._report_room(target, was_rejected=False)

    def record_terms(self, target: Target, terms: TargetTerms) -> None:
        """Apply the terms that a target states; tell the other daemons of a change."""
        if self._terms.record(target.incarnation, terms):
            self._broadcast(TermsReported(target.incarnation, terms))

    def pause(self, target: Target, seconds: float) -> None:
        """Send nothing to a target for a time that it asked for."""
        self._gate.close(target, seconds, get_time())

    def select_open(self, targets: Iterable[Target]) -> tuple[Target, ...]:
        """Return those targets that aren't closed for now."""
        now = get_time()
        return tuple(each for each in targets if self._gate.is_open(each, now))

    def select_free(self, targets: Iterable[Target]) -> tuple[Target, ...]:
        """Return those targets to which requests need no permit."""
        return tuple(
            each
            for each in targets
            if self._terms.get(each.incarnation).is_unlimited
            and self._cold_view.find_cold_limit(each) is None
        )

    def get_delay(self, targets: Iterable[Target]) -> float | None:
        """Return the seconds until the first target opens; None if one is open."""
        return self._gate.get_delay(targets, get_time())

    async def claim(
        self, target: Target, memory: MemoryClaim | None = None
    ) -> Decision:
        """Get a permit for one request to a target.

        Parameters
        ----------
        target
            The target.
        memory
            What this daemon holds in its memory; None if it isn't limited, or has room
            in any case.

        Returns
        -------
        Decision
            Whether the request may be sent; `release` has to follow it. If not, the
            target is closed for a while, unless its memory lacks room for the request.
        """
        identity = target.incarnation
        self._open_requests[identity] += 1
        decision = Decision(False)
        try:
            decision = await self._decide_claim(target, memory)
        finally:
            if not decision.is_granted:
                self._open_requests[identity] -= 1
        if not decision.is_granted and not decision.is_full:
            self._gate.close(target, min(decision.wait, MAX_WAIT), get_time())
        return decision

    def release(self, target: Target, was_rejected: bool) -> None:
        """Give back the place of a request that has ended.

        Parameters
        ----------
        target
            Target that it was sent to.
        was_rejected
            Whether the target did not run it.
        """
        identity = target.incarnation
        self._open_requests[identity] -= 1
        terms = self._terms.get(identity)
        if not terms.is_brittle:
            return
        self._report_room(identity, was_rejected)
        if was_rejected and self.ranking.is_isolated(get_time()):
            rejections = max(1, terms.rejections_per_second or 0)
            pause = min(MAX_REJECTION_PAUSE, self.ranking.daemons / rejections)
            self._gate.close(target, pause, get_time())

    def report_memory(self, target: Target, tokens: int) -> None:
        """Report how many tokens this daemon holds in the memory of a target."""
        if self._memory_reports.record(target.incarnation, tokens):
            self._report_room(target.incarnation, was_rejected=False)

    def forget(self, target: Target) -> None:
        """Drop the state of a target that was removed."""
        self._memory_reports.forget(target.incarnation)
        self._terms.forget(target.incarnation)
        self._gate.forget(target)
        if not self._open_requests[target.incarnation]:
            del self._open_requests[target.incarnation]

    def handle_message(self, message: PermitMessage, sender: Address) -> None:
        """Process a message of another daemon."""
        match message:
            case PermitAsked(number):
                claim = make_claim(message, sender)
                decision = self._decide(claim, is_asked=True)
                answer = PermitAnswered(
                    number,
                    decision.is_granted,
                    decision.wait,
                    decision.is_owner,
                    decision.is_full,
                )
                self._send(answer, sender)
            case PermitAnswered(number, is_granted, wait, is_owner, is_full):
                query = self._queries.get((number, sender))
                if query is not None and not query.done():
                    query.set_result(Decision(is_granted, wait, is_owner, is_full))
            case RoomReported():
                self._apply_room(message, sender)
            case CoordinatorProbed():
                self._send(ProbeAnswered(self.ranking.knows(sender)), sender)
            case ProbeAnswered(is_known):
                if is_known:
                    self.ranking.record_confirmation(sender)
            case TermsReported(target, terms):
                self._terms.record(target, terms)

    async def _decide_claim(
        self, target: Target, memory: MemoryClaim | None
    ) -> Decision:
        terms = self._terms.get(target.incarnation)
        limit = self._cold_view.find_cold_limit(target)
        if limit is not None:
            if memory is not None:
                # Asked first: unlike a permit for a cold target, memory is given back.
                decision = await self._ask_fleet(target, TargetTerms(), memory)
                if not decision.is_granted:
                    return decision
            terms = terms.restrict(limit.requests_per_second)
            is_doubtful = not limit.is_certain
            decision = await self._ask_owners(target, terms, is_doubtful)
            if not decision.is_granted:
                self.report_cold_denial(target)
            return decision
        if terms.is_unlimited and memory is None:
            return Decision(True)
        return await self._ask_fleet(target, terms, memory)

    async def _ask_owners(
        self, target: Target, terms: TargetTerms, is_doubtful: bool
    ) -> Decision:
        """Ask the owners of a cold target's permits until one of them decides."""
        count = self._coordinator.cold_bounds.owners
        for address in self.ranking.list_owners(target.name, count):
            query = self._make_query(target, terms, None, is_doubtful)
            if address == self._own_address:
                claim = make_claim(query, address)
                decision: Decision | None = self._decide(claim, is_asked=False)
            elif self.ranking.is_passed_over(address, get_time()):
                continue
            else:
                decision = await self._ask_in_time(address, query)
            if decision is not None and decision.is_owner:
                return decision
        return NO_OWNER

    async def _ask_fleet(
        self, target: Target, terms: TargetTerms, memory: MemoryClaim | None
    ) -> Decision:
        """Ask the coordinator, then the next one; decide alone if none answers."""
        identity = target.incarnation
        for _ in range(MAX_QUERIES):
            address = self.ranking.find_coordinator(identity, get_time())
            if address == self._own_address:
                break
            query = self._make_query(target, terms, memory)
            decision = await self._ask(address, query)
            if decision is not None:
                return decision
            if memory is not None:
                self._memory_reports.mark_doubtful(identity)
        if memory is not None:
            fits = self._fits_unasked(identity, memory)
            if fits is False:
                return Decision(False, MEMORY_WAIT, is_full=True)
            memory = None if fits else memory
        query = self._make_query(target, terms, memory)
        return self._decide(make_claim(query, self._own_address), is_asked=False)

    def _fits_unasked(self, target: str, memory: MemoryClaim) -> bool | None:
        """Return whether a request fits; None if this daemon may coordinate."""
        now = get_time()
        if self.ranking.is_isolated(now):
            return memory.fits_isolated
        if self.ranking.find_coordinator(target, now) != self._own_address:
            return memory.fits_unasked
        return None

    def _make_query(
        self,
        target: Target,
        terms: TargetTerms,
        memory: MemoryClaim | None,
        is_doubtful: bool = False,
    ) -> PermitAsked:
        identity = target.incarnation
        return PermitAsked(
            next(self._numbers),
            identity,
            terms,
            target.slots,
            self._open_requests[identity],
            None if memory is None else memory.tokens,
            None if memory is None else memory.capacity,
            is_doubtful,
        )

    async def _ask(self, address: Address, query: PermitAsked) -> Decision | None:
        """Ask one daemon; None if it doesn't answer."""
        answer: asyncio.Future[Decision] = asyncio.get_running_loop().create_future()
        self._queries[query.number, address] = answer
        self.ranking.record_query(address, get_time())
        self._send(query, address)
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT):
                return await answer
        except TimeoutError:
            return None
        finally:
            del self._queries[query.number, address]

    async def _ask_in_time(
        self, address: Address, query: PermitAsked
    ) -> Decision | None:
        """Ask one daemon; None if it doesn't answer, or this one was late to read it.

        A daemon that was suspended could else use permits of several seconds at once.
        """
        asked_at = get_time()
        decision = await self._ask(address, query)
        return decision if get_time() - asked_at <= PERMIT_LIFETIME else None

    def _decide(self, claim: PermitClaim, is_asked: bool) -> Decision:
        now = get_time()
        if claim.is_doubtful and self._cold_view.is_known_warm(claim.target):
            terms = self._terms.get(claim.target)
            if terms.is_unlimited:
                return Decision(True)
            claim = dataclasses.replace(claim, terms=terms)
        share = self.ranking.compute_share(claim.target, is_asked, now)
        position = None
        if claim.terms.cold_requests_per_second is not None:
            owners = self._coordinator.cold_bounds.owners
            name = get_target_name(claim.target)
            position = self.ranking.find_position(name, owners, now)
        rank = self.ranking.get_position(claim.target)
        memory_share = compute_memory_share(rank, share == 1.0)
        return self._coordinator.decide(claim, share, now, memory_share, position)

    def _report_room(self, target: str, was_rejected: bool) -> None:
        """Tell the coordinator of a target how many requests are open there."""
        report = RoomReported(
            next(self._numbers),
            target,
            self._open_requests[target],
            was_rejected,
            self._memory_reports.get(target),
        )
        receivers = [self.ranking.find_coordinator(target, get_time())]
        if report.memory_tokens is not None:
            receivers += self.ranking.list_observers(target)
        # Without duplicates and in a fixed order, so that simulations are reproducible.
        for address in dict.fromkeys(receivers):
            if address == self._own_address:
                self._apply_room(report, address)
            else:
                self._send(report, address)

    def _apply_room(self, report: RoomReported, sender: Address) -> None:
        holder = name_holder(sender)
        open_requests = OpenRequests(holder, report.number, report.open_requests)
        self._coordinator.record_open_requests(
            report.target, open_requests, report.was_rejected, get_time()
        )
        if report.memory_tokens is not None:
            self._coordinator.record_memory(
                report.target, holder, report.memory_tokens, report.number, get_time()
            )

    def _probe(self, address: Address) -> None:
        self._send(CoordinatorProbed(), address)

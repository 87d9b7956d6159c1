"""Asks coordinators for permits, and answers the questions of other daemons."""

import asyncio
import dataclasses
import itertools
from collections import Counter
from collections.abc import Callable, Iterable

from kingcuphead.permits._cold import ColdBounds, ColdView, NoColdTargets
from kingcuphead.permits._coordinator import (
    NO_HOLDER,
    Decision,
    PermitClaim,
    PermitCoordinator,
)
from kingcuphead.permits._gate import TargetGate
from kingcuphead.permits._messages import (
    CoordinatorProbed,
    PermitAnswered,
    PermitAsked,
    PermitMessage,
    ProbeAnswered,
    RoomReported,
    TermsReported,
)
from kingcuphead.permits._ranking import ANSWER_TIMEOUT, Address, CoordinatorRanking
from kingcuphead.permits._room import OpenRequests
from kingcuphead.permits._terms import TargetTerms, TermsTable
from kingcuphead.targets import Target

#: Seconds after which a denied permit is asked for again, at the latest; by then a
#: daemon that was cut off may reach the coordinator.
MAX_WAIT = 1.0
#: Seconds after the question within which a permit of a cold target is used.
PERMIT_LIFETIME = 0.2
#: Number of daemons that are asked for one permit before this one decides by itself.
MAX_QUESTIONS = 2
#: Seconds between two reports of the open requests at targets that are short of room.
REPORT_INTERVAL = 1.0
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
        self._numbers = itertools.count(1)
        self._questions: dict[int, asyncio.Future[Decision]] = {}
        #: Which daemon coordinates the permits of a target.
        self.ranking = CoordinatorRanking(own_address, self._probe)
        #: Called with each target of which a permit was denied because it is cold.
        self.report_cold_denial: Callable[[Target], None] = lambda target: None

    def apply_cold_bounds(self, bounds: ColdBounds) -> None:
        """Replace the bound on the requests to cold targets."""
        self._coordinator.cold_bounds = bounds

    async def run(self) -> None:
        """Report the open requests at brittle targets until cancelled.

        Prepares this daemon for questions about cold targets, too.
        """
        while True:
            await asyncio.sleep(REPORT_INTERVAL)
            if self._cold_view.has_cold_limits:
                self.ranking.probe_unconfirmed(_get_time())
            for target in self._terms.list_brittle():
                if self._open_requests[target]:
                    self._report_room(target, was_rejected=False)

    def record_terms(self, target: Target, terms: TargetTerms) -> None:
        """Apply the terms that a target states; tell the other daemons of a change."""
        if self._terms.record(target.incarnation, terms):
            self._broadcast(TermsReported(target.incarnation, terms))

    def pause(self, target: Target, seconds: float) -> None:
        """Send nothing to a target for a time that it asked for."""
        self._gate.close(target, seconds, _get_time())

    def select_open(self, targets: Iterable[Target]) -> tuple[Target, ...]:
        """Return those targets that aren't closed for now."""
        now = _get_time()
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
        return self._gate.get_delay(targets, _get_time())

    async def claim(self, target: Target) -> bool:
        """Get a permit for one request to a target.

        Returns
        -------
        bool
            Whether the request may be sent; `release` has to follow it. If not, the
            target is closed until the next permit may be had.
        """
        identity = target.incarnation
        self._open_requests[identity] += 1
        decision = Decision(False)
        try:
            decision = await self._decide_claim(target)
        finally:
            if not decision.is_granted:
                self._open_requests[identity] -= 1
        if not decision.is_granted:
            self._gate.close(target, min(decision.wait, MAX_WAIT), _get_time())
        return decision.is_granted

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
        if was_rejected and self.ranking.is_isolated(_get_time()):
            rejections = max(1, terms.rejections_per_second or 0)
            pause = min(MAX_REJECTION_PAUSE, self.ranking.daemons / rejections)
            self._gate.close(target, pause, _get_time())

    def forget(self, target: Target) -> None:
        """Drop the state of a target that was removed."""
        self._terms.forget(target.incarnation)
        self._gate.forget(target)
        if not self._open_requests[target.incarnation]:
            del self._open_requests[target.incarnation]

    def handle_message(self, message: PermitMessage, sender: Address) -> None:
        """Process a message of another daemon."""
        match message:
            case PermitAsked(number):
                claim = _make_claim(message, sender)
                decision = self._decide(claim, is_asked=True)
                answer = PermitAnswered(
                    number, decision.is_granted, decision.wait, decision.is_holder
                )
                self._send(answer, sender)
            case PermitAnswered(number, is_granted, wait, is_holder):
                question = self._questions.get(number)
                if question is not None and not question.done():
                    question.set_result(Decision(is_granted, wait, is_holder))
            case RoomReported():
                self._apply_room(message, sender)
            case CoordinatorProbed():
                self._send(ProbeAnswered(self.ranking.knows(sender)), sender)
            case ProbeAnswered(is_known):
                if is_known:
                    self.ranking.record_confirmation(sender)
            case TermsReported(target, terms):
                self._terms.record(target, terms)

    async def _decide_claim(self, target: Target) -> Decision:
        terms = self._terms.get(target.incarnation)
        limit = self._cold_view.find_cold_limit(target)
        if limit is not None:
            terms = terms.restrict(limit.requests_per_second)
            is_doubtful = not limit.is_certain
            decision = await self._ask_holders(target, terms, is_doubtful)
            if not decision.is_granted:
                self.report_cold_denial(target)
            return decision
        if terms.is_unlimited:
            return Decision(True)
        return await self._ask_fleet(target, terms)

    async def _ask_holders(
        self, target: Target, terms: TargetTerms, is_doubtful: bool
    ) -> Decision:
        """Ask the owners of a cold target's permits until one of them decides."""
        identity = target.incarnation
        count = self._coordinator.cold_bounds.holders
        for address in self.ranking.list_holders(identity, count):
            question = self._make_question(target, terms, is_doubtful)
            if address == self._own_address:
                claim = _make_claim(question, address)
                decision: Decision | None = self._decide(claim, is_asked=False)
            elif self.ranking.is_passed_over(address, _get_time()):
                continue
            else:
                decision = await self._ask_in_time(address, question)
            if decision is not None and decision.is_holder:
                return decision
        return NO_HOLDER

    async def _ask_fleet(self, target: Target, terms: TargetTerms) -> Decision:
        """Ask the coordinator, then the next one; decide alone if none answers."""
        identity = target.incarnation
        for _ in range(MAX_QUESTIONS):
            address = self.ranking.find_coordinator(identity, _get_time())
            if address == self._own_address:
                break
            decision = await self._ask(address, self._make_question(target, terms))
            if decision is not None:
                return decision
        question = self._make_question(target, terms)
        return self._decide(_make_claim(question, self._own_address), is_asked=False)

    def _make_question(
        self, target: Target, terms: TargetTerms, is_doubtful: bool = False
    ) -> PermitAsked:
        identity = target.incarnation
        return PermitAsked(
            next(self._numbers),
            identity,
            terms,
            target.slots,
            self._open_requests[identity],
            is_doubtful,
        )

    async def _ask(self, address: Address, question: PermitAsked) -> Decision | None:
        """Ask one daemon; None if it doesn't answer."""
        answer: asyncio.Future[Decision] = asyncio.get_running_loop().create_future()
        self._questions[question.number] = answer
        self.ranking.record_question(address, _get_time())
        self._send(question, address)
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT):
                return await answer
        except TimeoutError:
            return None
        finally:
            del self._questions[question.number]

    async def _ask_in_time(
        self, address: Address, question: PermitAsked
    ) -> Decision | None:
        """Ask one daemon; None if it doesn't answer, or this one was late to read it.

        A daemon that was suspended could else use permits of several seconds at once.
        """
        asked_at = _get_time()
        decision = await self._ask(address, question)
        return decision if _get_time() - asked_at <= PERMIT_LIFETIME else None

    def _decide(self, claim: PermitClaim, is_asked: bool) -> Decision:
        now = _get_time()
        if claim.is_doubtful and self._cold_view.is_known_warm(claim.target):
            terms = self._terms.get(claim.target)
            if terms.is_unlimited:
                return Decision(True)
            claim = dataclasses.replace(claim, terms=terms)
        share = self.ranking.compute_share(claim.target, is_asked, now)
        position = None
        if claim.terms.cold_requests_per_second is not None:
            holders = self._coordinator.cold_bounds.holders
            position = self.ranking.find_position(claim.target, holders, now)
        return self._coordinator.decide(claim, share, now, position)

    def _report_room(self, target: str, was_rejected: bool) -> None:
        """Tell the coordinator of a target how many requests are open there."""
        report = RoomReported(
            next(self._numbers), target, self._open_requests[target], was_rejected
        )
        address = self.ranking.find_coordinator(target, _get_time())
        if address == self._own_address:
            self._apply_room(report, address)
        else:
            self._send(report, address)

    def _apply_room(self, report: RoomReported, sender: Address) -> None:
        holder = _name_holder(sender)
        open_requests = OpenRequests(holder, report.number, report.open_requests)
        self._coordinator.record_open_requests(
            report.target, open_requests, report.was_rejected, _get_time()
        )

    def _probe(self, address: Address) -> None:
        self._send(CoordinatorProbed(), address)


def _make_claim(question: PermitAsked, sender: Address) -> PermitClaim:
    holder = _name_holder(sender)
    open_requests = OpenRequests(holder, question.number, question.open_requests)
    return PermitClaim(
        question.target,
        question.terms,
        question.slots,
        open_requests,
        question.is_doubtful,
    )


def _name_holder(address: Address) -> str:
    host, port = address
    return f"{host}:{port}"


def _get_time() -> float:
    return asyncio.get_running_loop().time()

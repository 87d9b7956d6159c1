"""Asks coordinators for permits, and answers the questions of other daemons."""

import asyncio
import itertools
from collections.abc import Callable, Iterable
from typing import Protocol

from kingcuphead.permits._coordinator import Decision, PermitCoordinator
from kingcuphead.permits._gate import TargetGate
from kingcuphead.permits._messages import (
    CoordinatorProbed,
    PermitAnswered,
    PermitAsked,
    PermitMessage,
    ProbeAnswered,
    TermsReported,
)
from kingcuphead.permits._ranking import ANSWER_TIMEOUT, Address, CoordinatorRanking
from kingcuphead.permits._terms import TargetTerms, TermsTable
from kingcuphead.targets import Target

#: Seconds after which a denied permit is asked for again, at the latest; by then a
#: daemon that was cut off may reach the coordinator.
MAX_WAIT = 1.0
#: Number of daemons that are asked for one permit before this one decides by itself.
MAX_QUESTIONS = 2


class Sender(Protocol):
    """Sends a message to one daemon, unacknowledged."""

    def __call__(self, message: PermitMessage, receiver: Address) -> None:
        """Send the message."""


class PermitExchange:
    """The account of what targets take, shared with the other daemons.

    Parameters
    ----------
    own_address
        Address at which this daemon receives datagrams.
    coordinator
        Counts the permits that this daemon grants.
    send
        Sends a message to one daemon.
    broadcast
        Sends a message to all other daemons.
    """

    def __init__(
        self,
        own_address: Address,
        coordinator: PermitCoordinator,
        send: Sender,
        broadcast: Callable[[PermitMessage], None],
    ) -> None:
        self._own_address = own_address
        self._coordinator = coordinator
        self._send = send
        self._broadcast = broadcast
        self._terms = TermsTable()
        self._gate = TargetGate()
        self._numbers = itertools.count(1)
        self._questions: dict[int, asyncio.Future[Decision]] = {}
        #: Which daemon coordinates the permits of a target.
        self.ranking = CoordinatorRanking(own_address, self._probe)

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

    def get_delay(self, targets: Iterable[Target]) -> float | None:
        """Return the seconds until the first target opens; None if one is open."""
        return self._gate.get_delay(targets, _get_time())

    async def claim(self, target: Target) -> bool:
        """Get a permit for one request to a target.

        Returns
        -------
        bool
            Whether the request may be sent. If not, the target is closed until the
            next permit may be had.
        """
        terms = self._terms.get(target.incarnation)
        if terms.is_unlimited:
            return True
        decision = await self._ask_fleet(target.incarnation, terms)
        if not decision.is_granted:
            self._gate.close(target, min(decision.wait, MAX_WAIT), _get_time())
        return decision.is_granted

    def forget(self, target: Target) -> None:
        """Drop the state of a target that was removed."""
        self._terms.forget(target.incarnation)
        self._gate.forget(target)

    def handle_message(self, message: PermitMessage, sender: Address) -> None:
        """Process a message of another daemon."""
        match message:
            case PermitAsked(number, target, terms):
                decision = self._decide(target, terms, is_asked=True)
                self._send(
                    PermitAnswered(number, decision.is_granted, decision.wait), sender
                )
            case PermitAnswered(number, is_granted, wait):
                question = self._questions.get(number)
                if question is not None and not question.done():
                    question.set_result(Decision(is_granted, wait))
            case CoordinatorProbed():
                self._send(ProbeAnswered(self.ranking.knows(sender)), sender)
            case ProbeAnswered(is_known):
                if is_known:
                    self.ranking.record_confirmation(sender)
            case TermsReported(target, terms):
                self._terms.record(target, terms)

    async def _ask_fleet(self, target: str, terms: TargetTerms) -> Decision:
        """Ask the coordinator, then the next one; decide alone if none answers."""
        for _ in range(MAX_QUESTIONS):
            address = self.ranking.find_coordinator(target, _get_time())
            if address == self._own_address:
                break
            decision = await self._ask(address, target, terms)
            if decision is not None:
                return decision
        return self._decide(target, terms, is_asked=False)

    async def _ask(
        self, address: Address, target: str, terms: TargetTerms
    ) -> Decision | None:
        """Ask one daemon; None if it doesn't answer."""
        number = next(self._numbers)
        answer: asyncio.Future[Decision] = asyncio.get_running_loop().create_future()
        self._questions[number] = answer
        self.ranking.record_question(address, _get_time())
        self._send(PermitAsked(number, target, terms), address)
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT):
                return await answer
        except TimeoutError:
            return None
        finally:
            del self._questions[number]

    def _decide(self, target: str, terms: TargetTerms, is_asked: bool) -> Decision:
        now = _get_time()
        share = self.ranking.compute_share(target, is_asked, now)
        return self._coordinator.decide(target, terms, share, now)

    def _probe(self, address: Address) -> None:
        self._send(CoordinatorProbed(), address)


def _get_time() -> float:
    return asyncio.get_running_loop().time()

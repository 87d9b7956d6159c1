"""Daemons that ask each other for permits before they fill the memory of engines."""

import itertools
import random

from kingcuphead.dispatch.tests._fleet import PlayedDaemon
from kingcuphead.permits import PermitCoordinator, TargetTerms
from kingcuphead.permits._coordinator import Decision, PermitClaim
from kingcuphead.permits._exchange import MAX_QUERIES, REPORT_INTERVAL
from kingcuphead.permits._memory import MemoryClaim, compute_memory_share
from kingcuphead.permits._ranking import ANSWER_TIMEOUT, CoordinatorRanking
from kingcuphead.permits._room import OpenRequests

TERMS = TargetTerms()
MAX_CLAIMS = 8


class CoordinatedDaemon(PlayedDaemon):
    """A daemon with the parts of a permit exchange that count memory."""

    def __init__(self, fleet, number, settings):
        super().__init__(fleet, number, settings)
        self.ranking = CoordinatorRanking(self.address, self._probe)
        self.coordinator = PermitCoordinator(random.Random(number))
        self.dispatcher.report_memory = self._report_memory
        self._held: dict[str, int] = {}
        self._memory_numbers = itertools.count(1)
        fleet.schedule(fleet.now + REPORT_INTERVAL * number / 67, self._repeat)

    def choose(self, request):
        full: list[str] = []
        for _ in range(MAX_CLAIMS):
            placement = self.dispatcher.place(
                request.placement_request, self._fleet.targets, full, self._fleet.now
            )
            if placement is None or self._claim(placement).is_granted:
                if placement is not None and placement.needs_permit:
                    self.dispatcher.confirm(placement)
                return placement
            self.dispatcher.withdraw(placement)
            full.append(placement.target.name)
        return None

    def _claim(self, placement):
        memory, now = placement.memory, self._fleet.now
        if not placement.needs_permit:
            return Decision(True)
        name = placement.target.name
        claim = PermitClaim(
            name,
            TERMS,
            placement.target.slots,
            OpenRequests(str(self.address), next(self._memory_numbers), 1),
            MemoryClaim(memory.held_tokens, memory.capacity, memory.fits_unasked),
        )
        for _ in range(MAX_QUERIES):
            address = self.ranking.find_coordinator(name, now)
            if address == self.address:
                break
            other = self._fleet.find(address)
            if not self._fleet.loses(self, other):
                other.ranking.record_message(self.address, now)
                decision = other.decide(claim, is_asked=True)
                if not self._fleet.loses(other, self):
                    self.ranking.record_message(address, now)
                    return decision
            self.ranking.record_query(address, now - ANSWER_TIMEOUT)
        if self.ranking.is_isolated(now):
            return Decision(memory.fits_isolated)
        if self.ranking.find_coordinator(name, now) != self.address:
            return Decision(memory.fits_unasked)
        return self.decide(claim, is_asked=False)

    def decide(self, claim, is_asked):
        now = self._fleet.now
        share = self.ranking.compute_share(claim.target, is_asked, now)
        position = self.ranking.get_position(claim.target)
        memory_share = compute_memory_share(position, share == 1.0)
        return self.coordinator.decide(claim, share, now, memory_share)

    def _report_memory(self, target, tokens):
        self._held[target.name] = tokens
        self._send_memory(target.name)

    def _repeat(self):
        self.ranking.probe_unconfirmed(self._fleet.now)
        for name in self._held:
            self._send_memory(name)
        self._fleet.schedule(self._fleet.now + REPORT_INTERVAL, self._repeat)

    def _send_memory(self, name):
        receivers = [self.ranking.find_coordinator(name, self._fleet.now)]
        receivers += self.ranking.list_observers(name)
        message = (name, self._held[name], next(self._memory_numbers))
        for address in dict.fromkeys(receivers):
            if address == self.address:
                self.record_memory((self, message), self._fleet.now)
            else:
                other = self._fleet.find(address)
                self._fleet.send(self, other, other.record_memory, (self, message))

    def record_memory(self, sent, now):
        sender, (name, tokens, number) = sent
        self.ranking.record_message(sender.address, now)
        self.coordinator.record_memory(name, str(sender.address), tokens, number, now)

    def _probe(self, address):
        other, now = self._fleet.find(address), self._fleet.now
        if self._fleet.loses(self, other) or self._fleet.loses(other, self):
            return
        other.ranking.record_message(self.address, now)
        self.ranking.record_message(address, now)
        self.ranking.record_confirmation(address)

"""Daemons that grant each other permits of one target, on a simulated clock."""

import random

from kingcuphead.permits import PermitCoordinator, TargetTerms
from kingcuphead.permits._coordinator import PermitClaim
from kingcuphead.permits._exchange import MAX_WAIT
from kingcuphead.permits._ranking import ANSWER_TIMEOUT, CoordinatorRanking
from kingcuphead.permits._room import OpenRequests

TARGET = "t1@1"
#: Seconds between two polls of the list of daemons, and between two rounds of gossip.
POLL_INTERVAL = 5.0
GOSSIP_INTERVAL = 0.5
MAX_RECEIVERS = 12


class SimulatedDaemon:
    """The parts of a daemon that decide about permits.

    Parameters
    ----------
    address
        Address of the daemon.
    fleet
        Delivers its messages.
    """

    def __init__(self, address, fleet):
        self._fleet = fleet
        self.address = address
        self.is_cut = False
        self.ranking = CoordinatorRanking(address, self._probe)
        self.coordinator = PermitCoordinator(fleet.rng)
        self.next_poll = fleet.now
        self.closed_until = fleet.now
        self.peers: tuple[tuple[str, int], ...] = ()

    def poll(self):
        self.peers = tuple(self._fleet.listed - {self.address})
        self.ranking.apply_peers(self.peers, self._fleet.now)

    def decide(self, terms, is_asked):
        share = self.ranking.compute_share(TARGET, is_asked, self._fleet.now)
        claim = PermitClaim(TARGET, terms, 8, OpenRequests("d", 1, 1))
        return self.coordinator.decide(claim, share, self._fleet.now)

    def claim(self, terms):
        """Return whether a request may be sent to the target."""
        if self.closed_until > self._fleet.now:
            return False
        decision = self._ask(terms)
        if not decision.is_granted:
            self.closed_until = self._fleet.now + min(decision.wait, MAX_WAIT)
        return decision.is_granted

    def _ask(self, terms):
        now = self._fleet.now
        for _ in range(2):
            address = self.ranking.find_coordinator(TARGET, now)
            if address == self.address:
                break
            other = self._fleet.find_reachable(self, address)
            if other is not None:
                other.ranking.record_message(self.address, now)
                decision = other.decide(terms, is_asked=True)
                self.ranking.record_message(address, now)
                return decision
            self.ranking.record_query(address, now - ANSWER_TIMEOUT)
        return self.decide(terms, is_asked=False)

    def _probe(self, address):
        now = self._fleet.now
        other = self._fleet.find_reachable(self, address)
        if other is None:
            return
        other.ranking.record_message(self.address, now)
        self.ranking.record_message(address, now)
        if other.ranking.knows(self.address):
            self.ranking.record_confirmation(address)


class SimulatedFleet:
    """Daemons with a common list, of which each one has a copy of its own.

    Parameters
    ----------
    size
        Number of daemons.
    limit
        Requests per second that the target states.
    seed
        Seed of all random choices.
    """

    def __init__(self, size, limit, seed):
        self.rng = random.Random(seed)
        self.now = 0.0
        self.terms = TargetTerms(limit)
        self.daemons: dict[tuple[str, int], SimulatedDaemon] = {}
        self.listed = set()
        #: When requests were sent to the target, in seconds.
        self.sent_at = []
        for number in range(size):
            self.add(number)
        for daemon in self.daemons.values():
            daemon.poll()
            daemon.next_poll = self.rng.uniform(0, POLL_INTERVAL)

    def add(self, number):
        """Start a daemon and put it into the list."""
        address = (f"10.0.{number // 250}.{number % 250}", 1)
        self.listed.add(address)
        self.daemons[address] = SimulatedDaemon(address, self)

    def find_coordinator(self):
        """Return the address of the daemon that most of the others ask."""
        asked = [
            daemon.ranking.find_coordinator(TARGET, self.now)
            for daemon in self.daemons.values()
        ]
        return max(set(asked), key=asked.count)

    def find_reachable(self, sender, address):
        """Return the receiver of a datagram; None if it gets lost."""
        receiver = self.daemons.get(address)
        if receiver is None or receiver.is_cut or sender.is_cut:
            return None
        return receiver

    def run(self, seconds, callers, requests_per_second=100):
        """Send requests to the daemons that have callers."""
        steps = round(seconds * requests_per_second)
        for number in range(steps):
            self.now += 1 / requests_per_second
            self._tick(number, requests_per_second)
            daemon = self.daemons.get(self.rng.choice(callers))
            if daemon is not None and daemon.claim(self.terms):
                self.sent_at.append(self.now)

    def _tick(self, number, requests_per_second):
        for daemon in tuple(self.daemons.values()):
            if daemon.next_poll <= self.now:
                daemon.poll()
                daemon.next_poll = self.now + POLL_INTERVAL
        if number % round(GOSSIP_INTERVAL * requests_per_second):
            return
        for daemon in self.daemons.values():
            count = min(len(daemon.peers), MAX_RECEIVERS)
            for peer in self.rng.sample(daemon.peers, count):
                receiver = self.find_reachable(daemon, peer)
                if receiver is not None:
                    receiver.ranking.record_message(daemon.address, self.now)

    def count_most(self, window):
        """Return the most requests that were sent in some window."""
        return max(
            sum(start <= each < start + window for each in self.sent_at)
            for start in self.sent_at
        )

    def count_last(self, window):
        """Return the requests that were sent in the last window."""
        return sum(each >= self.now - window for each in self.sent_at)

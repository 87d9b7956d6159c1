"""Which daemon coordinates the permits of a target, and with what share of them.

All daemons rank each other for a target by rendezvous hashing, and ask the first one
that answers. Two daemons may take themselves for the coordinator while their lists of
daemons differ, or when one of them is slow to answer. So a daemon grants the whole
limit of the target only if it is certain to be the only one.
"""

import hashlib
from collections.abc import Callable, Iterable

from kingcuphead.addresses import Address

#: Seconds after which a daemon that has not answered is passed over.
ANSWER_TIMEOUT = 0.05
#: Seconds of silence after which a daemon is taken for lost; another one then grants
#: the whole.
LOSS_TIMEOUT = 4.0
#: Seconds without any message after which a daemon takes itself for cut off.
CONTACT_TIMEOUT = 1.5
#: Seconds from the first message after that until it can tell which daemons are lost.
SETTLING_PERIOD = 1.0
#: Seconds between two probes of one daemon.
PROBE_INTERVAL = 0.5
#: Share that a daemon grants while another one may grant the whole. With it the two
#: together stay below one and a half times the target's limit.
UNCERTAIN_SHARE = 0.4
#: Sum of the shares of daemons that don't hear of each other; the rest is for the one
#: that has not noticed yet that the others no longer ask it.
ISOLATED_SHARE = 0.75
#: Seconds for which a daemon that is no longer listed keeps its place in the order of
#: the owners of cold targets' permits. A restored store may have lost the row of a
#: daemon that lives; that daemon writes it again within two polls of the list.
DEPARTURE_PERIOD = 12.0
#: Seconds between two probes of a daemon that has not confirmed that it knows this one.
CONFIRMATION_INTERVAL = 5.0
#: Number of daemons that are told what is held at a target, so that the second one can
#: take over.
OBSERVERS = 2
#: Number of targets whose order of daemons is kept.
MAX_RANKED_TARGETS = 512
#: Number of daemons that is assumed before the list of daemons was read.
ASSUMED_DAEMONS = 12


class CoordinatorRanking:
    """Ranks the daemons for each target; does no I/O of its own.

    Parameters
    ----------
    own_address
        Address of this daemon.
    probe
        Sends a probe to a daemon.
    """

    def __init__(self, own_address: Address, probe: Callable[[Address], None]) -> None:
        self._own_address = own_address
        self._probe = probe
        self._peers: frozenset[Address] | None = None
        self._is_leaving = False
        self._silent_since: dict[Address, float] = {}
        self._probed_at: dict[Address, float] = {}
        self._confirmed: set[Address] = set()
        self._heard_at = float("-inf")
        self._in_contact_since = float("-inf")
        self._ranks: dict[str, tuple[Address, ...]] = {}
        #: When daemons were last listed that no longer are.
        self._departed: dict[Address, float] = {}

    @property
    def daemons(self) -> int:
        """Number of daemons, this one included."""
        return ASSUMED_DAEMONS if self._peers is None else len(self._peers) + 1

    def apply_peers(self, peers: Iterable[Address], now: float) -> None:
        """Replace the list of the other daemons."""
        peers = frozenset(peers)
        for address in (self._peers or frozenset()) - peers:
            self._departed[address] = now
        for address in peers:
            self._departed.pop(address, None)
        self._peers = peers
        self._ranks.clear()
        for state in (self._silent_since, self._probed_at):
            for address in state.keys() - self._peers:
                del state[address]
        self._confirmed &= self._peers

    def knows(self, address: Address) -> bool:
        """Whether a daemon is in the list."""
        return self._peers is not None and address in self._peers

    def begin_leaving(self) -> None:
        """Leave the whole to the daemon that is ranked next."""
        self._is_leaving = True

    def record_message(self, sender: Address, now: float) -> None:
        """Record that a daemon lives."""
        if self.is_isolated(now):
            # Silence while this daemon was cut off says nothing about the others.
            self._silent_since.clear()
            self._probed_at.clear()
            self._in_contact_since = now
        self._silent_since.pop(sender, None)
        self._heard_at = now

    def record_confirmation(self, sender: Address) -> None:
        """Record that this daemon is in the list of another one."""
        self._confirmed.add(sender)

    def record_query(self, receiver: Address, now: float) -> None:
        """Record that a daemon was asked something; it is silent until it answers."""
        self._silent_since.setdefault(receiver, now)

    def is_isolated(self, now: float) -> bool:
        """Whether there are other daemons, and none was heard of lately."""
        return self._peers != frozenset() and now - self._heard_at > CONTACT_TIMEOUT

    def find_coordinator(self, target: str, now: float) -> Address:
        """Return the daemon to ask: the first one that isn't silent, or this one."""
        if self.is_isolated(now):
            return self._own_address
        for address in self._rank(target):
            if address == self._own_address or not self._is_silent(
                address, ANSWER_TIMEOUT, now
            ):
                return address
            self._probe_if_due(address, now)
        return self._own_address

    def compute_share(self, target: str, is_asked: bool, now: float) -> float:
        """Return the share of the target's limit that this daemon may grant.

        Parameters
        ----------
        target
            Incarnation of the target.
        is_asked
            Whether another daemon asks, rather than this one.
        now
            Current time in seconds.
        """
        if self._peers is not None and not self._peers:
            return 1.0
        ranks = self._rank(target)
        position = ranks.index(self._own_address)
        before, after = ranks[:position], ranks[position + 1 :]
        if self.is_isolated(now):
            self._probe_first(ranks, now)
            return ISOLATED_SHARE / self.daemons
        if not all(self._is_lost(address, now) for address in before):
            return UNCERTAIN_SHARE if is_asked else ISOLATED_SHARE / self.daemons
        is_settled = now - self._in_contact_since >= SETTLING_PERIOD
        if self._is_leaving or not is_settled or not self._is_confirmed(after, now):
            return UNCERTAIN_SHARE
        return 1.0

    def list_owners(self, target: str, count: int) -> tuple[Address, ...]:
        """Return the daemons to ask for permits of a cold target, in order."""
        return self._rank(target)[:count]

    def is_passed_over(self, address: Address, now: float) -> bool:
        """Whether a daemon is silent; it is probed until it answers."""
        is_silent = self._is_silent(address, ANSWER_TIMEOUT, now)
        if is_silent:
            self._probe_if_due(address, now)
        return is_silent

    def find_position(self, target: str, count: int, now: float) -> int | None:
        """Return this daemon's position among the owners of a cold target's permits.

        A daemon whose list lacks this one takes itself for the owner of the part before
        its own. So a part is only used once those after it confirm that they know this
        daemon, whether they can be reached later or not.

        Parameters
        ----------
        target
            Name of the target.
        count
            Number of daemons that own a part.
        now
            Current time in seconds.

        Returns
        -------
        int or None
            The position; None if this daemon owns no part.
        """
        if self._peers is None or self._is_leaving:
            return None
        ranks = self._rank_with_departed(target, now)
        position = ranks.index(self._own_address)
        if position >= count:
            return None
        unconfirmed = [
            address
            for address in ranks[position + 1 : count + 1]
            if address in self._peers and address not in self._confirmed
        ]
        for address in unconfirmed:
            self._probe_if_due(address, now)
        return None if unconfirmed else position

    def probe_unconfirmed(self, now: float) -> None:
        """Ask daemons whether they know this one, before it matters.

        Those that have crashed by then can't confirm it any more.
        """
        # Sorted, so that simulations are reproducible by their seed.
        for address in sorted((self._peers or frozenset()) - self._confirmed):
            probed_at = self._probed_at.get(address, float("-inf"))
            if now - probed_at >= CONFIRMATION_INTERVAL:
                self._probe_if_due(address, now)

    def _rank_with_departed(self, target: str, now: float) -> tuple[Address, ...]:
        ranks = self._rank(target)
        if not self._departed:
            return ranks
        self._departed = {
            address: departed_at
            for address, departed_at in self._departed.items()
            if now - departed_at < DEPARTURE_PERIOD
        }
        addresses = {*ranks, *self._departed}
        return tuple(sorted(addresses, key=lambda each: _score(target, each)))

    def list_observers(self, target: str) -> tuple[Address, ...]:
        """Return the daemons that may coordinate a target now or next."""
        return self._rank(target)[:OBSERVERS]

    def get_position(self, target: str) -> int:
        """Return the number of daemons that are ranked before this one."""
        return self._rank(target).index(self._own_address)

    def _is_confirmed(self, after: tuple[Address, ...], now: float) -> bool:
        """Whether the daemon that would coordinate without this one knows of it."""
        for address in after:
            if address in self._confirmed:
                return True
            if not self._is_lost(address, now):
                return False
        return True

    def _is_lost(self, address: Address, now: float) -> bool:
        """Whether a daemon has been silent for long; probe it as long as it matters."""
        self._probe_if_due(address, now)
        return self._is_silent(address, LOSS_TIMEOUT, now)

    def _is_silent(self, address: Address, seconds: float, now: float) -> bool:
        since = self._silent_since.get(address)
        return since is not None and now - since >= seconds

    def _probe_first(self, ranks: tuple[Address, ...], now: float) -> None:
        for address in ranks[:3]:
            if address != self._own_address:
                self._probe_if_due(address, now)

    def _probe_if_due(self, address: Address, now: float) -> None:
        if now - self._probed_at.get(address, float("-inf")) < PROBE_INTERVAL:
            return
        self._probed_at[address] = now
        self.record_query(address, now)
        self._probe(address)

    def _rank(self, target: str) -> tuple[Address, ...]:
        """Return all daemons in rendezvous order, this one included."""
        if target not in self._ranks:
            if len(self._ranks) >= MAX_RANKED_TARGETS:
                self._ranks.clear()
            addresses = {self._own_address, *(self._peers or ())}
            ranks = sorted(addresses, key=lambda each: _score(target, each))
            self._ranks[target] = tuple(ranks)
        return self._ranks[target]


def _score(target: str, address: Address) -> bytes:
    """Return the rendezvous score of a daemon for a target."""
    host, port = address
    key = f"{target}\0{host}:{port}".encode()
    return hashlib.blake2b(key, digest_size=8).digest()

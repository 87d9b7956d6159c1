"""Which other daemons can help one that has lost its path to targets."""

import random

from kingcuphead.addresses import Address

#: Seconds for which what another daemon says of its path counts.
REPORT_LIFETIME = 2.0
#: Seconds for which a daemon that could not help is passed over.
FAILURE_PERIOD = 1.0
#: Seconds for which a daemon that didn't answer is passed over, unless it is heard of.
#: The rows of daemons that are lost for good remain, so it would be asked each time.
SILENCE_PERIOD = 10.0


class PeerPaths:
    """What is known of the paths of the other daemons; does no I/O.

    Parameters
    ----------
    rng
        Chooses among daemons that are equally likely to help.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._peers: tuple[Address, ...] = ()
        self._reaching_at: dict[Address, float] = {}
        self._failed_at: dict[Address, float] = {}
        self._silent_since: dict[Address, float] = {}

    def apply_peers(self, peers: tuple[Address, ...]) -> None:
        """Replace the list of the other daemons."""
        self._peers = peers
        for state in (self._reaching_at, self._failed_at, self._silent_since):
            for address in state.keys() - set(peers):
                del state[address]

    def record_report(self, peer: Address, is_cut_off: bool, now: float) -> None:
        """Record what another daemon says of its path."""
        self._silent_since.pop(peer, None)
        if is_cut_off:
            self._reaching_at.pop(peer, None)
            self._failed_at[peer] = now
        else:
            self._reaching_at[peer] = now

    def record_failure(self, peer: Address, now: float) -> None:
        """Record that a daemon could not help."""
        self._failed_at[peer] = now

    def record_silence(self, peer: Address, now: float) -> None:
        """Record that a daemon didn't answer; it may be frozen or lost for good."""
        self._reaching_at.pop(peer, None)
        self._silent_since[peer] = now

    def list_helpers(self, now: float) -> list[Address]:
        """Return the daemons to ask, those first that have just said they can help."""
        usable = [peer for peer in self._peers if self._is_usable(peer, now)]
        self._rng.shuffle(usable)
        return sorted(usable, key=lambda peer: not self._reaches(peer, now))

    def _is_usable(self, peer: Address, now: float) -> bool:
        failed_for = now - self._failed_at.get(peer, float("-inf"))
        silent_for = now - self._silent_since.get(peer, float("-inf"))
        return failed_for > FAILURE_PERIOD and silent_for > SILENCE_PERIOD

    def _reaches(self, peer: Address, now: float) -> bool:
        reported_at = self._reaching_at.get(peer, float("-inf"))
        return now - reported_at <= REPORT_LIFETIME

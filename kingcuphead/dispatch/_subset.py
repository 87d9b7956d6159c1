"""The engines of a service that one daemon prefers, so that it reuses connections."""

import hashlib
import math
from collections.abc import Iterable, Sequence

from kingcuphead.addresses import Address
from kingcuphead.targets import Target

#: Least average number of subsets that an engine is in; a smaller fleet has none.
MIN_DAEMONS_PER_ENGINE = 3


class EngineSubset:
    """Selects the preferred engines by rendezvous hashing; does no I/O.

    Each engine ranks the daemons, and belongs to the subsets of the first few. So every
    engine is in equally many subsets, and a daemon or an engine that joins or leaves
    changes few of them. A daemon that knows only some of the others ranks itself higher
    and has a larger subset; no engine is left out.

    Parameters
    ----------
    size
        Average number of engines of a service in a subset.
    """

    def __init__(self, size: int) -> None:
        self._size = size
        self._own: Address | None = None
        self._peers: frozenset[Address] = frozenset()
        #: Number of daemons that an engine prefers to this one.
        self._positions: dict[str, int] = {}

    def apply_daemons(self, own: Address, peers: Iterable[Address]) -> None:
        """Replace the known daemons: this one, and the others."""
        others = frozenset(peers)
        if (own, others) != (self._own, self._peers):
            self._own, self._peers = own, others
            self._positions.clear()

    @property
    def peers(self) -> int:
        """Number of the other daemons."""
        return len(self._peers)

    def select(self, targets: Sequence[Target]) -> list[Target]:
        """Return the preferred engines; all of them in a small fleet.

        Parameters
        ----------
        targets
            Engines of one service that may run a request.
        """
        daemons = len(self._peers) + 1
        is_small = daemons * self._size < MIN_DAEMONS_PER_ENGINE * len(targets)
        if self._own is None or is_small or self._size >= len(targets):
            return list(targets)
        limit = math.ceil(self._size * daemons / len(targets))
        chosen = [each for each in targets if self._get_position(each.name) < limit]
        missing = math.ceil(self._size / 2) - len(chosen)
        if missing <= 0:
            return chosen
        rest = [each for each in targets if self._get_position(each.name) >= limit]
        rest.sort(key=lambda target: self._get_position(target.name))
        return [*chosen, *rest[:missing]]

    def forget(self, name: str) -> None:
        """Drop the state of an engine that was removed."""
        self._positions.pop(name, None)

    def _get_position(self, name: str) -> int:
        position = self._positions.get(name)
        if position is None:
            own = _score(name, self._own)
            position = sum(_score(name, each) < own for each in self._peers)
            self._positions[name] = position
        return position


def _score(name: str, address: Address | None) -> bytes:
    """Return the rendezvous score of a daemon for an engine; the lowest wins."""
    key = f"{name}\0{address}".encode()
    return hashlib.blake2b(key, digest_size=8).digest()

"""Rendezvous order of targets for prefixes of prompts."""

import hashlib
from collections import OrderedDict

from kingcuphead.frozen import frozen
from kingcuphead.targets import Target

#: Prefixes whose order is kept; the least recently used one is evicted.
MAX_PREFIXES = 512


@frozen
class _Ranking:
    names: list[str]
    #: Indexes into the names, the preferred target's first.
    order: list[int]


class Rankings:
    """Orders targets by rendezvous hashing, and keeps the orders of recent prefixes."""

    def __init__(self) -> None:
        self._kept: OrderedDict[str, _Ranking] = OrderedDict()

    def rank(self, key: str, targets: list[Target]) -> list[Target]:
        """Return the targets in the order for a prefix, the preferred one first.

        Parameters
        ----------
        key
            Identity of the prefix.
        targets
            Targets to order.
        """
        names = [target.name for target in targets]
        ranking = self._kept.get(key)
        # Entries of targets are replaced with each heartbeat, their names are not.
        if ranking is None or ranking.names != names:
            ranking = self._kept[key] = _Ranking(names, _order(key, names))
        self._kept.move_to_end(key)
        if len(self._kept) > MAX_PREFIXES:
            self._kept.popitem(last=False)
        return [targets[index] for index in ranking.order]


def _order(key: str, names: list[str]) -> list[int]:
    """Return the indexes of names in the order of their scores, the highest first."""
    scores = [_score(key, name) for name in names]
    return sorted(range(len(names)), key=scores.__getitem__, reverse=True)


def _score(key: str, name: str) -> bytes:
    """Return the rendezvous score of a target for a prefix key."""
    return hashlib.blake2b(f"{key}\0{name}".encode(), digest_size=8).digest()

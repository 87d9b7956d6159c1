"""Which recent facts the next messages carry."""

import math
from collections.abc import Hashable, Iterable
from typing import Generic, TypeVar

Fact = TypeVar("Fact")

#: Transmissions of a fact for each doubling of the number of members.
TRANSMISSIONS_PER_DOUBLING = 4


class Dissemination(Generic[Fact]):
    """A bounded buffer that sends each fact a number of times, newest first.

    Parameters
    ----------
    capacity
        Most facts that are kept; the most often sent one goes first.
    """

    def __init__(self, capacity: int) -> None:
        self._capacity = capacity
        self._facts: dict[Hashable, Fact] = {}
        self._sent: dict[Hashable, int] = {}

    def add(self, key: Hashable, fact: Fact) -> None:
        """Start to send a fact, in place of an earlier one with the same key."""
        self._facts[key] = fact
        self._sent[key] = 0
        if len(self._facts) > self._capacity:
            self._forget(max(self._sent, key=self._sent.__getitem__))

    def take(self, count: int, members: int) -> tuple[Fact, ...]:
        """Return up to `count` facts, those sent least often first.

        Parameters
        ----------
        count
            Most facts to return.
        members
            Number of members that should learn each fact.
        """
        enough = TRANSMISSIONS_PER_DOUBLING * max(1, math.ceil(math.log2(members + 1)))
        keys = sorted(self._sent, key=self._sent.__getitem__)[:count]
        facts = tuple(self._facts[key] for key in keys)
        self._count(keys, enough)
        return facts

    def _count(self, keys: Iterable[Hashable], enough: int) -> None:
        for key in keys:
            self._sent[key] += 1
            if self._sent[key] >= enough:
                self._forget(key)

    def _forget(self, key: Hashable) -> None:
        del self._facts[key]
        del self._sent[key]

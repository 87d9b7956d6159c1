"""Rendezvous hashing over the live daemons."""

import hashlib
from collections.abc import Iterable, Iterator

from kingcuphead.budgets._messages import Member


def compute_weight(key: str, name: str) -> bytes:
    """Return the rendezvous weight of a name for a key; equal on all daemons."""
    return hashlib.blake2b(f"{key}\0{name}".encode(), digest_size=8).digest()


def rank_members(key: str, members: Iterable[Member]) -> Iterator[Member]:
    """Yield the members for a key in descending order of weight."""
    yield from sorted(
        members, key=lambda member: compute_weight(key, member.name), reverse=True
    )


def choose_member(key: str, members: Iterable[Member]) -> Member | None:
    """Return the member of the highest weight for a key, or None if there is none."""
    return max(
        members, key=lambda member: compute_weight(key, member.name), default=None
    )

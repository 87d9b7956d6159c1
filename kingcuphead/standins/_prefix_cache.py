"""A prefix cache of prompt blocks with limited capacity."""

import hashlib
from collections import OrderedDict
from collections.abc import Iterator

from kingcuphead.standins.chat import BYTES_PER_TOKEN

#: Bytes of prompt in one block.
BLOCK_BYTES = 64


class PrefixCache:
    """Caches blocks of prompts and evicts the least recently used ones.

    Parameters
    ----------
    capacity : int
        Maximum number of blocks.
    """

    def __init__(self, capacity: int) -> None:
        self._capacity = capacity
        self._blocks: OrderedDict[bytes, None] = OrderedDict()

    @property
    def utilisation(self) -> float:
        """Share of the capacity in use, from 0 to 1; 1 without capacity."""
        return len(self._blocks) / self._capacity if self._capacity else 1.0

    def clear(self) -> None:
        """Evict all blocks."""
        self._blocks.clear()

    def match_and_insert(self, prompt: str) -> int:
        """Return the length of the cached prefix in tokens, then cache the prompt."""
        blocks = tuple(_hash_blocks(prompt))
        cached = self._count_cached_blocks(blocks)
        for block in blocks:
            self._touch(block)
        return cached * BLOCK_BYTES // BYTES_PER_TOKEN

    def _count_cached_blocks(self, blocks: tuple[bytes, ...]) -> int:
        for index, block in enumerate(blocks):
            if block not in self._blocks:
                return index
        return len(blocks)

    def _touch(self, block: bytes) -> None:
        self._blocks[block] = None
        self._blocks.move_to_end(block)
        while len(self._blocks) > self._capacity:
            self._blocks.popitem(last=False)


def _hash_blocks(prompt: str) -> Iterator[bytes]:
    """Yield a digest for each full block, computed over all text up to its end."""
    content = prompt.encode()
    hasher = hashlib.sha256()
    for end in range(BLOCK_BYTES, len(content) + 1, BLOCK_BYTES):
        hasher.update(content[end - BLOCK_BYTES : end])
        yield hasher.digest()

"""A cache of prompt prefixes with room for a limited number of blocks."""

import hashlib
from collections import OrderedDict
from collections.abc import Iterator

from kingcuphead.standins.chat import BYTES_PER_TOKEN

#: Bytes of prompt in one block.
BLOCK_BYTES = 64


class PrefixCache:
    """Least recently used blocks of prompts go first.

    Parameters
    ----------
    capacity : int
        Most blocks held.
    """

    def __init__(self, capacity: int) -> None:
        self._capacity = capacity
        self._blocks: OrderedDict[bytes, None] = OrderedDict()

    @property
    def use(self) -> float:
        """Share of the capacity that is taken, from 0 to 1."""
        return len(self._blocks) / self._capacity if self._capacity else 1.0

    def clear(self) -> None:
        """Forget every block."""
        self._blocks.clear()

    def take_cached_tokens(self, prompt: str) -> int:
        """Return the tokens of the longest cached prefix, and cache the prompt."""
        blocks = tuple(_split(prompt))
        cached = self._count_leading(blocks)
        for block in blocks:
            self._touch(block)
        return cached * BLOCK_BYTES // BYTES_PER_TOKEN

    def _count_leading(self, blocks: tuple[bytes, ...]) -> int:
        for number, block in enumerate(blocks):
            if block not in self._blocks:
                return number
        return len(blocks)

    def _touch(self, block: bytes) -> None:
        self._blocks[block] = None
        self._blocks.move_to_end(block)
        while len(self._blocks) > self._capacity:
            self._blocks.popitem(last=False)


def _split(prompt: str) -> Iterator[bytes]:
    """Yield a digest for each whole block, which covers all text before it."""
    content = prompt.encode()
    digest = hashlib.sha256()
    for end in range(BLOCK_BYTES, len(content) + 1, BLOCK_BYTES):
        digest.update(content[end - BLOCK_BYTES : end])
        yield digest.digest()

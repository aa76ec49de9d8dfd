"""The prompt cache of the fake engine: limited, least recently used first out."""

from collections import OrderedDict
from collections.abc import Sequence


class BlockCache:
    """Prompt blocks by prefix hash, least recently used first out; keeps the changes."""

    def __init__(self, most_blocks: int) -> None:
        """Start empty."""
        self.added: set[int] = set()
        self.evicted: set[int] = set()
        self._most_blocks = most_blocks
        self._blocks: OrderedDict[int, None] = OrderedDict()

    def __len__(self) -> int:
        """Count the blocks held."""
        return len(self._blocks)

    def depth(self, hashes: Sequence[int]) -> int:
        """Return how many blocks of a prompt are held, from its start."""
        for depth, block in enumerate(hashes):
            if block not in self._blocks:
                return depth
        return len(hashes)

    def hold(self, hashes: Sequence[int]) -> None:
        """Hold a prompt's blocks; its first blocks count as used last."""
        for block in reversed(hashes):
            if block not in self._blocks:
                self.added.add(block)
                self.evicted.discard(block)
            self._blocks[block] = None
            self._blocks.move_to_end(block)
        while len(self._blocks) > self._most_blocks:
            gone, _ = self._blocks.popitem(last=False)
            self.evicted.add(gone)
            self.added.discard(gone)

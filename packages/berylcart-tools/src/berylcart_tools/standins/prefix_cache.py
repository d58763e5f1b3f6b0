"""Cache prompt prefixes by block, with least-recently-used eviction."""

from collections import OrderedDict
from collections.abc import Callable, Iterable
from enum import StrEnum

from berylcart.state.prefixes import BLOCK_WORDS

CAPACITY_BLOCKS = 512


class CacheEventKind(StrEnum):
    """Name the change of a cached prefix."""

    STORED = "stored"
    EVICTED = "evicted"


CacheListener = Callable[[CacheEventKind, str], None]


class PrefixCache:
    """Hold one entry per block of each prefix.

    The listener is called for each block that is stored or evicted.
    """

    def __init__(
        self, listener: CacheListener, capacity_blocks: int = CAPACITY_BLOCKS
    ) -> None:
        self.listener = listener
        self.capacity_blocks = capacity_blocks
        self.parents: OrderedDict[str, str] = OrderedDict()

    def match(self, keys: Iterable[str]) -> int:
        """Return how many leading words are cached, and mark them as used."""
        cached: list[str] = []
        for key in keys:
            if key not in self.parents:
                break
            cached.append(key)
        self.touch(cached)
        return len(cached) * BLOCK_WORDS

    def touch(self, keys: list[str]) -> None:
        """Mark blocks as used; the last block of a prefix is evicted first."""
        for key in reversed(keys):
            self.parents.move_to_end(key)

    def store(self, keys: list[str]) -> None:
        """Store the blocks of one prefix, evicting others if over capacity."""
        parent = ""
        for key in keys:
            if key not in self.parents:
                self.parents[key] = parent
                self.listener(CacheEventKind.STORED, key)
            parent = key
        self.touch([key for key in keys if key in self.parents])
        while len(self.parents) > self.capacity_blocks:
            self.evict_block()

    def evict_block(self) -> None:
        """Evict the least recently used block."""
        key, _ = self.parents.popitem(last=False)
        self.listener(CacheEventKind.EVICTED, key)

    def clear(self) -> None:
        """Evict every block."""
        while self.parents:
            self.evict_block()

    def prefix_blocks(self, key: str) -> list[str]:
        """List a prefix's block keys in order, or none if one is missing."""
        keys: list[str] = []
        while key:
            if key not in self.parents:
                return []
            keys.append(key)
            key = self.parents[key]
        return keys[::-1]

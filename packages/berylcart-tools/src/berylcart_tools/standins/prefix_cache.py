"""Keep prompt prefixes in limited memory, least recently used out."""

from collections import OrderedDict
from collections.abc import Callable, Iterable
from enum import StrEnum

from berylcart.state.prefixes import BLOCK_WORDS

CAPACITY_BLOCKS = 512


class CacheEventKind(StrEnum):
    """Say what happened to a prefix."""

    STORED = "stored"
    EVICTED = "evicted"


CacheListener = Callable[[CacheEventKind, str], None]


class PrefixCache:
    """Hold one entry for each block of a prefix.

    The listener hears of each entry that is stored or evicted.
    """

    def __init__(
        self, listener: CacheListener, capacity_blocks: int = CAPACITY_BLOCKS
    ) -> None:
        self.listener = listener
        self.capacity_blocks = capacity_blocks
        self.parents: OrderedDict[str, str] = OrderedDict()

    def match(self, keys: Iterable[str]) -> int:
        """Count the leading prompt words that are cached, and touch them."""
        found: list[str] = []
        for key in keys:
            if key not in self.parents:
                break
            found.append(key)
        self.touch(found)
        return len(found) * BLOCK_WORDS

    def touch(self, keys: list[str]) -> None:
        """Mark blocks as just used, the longest prefix as oldest."""
        for key in reversed(keys):
            self.parents.move_to_end(key)

    def store(self, keys: list[str]) -> None:
        """Store the blocks of one prefix."""
        parent = ""
        for key in keys:
            if key not in self.parents:
                self.parents[key] = parent
                self.listener(CacheEventKind.STORED, key)
            parent = key
        self.touch([key for key in keys if key in self.parents])
        while len(self.parents) > self.capacity_blocks:
            self.evict_oldest()

    def evict_oldest(self) -> None:
        """Drop the least recently used block."""
        key, _ = self.parents.popitem(last=False)
        self.listener(CacheEventKind.EVICTED, key)

    def clear(self) -> None:
        """Drop every block."""
        while self.parents:
            self.evict_oldest()

    def chain(self, key: str) -> list[str]:
        """List the blocks of a prefix, or none when one is missing."""
        keys: list[str] = []
        while key:
            if key not in self.parents:
                return []
            keys.append(key)
            key = self.parents[key]
        return keys[::-1]

"""Pass each rumour on a bounded number of times."""

import heapq
from collections.abc import Callable
from typing import Generic, TypeVar

Key = TypeVar("Key")


class RumourQueue(Generic[Key]):
    """Choose which rumours ride on the next message.

    The ones passed on least often go first.

    >>> queue = RumourQueue[str]()
    >>> queue.add("d1", transmissions=2)
    >>> queue.add("d2", transmissions=1)
    >>> queue.take(5), queue.take(5), queue.take(5)
    (['d1', 'd2'], ['d1'], [])
    """

    def __init__(self) -> None:
        self._left: dict[Key, int] = {}
        self.on_add: Callable[[], None] = lambda: None

    def __len__(self) -> int:
        """Count the rumours still to be passed on."""
        return len(self._left)

    def __contains__(self, key: object) -> bool:
        """Tell whether a rumour is still to be passed on."""
        return key in self._left

    def add(self, key: Key, transmissions: int) -> None:
        """Pass a rumour on this many times from now."""
        self._left[key] = transmissions
        self.on_add()

    def discard(self, key: Key) -> None:
        """Stop passing a rumour on."""
        self._left.pop(key, None)

    def take(self, limit: int) -> list[Key]:
        """Choose up to limit rumours and count them as passed on."""
        chosen = heapq.nlargest(limit, self._left, key=self._left.__getitem__)
        for key in chosen:
            self._left[key] -= 1
            if self._left[key] <= 0:
                del self._left[key]
        return chosen

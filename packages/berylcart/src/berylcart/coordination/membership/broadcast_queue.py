"""Queue updates to piggyback on a bounded number of messages."""

import heapq
from collections.abc import Callable
from typing import Generic, TypeVar

Key = TypeVar("Key")


class BroadcastQueue(Generic[Key]):
    """Hold the updates to broadcast and their remaining transmissions.

    Updates with the most remaining transmissions are sent first.

    >>> queue = BroadcastQueue[str]()
    >>> queue.add("d1", transmissions=2)
    >>> queue.add("d2", transmissions=1)
    >>> queue.next_keys(5), queue.next_keys(5), queue.next_keys(5)
    (['d1', 'd2'], ['d1'], [])
    """

    def __init__(self) -> None:
        self._remaining: dict[Key, int] = {}
        self.on_add: Callable[[], None] = lambda: None

    def __len__(self) -> int:
        """Return the number of pending updates."""
        return len(self._remaining)

    def __contains__(self, key: object) -> bool:
        """Return whether an update is pending."""
        return key in self._remaining

    def add(self, key: Key, transmissions: int) -> None:
        """Queue an update, or reset its remaining transmissions."""
        self._remaining[key] = transmissions
        self.on_add()

    def discard(self, key: Key) -> None:
        """Remove an update from the queue."""
        self._remaining.pop(key, None)

    def next_keys(self, limit: int) -> list[Key]:
        """Return up to limit updates and count one transmission of each."""
        chosen = heapq.nlargest(
            limit, self._remaining, key=self._remaining.__getitem__
        )
        for key in chosen:
            self._remaining[key] -= 1
            if self._remaining[key] <= 0:
                del self._remaining[key]
        return chosen

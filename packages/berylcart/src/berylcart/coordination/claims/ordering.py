"""Serialize the requests of this daemon that share an ordering key."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import anyio


class KeyLock:
    """Hold an ordering key's lock and the number of its users."""

    def __init__(self) -> None:
        self.lock = anyio.Lock()
        self.users = 0


class OrderingLocks:
    """Run the requests of one ordering key in order of arrival."""

    def __init__(self) -> None:
        self.locks: dict[tuple[str, str], KeyLock] = {}

    @asynccontextmanager
    async def serialize(
        self, workspace: str, ordering_key: str
    ) -> AsyncIterator[None]:
        """Hold the ordering key's lock; does nothing for an empty key."""
        if not ordering_key:
            yield
            return
        name = (workspace, ordering_key)
        key_lock = self.locks.setdefault(name, KeyLock())
        key_lock.users += 1
        try:
            async with key_lock.lock:
                yield
        finally:
            key_lock.users -= 1
            if not key_lock.users:
                del self.locks[name]

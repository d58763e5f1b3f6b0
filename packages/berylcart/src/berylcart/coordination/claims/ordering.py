"""Run requests that share an ordering key one after another."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import anyio


class Turn:
    """Hold one ordering key's lock and how many requests use it."""

    def __init__(self) -> None:
        self.lock = anyio.Lock()
        self.users = 0


class OrderingQueue:
    """Serve each ordering key of a workspace in order of arrival."""

    def __init__(self) -> None:
        self.turns: dict[tuple[str, str], Turn] = {}

    @asynccontextmanager
    async def turn(
        self, workspace: str, ordering_key: str
    ) -> AsyncIterator[None]:
        """Wait for the requests that came earlier; no key waits for none."""
        if not ordering_key:
            yield
            return
        name = (workspace, ordering_key)
        turn = self.turns.setdefault(name, Turn())
        turn.users += 1
        try:
            async with turn.lock:
                yield
        finally:
            turn.users -= 1
            if not turn.users:
                del self.turns[name]

"""In-memory log with a limited append rate and a fixed append latency."""

from collections.abc import Sequence

import anyio
from berylcart.state.errors import LogUnavailableError
from berylcart.state.records import LogPage, Record
from berylcart.transport.memory_log import MemoryLog

MS_PER_S = 1000


class RateLimitedLog:
    """Reject appends above a rate, as the log service does with 429."""

    def __init__(self, appends_per_s: int, append_s: float) -> None:
        self.log = MemoryLog()
        self.interval_s = 1 / appends_per_s
        self.append_s = append_s
        self.free_at_s = 0.0
        self.appends = 0
        self.records = 0

    async def append(self, stream: str, records: Sequence[Record]) -> int:
        """Append after append_s; raise LogUnavailableError above the rate."""
        now_s = anyio.current_time()
        if now_s < self.free_at_s:
            wait_ms = max(1, round((self.free_at_s - now_s) * MS_PER_S))
            raise LogUnavailableError("over the append rate", wait_ms)
        self.free_at_s = max(now_s, self.free_at_s) + self.interval_s
        self.appends += 1
        self.records += len(records)
        await anyio.sleep(self.append_s)
        return await self.log.append(stream, records)

    async def read(
        self, stream: str, offset: int, *, wait_ms: int, limit: int
    ) -> LogPage:
        """Read records from the in-memory log."""
        return await self.log.read(
            stream, offset, wait_ms=wait_ms, limit=limit
        )

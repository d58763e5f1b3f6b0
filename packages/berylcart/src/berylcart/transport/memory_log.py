"""Provide an in-memory append-only log, for embedding and for tests."""

from collections import deque
from collections.abc import Callable, Sequence

import anyio

from berylcart.clock import now_s
from berylcart.state.errors import (
    LogAmbiguousError,
    LogGapError,
    LogUnavailableError,
)
from berylcart.state.records import LogEntry, LogPage, Record

MS_PER_S = 1000


def now_ms() -> int:
    """Return the event loop's time in milliseconds."""
    return int(now_s() * MS_PER_S)


class MemoryStream:
    """Hold the retained entries of one stream and wake its readers."""

    def __init__(self) -> None:
        self.entries: deque[LogEntry] = deque()
        self.end_offset = 0
        self.changed = anyio.Event()

    @property
    def start_offset(self) -> int:
        """Return the oldest retained offset."""
        return self.entries[0].offset if self.entries else self.end_offset

    def append(self, record: Record, time_ms: int) -> int:
        """Add one record and return its offset."""
        offset = self.end_offset
        self.entries.append(LogEntry(offset, time_ms, record))
        self.end_offset += 1
        self.changed.set()
        self.changed = anyio.Event()
        return offset

    def expire_before(self, time_ms: int) -> None:
        """Drop the entries appended before a time."""
        while self.entries and self.entries[0].time_ms < time_ms:
            self.entries.popleft()

    def page(self, offset: int, limit: int) -> LogPage:
        """Return up to limit entries from an offset on."""
        start = self.start_offset
        first = max(0, offset - start)
        last = min(first + limit, len(self.entries))
        entries = tuple(self.entries[i] for i in range(first, last))
        return LogPage(start, self.end_offset, entries)


class MemoryLog:
    """Implement the Log port in memory, with fault injection.

    Set is_down to simulate an outage and delay_ms to delay every call. Set
    lost_append_responses to make that many appends raise
    LogAmbiguousError after they have taken effect.
    """

    def __init__(
        self,
        retention_ms: int | None = None,
        clock_ms: Callable[[], int] = now_ms,
    ) -> None:
        self.streams: dict[str, MemoryStream] = {}
        self.retention_ms = retention_ms
        self.clock_ms = clock_ms
        self.is_down = False
        self.lost_append_responses = 0
        self.delay_ms = 0
        self.append_calls = 0

    def stream(self, name: str) -> MemoryStream:
        """Return a stream, created on first use, without expired entries."""
        stream = self.streams.setdefault(name, MemoryStream())
        if self.retention_ms is not None:
            stream.expire_before(self.clock_ms() - self.retention_ms)
        return stream

    async def append(self, stream: str, records: Sequence[Record]) -> int:
        """Append records in order and return the first one's offset."""
        await anyio.sleep(self.delay_ms / MS_PER_S)
        if self.is_down:
            raise LogUnavailableError("the log is down")
        self.append_calls += 1
        target = self.stream(stream)
        first_offset = target.end_offset
        for record in records:
            target.append(record, self.clock_ms())
        if self.lost_append_responses > 0:
            self.lost_append_responses -= 1
            raise LogAmbiguousError("the answer to an append was lost")
        return first_offset

    async def read(
        self, stream: str, offset: int, *, wait_ms: int, limit: int
    ) -> LogPage:
        """Read from an offset, waiting up to wait_ms for a first entry.

        An offset of -1 returns the bounds of the stream without entries.
        """
        await anyio.sleep(self.delay_ms / MS_PER_S)
        if self.is_down:
            raise LogUnavailableError("the log is down")
        target = self.stream(stream)
        if offset < 0:
            return LogPage(target.start_offset, target.end_offset, ())
        if offset >= target.end_offset:
            with anyio.move_on_after(wait_ms / MS_PER_S):
                await target.changed.wait()
            target = self.stream(stream)
        if self.is_down:
            raise LogUnavailableError("the log went down")
        if offset < target.start_offset:
            raise LogGapError(offset, target.start_offset)
        return target.page(offset, limit)

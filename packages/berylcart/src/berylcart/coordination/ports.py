"""Define the four ports through which decisions reach the outside."""

from collections.abc import Awaitable, Callable, Sequence
from typing import Protocol

from berylcart.state.records import LogPage, Record
from berylcart.state.stage import StageCall, StageChunk, StageReply
from berylcart.state.vm import VmPage

ChunkSink = Callable[[StageChunk], Awaitable[None]]


class Log(Protocol):
    """Append to and read the platform's log service."""

    async def append(self, stream: str, records: Sequence[Record]) -> int:
        """Append records in order and return the first one's offset.

        Raises LogUnavailableError when nothing was appended, and
        LogAmbiguousError when the answer was lost.
        """
        ...

    async def read(
        self, stream: str, offset: int, *, wait_ms: int, limit: int
    ) -> LogPage:
        """Read from an offset, waiting up to wait_ms for a first entry.

        Raises LogUnavailableError, and LogGapError when the offset expired.
        """
        ...


class VmList(Protocol):
    """Read the platform's list of VMs."""

    async def fetch(self) -> VmPage:
        """Fetch the list; raises BerylcartError when it is unavailable."""
        ...


class Upstreams(Protocol):
    """Call upstreams."""

    async def call(
        self, call: StageCall, sink: ChunkSink | None = None
    ) -> StageReply:
        """Run one attempt, giving each streamed chunk to the sink.

        Raises UpstreamError. Cancelling the call cancels the attempt.
        """
        ...

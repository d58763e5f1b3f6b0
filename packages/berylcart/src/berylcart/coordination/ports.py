"""Define the ports to the log, the VM list and the upstreams."""

from collections.abc import Awaitable, Callable, Sequence
from typing import Protocol

from berylcart.state.records import LogPage, Record
from berylcart.state.stage import StageCall, StageChunk, StageReply
from berylcart.state.vm import VmListSnapshot

ChunkSink = Callable[[StageChunk], Awaitable[None]]


class Log(Protocol):
    """Access the platform's log service."""

    async def append(self, stream: str, records: Sequence[Record]) -> int:
        """Append records in order and return the offset of the first.

        Raises LogUnavailableError when nothing was appended, and
        LogAmbiguousError when the records may have been appended.
        """
        ...

    async def read(
        self, stream: str, offset: int, *, wait_ms: int, limit: int
    ) -> LogPage:
        """Read entries from an offset, waiting up to wait_ms for the first.

        Raises LogUnavailableError, and LogGapError when the offset has
        expired.
        """
        ...


class VmList(Protocol):
    """Access the platform's list of VMs."""

    async def fetch(self) -> VmListSnapshot:
        """Fetch one page; raises BerylcartError when unavailable."""
        ...


class Upstreams(Protocol):
    """Run attempts of stage calls at upstreams."""

    async def call(
        self, call: StageCall, sink: ChunkSink | None = None
    ) -> StageReply:
        """Run one attempt, passing each streamed chunk to the sink.

        Raises UpstreamError. Cancelling the call cancels the attempt.
        """
        ...

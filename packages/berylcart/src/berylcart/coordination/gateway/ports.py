"""Define the ports through which a gateway reaches the outside."""

from collections.abc import Callable, Sequence
from contextlib import AbstractAsyncContextManager
from typing import NamedTuple, Protocol

from berylcart.state.errors import BerylcartError
from berylcart.state.relayed import (
    AnswerHead,
    CallerHead,
    Headers,
    Piece,
    PieceResult,
    Refusal,
    RelayRequest,
    ReplicaNotice,
    UpstreamRequest,
)
from berylcart.state.vm import Vm


class UpstreamFacts(NamedTuple):
    """Hold what an upstream is told beside the caller's request.

    left_ms is what the caller still waits; last_event_id is empty where the
    stream starts at its first event.
    """

    vm: Vm
    left_ms: int
    workspace: str | None = None
    inputs: tuple[str, ...] = ()
    last_event_id: str = ""


class Wire(Protocol):
    """Translate between the gateway's types and what is spoken outside."""

    def read_request(self, head: CallerHead, body: bytes) -> RelayRequest:
        """Read a caller's request; raises BerylcartError BAD_REQUEST."""
        ...

    def upstream_request(
        self, request: RelayRequest, facts: UpstreamFacts
    ) -> UpstreamRequest:
        """Write a request for one upstream."""
        ...

    def read_answer(self, status: int, headers: Headers) -> AnswerHead:
        """Read the head of an upstream's answer."""
        ...

    def refuse(self, error: BerylcartError) -> Refusal:
        """Write the gateway's own answer."""
        ...


class UpstreamAnswer(Protocol):
    """Give an answer as it arrives; raises UpstreamError."""

    head: AnswerHead

    async def read(self) -> bytes | None:
        """Read the next bytes of the body, None after the last ones."""
        ...


class Relay(Protocol):
    """Reach upstreams."""

    def exchange(
        self, request: UpstreamRequest, on_sent: Callable[[], None]
    ) -> AbstractAsyncContextManager[UpstreamAnswer]:
        """Send a request and say when it is sent; raises UpstreamError."""
        ...


class CallerExchange(Protocol):
    """Hold a caller's request and write its answer; raises OSError."""

    head: CallerHead
    body: bytes
    received_at_s: float
    is_started: bool

    async def start(self, status: int, headers: Headers) -> None:
        """Write the head of the answer."""
        ...

    async def send(self, data: bytes) -> None:
        """Write the next bytes of the answer."""
        ...

    async def finish(self) -> None:
        """End a whole answer."""
        ...

    def hold(self, count_bytes: int) -> None:
        """Count bytes that are buffered, or fewer, for this caller."""
        ...

    async def answer(self, refusal: Refusal) -> None:
        """Write a whole answer of the gateway itself."""
        ...


class TimedPiece(NamedTuple):
    """Hold a piece and how long its request still waits."""

    piece: Piece
    left_ms: int


class PieceCaller(Protocol):
    """Call the replicas that work on pieces.

    on_notice takes what each answer says of its replica.
    """

    on_notice: Callable[[Vm, ReplicaNotice], None]

    async def run_pieces(
        self, vm: Vm, pieces: Sequence[TimedPiece]
    ) -> Sequence[PieceResult]:
        """Make pieces; raises UpstreamError.

        Its retry_after_ms is set where the replica asked to wait.
        """
        ...

    def holder(self, handle: str) -> str:
        """Give the address of the replica that holds a result."""
        ...

    async def free_results(self, vm: Vm, handles: Sequence[str]) -> None:
        """Let a replica drop results; raises UpstreamError."""
        ...

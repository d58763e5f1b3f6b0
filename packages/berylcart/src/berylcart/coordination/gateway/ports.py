"""Define the interfaces of a gateway to the network."""

from collections.abc import Callable, Sequence
from contextlib import AbstractAsyncContextManager
from typing import NamedTuple, Protocol

from berylcart.state.errors import BerylcartError
from berylcart.state.relay_messages import (
    BufferedResponse,
    CallerHead,
    Headers,
    Piece,
    PieceResult,
    RelayRequest,
    ReplicaNotice,
    ResponseHead,
    UpstreamRequest,
)
from berylcart.state.vm import Vm


class UpstreamContext(NamedTuple):
    """Data sent to an upstream in addition to the client's request.

    left_ms is the time until the request's deadline. last_event_id is empty if
    the stream starts at its first event.
    """

    vm: Vm
    left_ms: int
    workspace: str | None = None
    inputs: tuple[str, ...] = ()
    last_event_id: str = ""


class MessageCodec(Protocol):
    """Convert between the gateway's types and HTTP messages."""

    def parse_request(self, head: CallerHead, body: bytes) -> RelayRequest:
        """Parse a client's request; raises BerylcartError BAD_REQUEST."""
        ...

    def build_upstream_request(
        self, request: RelayRequest, facts: UpstreamContext
    ) -> UpstreamRequest:
        """Build the request to an upstream."""
        ...

    def parse_response_head(
        self, status: int, headers: Headers
    ) -> ResponseHead:
        """Parse the head of an upstream's response."""
        ...

    def refuse(self, error: BerylcartError) -> BufferedResponse:
        """Build an error response of the gateway."""
        ...


class UpstreamResponse(Protocol):
    """A response that is read while it arrives; raises UpstreamError."""

    head: ResponseHead
    is_abandoned: bool

    async def read(self) -> bytes | None:
        """Read the next bytes of the body; None at its end."""
        ...

    def abandon(self) -> None:
        """Close the connection, so that the upstream drops the request."""
        ...


class Relay(Protocol):
    """Send requests to upstreams."""

    def exchange(
        self, request: UpstreamRequest, on_sent: Callable[[], None]
    ) -> AbstractAsyncContextManager[UpstreamResponse]:
        """Send a request, calling on_sent once sent; raises UpstreamError."""
        ...


class CallerExchange(Protocol):
    """A client's request and its response; raises OSError."""

    head: CallerHead
    body: bytes
    received_at_s: float
    is_started: bool

    async def start(self, status: int, headers: Headers) -> None:
        """Write the head of the response."""
        ...

    async def send(self, data: bytes) -> None:
        """Write the next bytes of the body."""
        ...

    async def finish(self) -> None:
        """End a complete response."""
        ...

    def may_buffer(self, count_bytes: int) -> bool:
        """Return whether memory has room for more bytes of a response."""
        ...

    def add_buffered(self, count_bytes: int) -> None:
        """Account for buffered bytes; a negative count releases them."""
        ...

    async def answer(self, refusal: BufferedResponse) -> None:
        """Write a complete error response of the gateway."""
        ...


class TimedPiece(NamedTuple):
    """A piece and the time until its request's deadline."""

    piece: Piece
    left_ms: int


class PieceClient(Protocol):
    """Send pieces of stages to replicas.

    on_notice is called with the replica status that each response carries.
    """

    on_notice: Callable[[Vm, ReplicaNotice], None]

    async def run_pieces(
        self, vm: Vm, pieces: Sequence[TimedPiece]
    ) -> Sequence[PieceResult]:
        """Process pieces on a replica; raises UpstreamError.

        The error's retry_after_ms is set if the replica sent a retry delay.
        """
        ...

    def holder_address(self, handle: str) -> str:
        """Return the address of the replica that holds a result."""
        ...

    async def free_results(self, vm: Vm, handles: Sequence[str]) -> None:
        """Release results on a replica; raises UpstreamError."""
        ...

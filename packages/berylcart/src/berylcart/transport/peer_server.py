"""Serve the calls of other daemons over gRPC."""

from collections.abc import Awaitable, Callable
from typing import Any

import anyio
from google.protobuf.message import DecodeError
from grpclib.const import Status
from grpclib.exceptions import GRPCError
from grpclib.server import Server

from berylcart.coordination.gateway.piece_queue import Order
from berylcart.coordination.gateway.stage_home import StageHandlers
from berylcart.coordination.membership.peer_port import PeerHandlers
from berylcart.protocol import peer_codec as codec
from berylcart.protocol import peer_pb2 as pb
from berylcart.protocol import piece_codec
from berylcart.protocol.peer_grpc import PeerBase
from berylcart.state.errors import BerylcartError
from berylcart.transport.listening import address_of, bind
from berylcart.transport.peer_client import MAX_MESSAGE_BYTES

CLOSE_GRACE_S = 5.0


def limit_message(stream: Any) -> None:
    """Refuse a message over MAX_MESSAGE_BYTES before it is buffered.

    grpclib has no such limit; it reads the length, then that many bytes.
    """
    wire = stream._stream
    read: Callable[[int], Awaitable[bytes]] = wire.recv_data

    async def read_limited(size: int) -> bytes:
        if size > MAX_MESSAGE_BYTES:
            raise GRPCError(Status.RESOURCE_EXHAUSTED, "message too large")
        return await read(size)

    wire.recv_data = read_limited


async def receive(stream: Any, decode: Callable[[Any], Any]) -> Any:
    """Read a request; raises GRPCError when it is too large or malformed."""
    limit_message(stream)
    try:
        message = await stream.recv_message()
        if message is None:
            raise GRPCError(Status.INVALID_ARGUMENT, "no message")
        return decode(message)
    except (ValueError, DecodeError) as error:
        raise GRPCError(Status.INVALID_ARGUMENT, "malformed") from error


class PeerService(PeerBase):
    """Translate gRPC calls to the handlers' typed ones."""

    def __init__(
        self, handlers: PeerHandlers, stages: StageHandlers | None = None
    ) -> None:
        self._handlers = handlers
        self._stages = stages
        self._calls = 0
        self._is_closing = False
        self._idle = anyio.Event()

    async def drain(self, grace_s: float) -> None:
        """Refuse new calls and wait for those in progress, up to a time."""
        self._is_closing = True
        if self._calls > 0:
            with anyio.move_on_after(grace_s):
                await self._idle.wait()

    async def _answer(
        self,
        stream: Any,
        decode: Callable[[Any], Any],
        handle: Callable[[Any], Awaitable[Any]],
        encode: Callable[[Any], Any],
    ) -> None:
        if self._is_closing:
            raise GRPCError(Status.UNAVAILABLE, "closing")
        self._calls += 1
        try:
            await self._reply(stream, decode, handle, encode)
        finally:
            self._calls -= 1
            if self._is_closing and self._calls == 0:
                self._idle.set()

    async def _reply(
        self,
        stream: Any,
        decode: Callable[[Any], Any],
        handle: Callable[[Any], Awaitable[Any]],
        encode: Callable[[Any], Any],
    ) -> None:
        """Read one request, handle it and send its whole reply."""
        request = await receive(stream, decode)
        try:
            reply = await handle(request)
        except BerylcartError as error:
            raise GRPCError(Status.UNAVAILABLE, str(error)) from error
        await stream.send_message(encode(reply))
        await stream.send_trailing_metadata()

    async def Ping(self, stream: Any) -> None:  # noqa: N802
        """Answer a probe."""
        await self._answer(
            stream,
            codec.decode_ping,
            self._handlers.on_ping,
            codec.encode_gossip,
        )

    async def PingRequest(self, stream: Any) -> None:  # noqa: N802
        """Probe a third daemon for a peer."""
        await self._answer(
            stream,
            codec.decode_ping_request,
            self._handlers.on_ping_request,
            lambda is_reached: pb.PingRequestReply(is_reached=is_reached),
        )

    async def Exchange(self, stream: Any) -> None:  # noqa: N802
        """Swap the whole membership state."""
        await self._answer(
            stream,
            codec.decode_gossip,
            self._handlers.on_exchange,
            codec.encode_gossip,
        )

    async def PullConfig(self, stream: Any) -> None:  # noqa: N802
        """Give the configuration to a peer that is behind."""
        await self._answer(
            stream,
            codec.decode_config_query,
            self._handlers.on_pull_config,
            codec.encode_config_offer,
        )

    async def CollectAnswer(self, stream: Any) -> None:  # noqa: N802
        """Give the stored answer of a claimed request."""
        await self._answer(
            stream,
            codec.decode_answer_query,
            self._handlers.on_collect_answer,
            codec.encode_answer,
        )

    @property
    def stages(self) -> StageHandlers:
        """Give what makes pieces; raises GRPCError where nothing does."""
        if self._stages is None:
            raise GRPCError(Status.UNIMPLEMENTED, "no stages here")
        return self._stages

    async def MakePieces(self, stream: Any) -> None:  # noqa: N802
        """Make the pieces of an order."""

        async def handle(order: Order) -> pb.PiecesMessage:
            try:
                made = await self.stages.on_make_pieces(order)
            except BerylcartError as error:
                return piece_codec.encode_error(error)
            return piece_codec.encode_made(made)

        await self._answer(
            stream, piece_codec.decode_order, handle, lambda reply: reply
        )

    async def FreePieces(self, stream: Any) -> None:  # noqa: N802
        """Drop results of stages."""

        async def handle(message: pb.FreePiecesMessage) -> None:
            await self.stages.on_free_pieces(
                message.service, tuple(message.handles), message.is_spare
            )

        await self._answer(
            stream,
            lambda message: message,
            handle,
            lambda _: pb.FreePiecesReply(),
        )


class PeerServer:
    """Listen for peers on an IP:PORT address; port 0 picks a free one."""

    def __init__(
        self,
        handlers: PeerHandlers,
        address: str,
        stages: StageHandlers | None = None,
    ) -> None:
        self._service = PeerService(handlers, stages)
        self._server = Server([self._service])
        self._socket = bind(address)

    @property
    def address(self) -> str:
        """Give the IP:PORT address listened at."""
        return address_of(self._socket)

    async def start(self) -> None:
        """Accept connections."""
        await self._server.start(sock=self._socket)

    async def close(self, grace_s: float = CLOSE_GRACE_S) -> None:
        """Refuse new calls, finish those in progress and stop listening."""
        await self._service.drain(grace_s)
        self._server.close()
        await self._server.wait_closed()

"""Serve the calls of other daemons."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple

import anyio
from google.protobuf.message import DecodeError, Message

from berylcart import events
from berylcart.coordination.gateway.batch_selection import PieceOrder
from berylcart.coordination.gateway.buffer_budget import BufferBudget
from berylcart.coordination.gateway.joint_placement import EngineHandlers
from berylcart.coordination.gateway.order_router import StageHandlers
from berylcart.coordination.gateway.shared_tail import TailHandlers
from berylcart.coordination.membership.peer_port import PeerHandlers
from berylcart.protocol import peer_codec as codec
from berylcart.protocol import peer_pb2 as pb
from berylcart.protocol import piece_codec, placement_codec
from berylcart.protocol.tail_codec import encode_tail
from berylcart.state.errors import BerylcartError
from berylcart.state.tail import LogPosition, TailAnswer
from berylcart.transport.peer_connection import PeerCallError, PeerConnection
from berylcart.transport.socket_addresses import bind, bound_address

CLOSE_GRACE_S = 5.0
# Connections on which no whole frame has arrived; above this number the oldest
# one is closed. A peer sends its first frame as soon as it has connected.
MAX_SILENT_CONNECTIONS = 256
FREE_PIECES = "FreePieces"
TELL_ATTEMPT = "TellAttempt"


class RpcMethod(NamedTuple):
    """Describe a method: its request type, its codecs and its handler."""

    message: type[Message]
    decode: Callable[[Any], Any]
    handle: Callable[[Any], Awaitable[Any]]
    encode: Callable[[Any], Message]


def identity(message: Any) -> Any:
    """Return the message itself, for handlers that need no codec."""
    return message


def peer_methods(handlers: PeerHandlers) -> dict[str, RpcMethod]:
    """Return the methods that every daemon serves, by name."""
    return {
        "Ping": RpcMethod(
            pb.PingMessage,
            codec.decode_ping,
            handlers.on_ping,
            codec.encode_gossip,
        ),
        "PingRequest": RpcMethod(
            pb.PingRequestMessage,
            codec.decode_ping_request,
            handlers.on_ping_request,
            lambda is_reached: pb.PingRequestReply(is_reached=is_reached),
        ),
        "Exchange": RpcMethod(
            pb.GossipMessage,
            codec.decode_gossip,
            handlers.on_exchange,
            codec.encode_gossip,
        ),
        "PullConfig": RpcMethod(
            pb.PullConfigMessage,
            codec.decode_config_query,
            handlers.on_pull_config,
            codec.encode_config_offer,
        ),
        "CollectAnswer": RpcMethod(
            pb.CollectAnswerMessage,
            codec.decode_answer_query,
            handlers.on_collect_answer,
            codec.encode_answer,
        ),
    }


def stage_methods(stages: StageHandlers) -> dict[str, RpcMethod]:
    """Return the methods of a daemon that computes pieces, by name."""

    async def make_pieces(order: PieceOrder) -> pb.PiecesMessage:
        try:
            return piece_codec.encode_results(
                await stages.on_make_pieces(order)
            )
        except BerylcartError as error:
            return piece_codec.encode_error(error)

    return {
        "MakePieces": RpcMethod(
            pb.PieceOrderMessage,
            piece_codec.decode_order,
            make_pieces,
            identity,
        ),
    }


class NotificationMethod(NamedTuple):
    """Describe a notification: its message type and its handler."""

    message: type[Message]
    handle: Callable[[Any], None]


def stage_notifications(
    stages: StageHandlers,
) -> dict[str, NotificationMethod]:
    """Return the notifications for a daemon that computes pieces."""

    def free_pieces(message: pb.FreePiecesMessage) -> None:
        stages.on_free_pieces(
            message.service, tuple(message.handles), message.is_spare
        )

    return {FREE_PIECES: NotificationMethod(pb.FreePiecesMessage, free_pieces)}


def engine_methods(engines: EngineHandlers) -> dict[str, RpcMethod]:
    """Return the methods of a daemon that places requests, by name."""
    return {
        "PlaceRequest": RpcMethod(
            pb.PlaceRequestMessage,
            placement_codec.decode_query,
            engines.on_place_request,
            placement_codec.encode_placement,
        ),
    }


def engine_notifications(
    engines: EngineHandlers,
) -> dict[str, NotificationMethod]:
    """Return the notifications for a daemon that places requests."""

    def on_attempt_message(message: pb.AttemptMessage) -> None:
        engines.on_attempt(placement_codec.decode_attempt(message))

    return {
        TELL_ATTEMPT: NotificationMethod(pb.AttemptMessage, on_attempt_message)
    }


def tail_methods(tail: TailHandlers) -> dict[str, RpcMethod]:
    """Return the methods of a daemon that reads a log, by name."""

    async def read(position: LogPosition) -> TailAnswer | None:
        return tail.on_read_tail(position.offset, position.era)

    return {
        "ReadTail": RpcMethod(
            pb.ReadTailMessage,
            lambda message: LogPosition(message.era, message.start),
            read,
            encode_tail,
        )
    }


class PeerService:
    """Decode calls, dispatch them to typed handlers and encode the results."""

    def __init__(
        self,
        handlers: PeerHandlers,
        stages: StageHandlers | None = None,
        tail: TailHandlers | None = None,
        engines: EngineHandlers | None = None,
    ) -> None:
        self._methods = peer_methods(handlers)
        self._notifications: dict[str, NotificationMethod] = {}
        if engines is not None:
            self._methods |= engine_methods(engines)
            self._notifications |= engine_notifications(engines)
        if stages is not None:
            self._methods |= stage_methods(stages)
            self._notifications |= stage_notifications(stages)
        if tail is not None:
            self._methods |= tail_methods(tail)
        self._calls = 0
        self._is_closing = False
        self._idle = anyio.Event()

    async def drain(self, grace_s: float) -> None:
        """Reject new calls and wait up to grace_s for those in progress."""
        self._is_closing = True
        if self._calls > 0:
            with anyio.move_on_after(grace_s):
                await self._idle.wait()

    async def handle_request(self, name: str, body: bytes) -> bytes:
        """Serve one call; raises PeerCallError."""
        if self._is_closing:
            raise PeerCallError("closing")
        method = self._methods.get(name)
        if method is None:
            raise PeerCallError(f"no method {name}")
        self._calls += 1
        try:
            return await self._handle(method, body)
        finally:
            self._calls -= 1
            if self._is_closing and self._calls == 0:
                self._idle.set()

    def handle_notification(self, name: str, body: bytes) -> None:
        """Handle one notification; log it when it is invalid."""
        notification = self._notifications.get(name)
        if notification is None:
            events.warning("peer.notification_unknown", method=name)
            return
        try:
            message = notification.message.FromString(body)
        except DecodeError as error:
            events.warning(
                "peer.notification_malformed", method=name, detail=str(error)
            )
            return
        notification.handle(message)

    async def _handle(self, method: RpcMethod, body: bytes) -> bytes:
        """Decode a request, run its handler and encode the response.

        Raises PeerCallError.
        """
        try:
            request = method.decode(method.message.FromString(body))
        except (ValueError, DecodeError) as error:
            raise PeerCallError("malformed") from error
        try:
            reply = await method.handle(request)
        except BerylcartError as error:
            raise PeerCallError(str(error)) from error
        return method.encode(reply).SerializeToString()


class PeerServer:
    """Serve peers on an IP:PORT address; port 0 selects a free port."""

    def __init__(
        self,
        handlers: PeerHandlers,
        address: str,
        stages: StageHandlers | None = None,
        tail: TailHandlers | None = None,
        engines: EngineHandlers | None = None,
        buffer_budget: BufferBudget | None = None,
    ) -> None:
        self._service = PeerService(handlers, stages, tail, engines)
        self._buffer_budget = buffer_budget
        self._socket = bind(address)
        self._server: asyncio.Server | None = None
        self._connections: set[PeerConnection] = set()
        # In the order of their age.
        self._silent: dict[PeerConnection, None] = {}

    @property
    def address(self) -> str:
        """Return the IP:PORT address on which the server listens."""
        return bound_address(self._socket)

    async def start(self) -> None:
        """Start to accept connections."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            self._accept, sock=self._socket
        )

    def _accept(self) -> PeerConnection:
        connection = PeerConnection(
            self._service.handle_request,
            self._service.handle_notification,
            self._forget,
            self._buffer_budget,
            self._record_first_frame,
        )
        self._connections.add(connection)
        self._silent[connection] = None
        if len(self._silent) > MAX_SILENT_CONNECTIONS:
            oldest = next(iter(self._silent))
            events.warning(
                "peer.silent_limit_reached", count=len(self._silent)
            )
            del self._silent[oldest]
            oldest.abort()
        return connection

    def _record_first_frame(self, connection: PeerConnection) -> None:
        """Stop counting a connection among those without a frame."""
        self._silent.pop(connection, None)

    def _forget(self, connection: PeerConnection) -> None:
        """Drop a connection that has ended."""
        self._silent.pop(connection, None)
        self._connections.discard(connection)

    async def close(self, grace_s: float = CLOSE_GRACE_S) -> None:
        """Reject new calls, finish those in progress and close the server."""
        try:
            await self._service.drain(grace_s)
        finally:
            self.stop()
        if self._server is not None:
            await self._server.wait_closed()

    def stop(self) -> None:
        """Close the server and its connections, with calls in progress."""
        if self._server is not None:
            self._server.close()
        for connection in list(self._connections):
            connection.close()

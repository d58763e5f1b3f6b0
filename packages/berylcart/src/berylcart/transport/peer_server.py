"""Serve the calls of other daemons."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple

import anyio
from google.protobuf.message import DecodeError, Message

from berylcart import events
from berylcart.coordination.gateway.engine_home import EngineHandlers
from berylcart.coordination.gateway.held_bytes import HeldBytes
from berylcart.coordination.gateway.piece_queue import Order
from berylcart.coordination.gateway.shared_tail import TailHandlers
from berylcart.coordination.gateway.stage_home import StageHandlers
from berylcart.coordination.membership.peer_port import PeerHandlers
from berylcart.protocol import peer_codec as codec
from berylcart.protocol import peer_pb2 as pb
from berylcart.protocol import piece_codec, placement_codec
from berylcart.protocol.tail_codec import encode_tail
from berylcart.state.errors import BerylcartError
from berylcart.state.tail import TailAnswer
from berylcart.transport.listening import address_of, bind
from berylcart.transport.peer_connection import PeerCallError, PeerConnection

CLOSE_GRACE_S = 5.0
FREE_PIECES = "FreePieces"
TELL_ATTEMPT = "TellAttempt"


class Method(NamedTuple):
    """Describe a call: its message, its handler and how to translate."""

    message: type[Message]
    decode: Callable[[Any], Any]
    handle: Callable[[Any], Awaitable[Any]]
    encode: Callable[[Any], Message]


def unchanged(message: Any) -> Any:
    """Pass a message on as it is."""
    return message


def peer_methods(handlers: PeerHandlers) -> dict[str, Method]:
    """List the calls that every daemon answers, by name."""
    return {
        "Ping": Method(
            pb.PingMessage,
            codec.decode_ping,
            handlers.on_ping,
            codec.encode_gossip,
        ),
        "PingRequest": Method(
            pb.PingRequestMessage,
            codec.decode_ping_request,
            handlers.on_ping_request,
            lambda is_reached: pb.PingRequestReply(is_reached=is_reached),
        ),
        "Exchange": Method(
            pb.GossipMessage,
            codec.decode_gossip,
            handlers.on_exchange,
            codec.encode_gossip,
        ),
        "PullConfig": Method(
            pb.PullConfigMessage,
            codec.decode_config_query,
            handlers.on_pull_config,
            codec.encode_config_offer,
        ),
        "CollectAnswer": Method(
            pb.CollectAnswerMessage,
            codec.decode_answer_query,
            handlers.on_collect_answer,
            codec.encode_answer,
        ),
    }


def stage_methods(stages: StageHandlers) -> dict[str, Method]:
    """List the calls that a daemon answers which makes pieces, by name."""

    async def make(order: Order) -> pb.PiecesMessage:
        try:
            return piece_codec.encode_made(await stages.on_make_pieces(order))
        except BerylcartError as error:
            return piece_codec.encode_error(error)

    return {
        "MakePieces": Method(
            pb.PieceOrderMessage, piece_codec.decode_order, make, unchanged
        ),
    }


class NoticeMethod(NamedTuple):
    """Describe what needs no answer: its message and its handler."""

    message: type[Message]
    handle: Callable[[Any], None]


def stage_notices(stages: StageHandlers) -> dict[str, NoticeMethod]:
    """List the notices that a daemon takes which makes pieces, by name."""

    def free(message: pb.FreePiecesMessage) -> None:
        stages.on_free_pieces(
            message.service, tuple(message.handles), message.is_spare
        )

    return {FREE_PIECES: NoticeMethod(pb.FreePiecesMessage, free)}


def engine_methods(engines: EngineHandlers) -> dict[str, Method]:
    """List the calls that a daemon answers which places requests."""
    return {
        "PlaceRequest": Method(
            pb.PlaceRequestMessage,
            placement_codec.decode_query,
            engines.on_place_request,
            placement_codec.encode_placement,
        ),
    }


def engine_notices(engines: EngineHandlers) -> dict[str, NoticeMethod]:
    """List the notices that a daemon takes which places requests."""

    def hear(message: pb.AttemptMessage) -> None:
        engines.on_attempt(placement_codec.decode_attempt(message))

    return {TELL_ATTEMPT: NoticeMethod(pb.AttemptMessage, hear)}


def tail_methods(tail: TailHandlers) -> dict[str, Method]:
    """List the calls that a daemon answers which reads a log, by name."""

    async def read(start: int) -> TailAnswer | None:
        return tail.on_read_tail(start)

    return {
        "ReadTail": Method(
            pb.ReadTailMessage,
            lambda message: int(message.start),
            read,
            encode_tail,
        )
    }


class PeerService:
    """Translate calls to the handlers' typed ones."""

    def __init__(
        self,
        handlers: PeerHandlers,
        stages: StageHandlers | None = None,
        tail: TailHandlers | None = None,
        engines: EngineHandlers | None = None,
    ) -> None:
        self._methods = peer_methods(handlers)
        self._notices: dict[str, NoticeMethod] = {}
        if engines is not None:
            self._methods |= engine_methods(engines)
            self._notices |= engine_notices(engines)
        if stages is not None:
            self._methods |= stage_methods(stages)
            self._notices |= stage_notices(stages)
        if tail is not None:
            self._methods |= tail_methods(tail)
        self._calls = 0
        self._is_closing = False
        self._idle = anyio.Event()

    async def drain(self, grace_s: float) -> None:
        """Refuse new calls and wait for those in progress, up to a time."""
        self._is_closing = True
        if self._calls > 0:
            with anyio.move_on_after(grace_s):
                await self._idle.wait()

    async def answer(self, name: str, body: bytes) -> bytes:
        """Answer one call; raises PeerCallError."""
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

    def heed(self, name: str, body: bytes) -> None:
        """Take what needs no answer."""
        notice = self._notices.get(name)
        if notice is None:
            events.warning("peer.unknown_notice", method=name)
            return
        try:
            message = notice.message.FromString(body)
        except DecodeError as error:
            events.warning("peer.malformed", method=name, detail=str(error))
            return
        notice.handle(message)

    async def _handle(self, method: Method, body: bytes) -> bytes:
        """Have a call handled; raises PeerCallError."""
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
    """Listen for peers on an IP:PORT address; port 0 picks a free one."""

    def __init__(
        self,
        handlers: PeerHandlers,
        address: str,
        stages: StageHandlers | None = None,
        tail: TailHandlers | None = None,
        engines: EngineHandlers | None = None,
        held: HeldBytes | None = None,
    ) -> None:
        self._service = PeerService(handlers, stages, tail, engines)
        self._held = held
        self._socket = bind(address)
        self._server: asyncio.Server | None = None
        self._connections: set[PeerConnection] = set()

    @property
    def address(self) -> str:
        """Give the IP:PORT address listened at."""
        return address_of(self._socket)

    async def start(self) -> None:
        """Accept connections."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            self._accept, sock=self._socket
        )

    def _accept(self) -> PeerConnection:
        connection = PeerConnection(
            self._service.answer,
            self._service.heed,
            self._connections.discard,
            self._held,
        )
        self._connections.add(connection)
        return connection

    async def close(self, grace_s: float = CLOSE_GRACE_S) -> None:
        """Refuse new calls, finish those in progress and stop listening."""
        await self._service.drain(grace_s)
        if self._server is not None:
            self._server.close()
        for connection in list(self._connections):
            connection.close()
        if self._server is not None:
            await self._server.wait_closed()

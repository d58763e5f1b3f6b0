"""Call other daemons over persistent connections."""

import asyncio
from collections.abc import Callable, Sequence
from typing import TypeVar

import anyio
from cachetools import LRUCache
from google.protobuf.message import DecodeError, Message

from berylcart.coordination.gateway.batch_selection import PieceOrder
from berylcart.coordination.gateway.buffer_budget import BufferBudget
from berylcart.coordination.gateway.order_router import OrderResult
from berylcart.protocol import peer_codec as codec
from berylcart.protocol import peer_pb2 as pb
from berylcart.protocol import piece_codec, placement_codec
from berylcart.protocol.tail_codec import decode_tail
from berylcart.state.errors import BerylcartError, Code
from berylcart.state.peer_messages import (
    AnswerQuery,
    AttemptReport,
    ConfigQuery,
    ConfigReply,
    Gossip,
    Ping,
    PingRequest,
    Placement,
    PlacementQuery,
    StoredAnswer,
)
from berylcart.state.tail import TailAnswer
from berylcart.transport.peer_connection import (
    MAX_MESSAGE_BYTES,
    PeerCallError,
    PeerConnection,
)
from berylcart.transport.socket_addresses import split_address

MAX_CHANNELS = 32
MS_PER_S = 1000

Reply = TypeVar("Reply", bound=Message)
Decoded = TypeVar("Decoded")

# OverflowError is raised for a port number above 65535.
CALL_ERRORS = (
    DecodeError,
    OSError,
    OverflowError,
    PeerCallError,
    TimeoutError,
    ValueError,
)


class PeerChannel:
    """Open a connection on demand; close it once retired and unused."""

    def __init__(
        self, address: str, buffer_budget: BufferBudget | None = None
    ) -> None:
        self._address = address
        self._buffer_budget = buffer_budget
        self._connection: PeerConnection | None = None
        self._connect_lock = asyncio.Lock()
        self._calls = 0
        self._is_retired = False

    async def call(self, method: str, body: bytes, timeout_s: float) -> bytes:
        """Make one call; raises TimeoutError when it exceeds timeout_s.

        Raises OSError when the connection fails, PeerCallError when the peer
        returns an error, and ValueError when the message is too large.
        """
        if len(body) > MAX_MESSAGE_BYTES:
            raise ValueError(f"the message is too large: {len(body)} bytes")
        self._calls += 1
        try:
            with anyio.fail_after(timeout_s):
                connection = await self._open()
                return await connection.call(method, body)
        finally:
            self._calls -= 1
            self._close_if_unused()

    async def notify(self, method: str, body: bytes, timeout_s: float) -> None:
        """Send a notification; raises TimeoutError and OSError."""
        with anyio.fail_after(timeout_s):
            (await self._open()).notify(method, body)

    async def _open(self) -> PeerConnection:
        """Return the connection, reconnecting if it was lost."""
        async with self._connect_lock:
            if self._connection is None or not self._connection.is_open:
                host, port = split_address(self._address)
                loop = asyncio.get_running_loop()
                _, self._connection = await loop.create_connection(
                    lambda: PeerConnection(buffer_budget=self._buffer_budget),
                    host,
                    port,
                )
            return self._connection

    def retire(self) -> None:
        """Close the connection once the calls in progress have ended."""
        self._is_retired = True
        self._close_if_unused()

    def _close_if_unused(self) -> None:
        is_unused = self._is_retired and self._calls == 0
        if is_unused and self._connection is not None:
            self._connection.close()


class ChannelCache(LRUCache[str, PeerChannel]):
    """Keep the most recently used channels and retire evicted ones."""

    def popitem(self) -> tuple[str, PeerChannel]:
        """Evict the least recently used channel."""
        address, channel = super().popitem()
        channel.retire()
        return address, channel


class RpcPeers:
    """Implement the Peers port; requires a running asyncio loop."""

    def __init__(
        self,
        max_channels: int = MAX_CHANNELS,
        buffer_budget: BufferBudget | None = None,
    ) -> None:
        self._buffer_budget = buffer_budget
        self._channels = ChannelCache(maxsize=max_channels)

    def close(self) -> None:
        """Retire every channel."""
        while self._channels:
            self._channels.popitem()

    def _channel(self, address: str) -> PeerChannel:
        channel = self._channels.get(address)
        if channel is None:
            channel = PeerChannel(address, self._buffer_budget)
            self._channels[address] = channel
        return channel

    def _retire(self, address: str, channel: PeerChannel) -> None:
        """Drop a channel that failed, so that the next call reconnects.

        A connection broken by a network partition can stay unresponsive for
        minutes after the partition has healed.
        """
        if self._channels.get(address) is channel:
            del self._channels[address]
            channel.retire()

    async def _call(
        self,
        address: str,
        method: str,
        message: Message,
        reply: type[Reply],
        decode: Callable[[Reply], Decoded],
        timeout_ms: int,
    ) -> Decoded:
        channel = self._channel(address)
        try:
            body = await channel.call(
                method, message.SerializeToString(), timeout_ms / MS_PER_S
            )
            return decode(reply.FromString(body))
        except CALL_ERRORS as error:
            self._retire(address, channel)
            raise BerylcartError(
                Code.PEER_UNAVAILABLE,
                f"{method} to {address} failed: {type(error).__name__}",
            ) from error

    async def ping(
        self, address: str, ping: Ping, *, timeout_ms: int
    ) -> Gossip:
        """Probe a daemon, piggybacking gossip both ways."""
        return await self._call(
            address,
            "Ping",
            codec.encode_ping(ping),
            pb.GossipMessage,
            codec.decode_gossip,
            timeout_ms,
        )

    async def ping_request(
        self, address: str, request: PingRequest, *, timeout_ms: int
    ) -> bool:
        """Have a peer probe a third daemon; returns whether it answered."""
        return await self._call(
            address,
            "PingRequest",
            codec.encode_ping_request(request),
            pb.PingRequestReply,
            lambda reply: bool(reply.is_reached),
            timeout_ms,
        )

    async def exchange(
        self, address: str, gossip: Gossip, *, timeout_ms: int
    ) -> Gossip:
        """Exchange the full membership state."""
        return await self._call(
            address,
            "Exchange",
            codec.encode_gossip(gossip),
            pb.GossipMessage,
            codec.decode_gossip,
            timeout_ms,
        )

    async def pull_config(
        self, address: str, query: ConfigQuery, *, timeout_ms: int
    ) -> ConfigReply:
        """Fetch a peer's configuration if it is newer."""
        return await self._call(
            address,
            "PullConfig",
            codec.encode_config_query(query),
            pb.ConfigMessage,
            codec.decode_config_offer,
            timeout_ms,
        )

    async def collect_answer(
        self, address: str, query: AnswerQuery, *, timeout_ms: int
    ) -> StoredAnswer:
        """Fetch the stored response to a claimed request."""
        return await self._call(
            address,
            "CollectAnswer",
            codec.encode_answer_query(query),
            pb.AnswerMessage,
            codec.decode_answer,
            timeout_ms,
        )

    async def make_pieces(
        self, address: str, order: PieceOrder, *, timeout_ms: int
    ) -> OrderResult:
        """Have a peer compute the pieces of an order; raises its error."""
        reply = await self._call(
            address,
            "MakePieces",
            piece_codec.encode_order(order),
            pb.PiecesMessage,
            lambda message: message,
            timeout_ms,
        )
        try:
            return piece_codec.decode_results(reply)
        except ValueError as error:
            raise BerylcartError(
                Code.PEER_UNAVAILABLE, f"{address} sent an unknown code"
            ) from error

    async def read_tail(
        self, address: str, start: int, era: int, *, timeout_ms: int
    ) -> TailAnswer | None:
        """Fetch the tail of a log; None when the peer does not have it."""
        return await self._call(
            address,
            "ReadTail",
            pb.ReadTailMessage(start=start, era=era),
            pb.TailMessage,
            decode_tail,
            timeout_ms,
        )

    async def free_pieces(
        self,
        address: str,
        service: str,
        handles: Sequence[str],
        is_spare: bool,
        *,
        timeout_ms: int,
    ) -> None:
        """Notify a peer that results may be freed.

        Spare results are freed only when memory runs short.
        """
        message = pb.FreePiecesMessage(
            service=service, handles=handles, is_spare=is_spare
        )
        await self._notify(address, "FreePieces", message, timeout_ms)

    async def place_request(
        self, address: str, query: PlacementQuery, *, timeout_ms: int
    ) -> Placement | None:
        """Have the home daemon of an engine service choose a replica."""
        return await self._call(
            address,
            "PlaceRequest",
            placement_codec.encode_query(query),
            pb.PlacementMessage,
            placement_codec.decode_placement,
            timeout_ms,
        )

    async def report_attempt(
        self, address: str, report: AttemptReport, *, timeout_ms: int
    ) -> None:
        """Notify a peer of the progress or outcome of a placed request."""
        message = placement_codec.encode_attempt(report)
        await self._notify(address, "TellAttempt", message, timeout_ms)

    async def _notify(
        self, address: str, method: str, message: Message, timeout_ms: int
    ) -> None:
        channel = self._channel(address)
        try:
            await channel.notify(
                method, message.SerializeToString(), timeout_ms / MS_PER_S
            )
        except CALL_ERRORS as error:
            self._retire(address, channel)
            raise BerylcartError(
                Code.PEER_UNAVAILABLE,
                f"{method} to {address} failed: {type(error).__name__}",
            ) from error

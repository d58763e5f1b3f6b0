"""Call other daemons over gRPC."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any, TypeVar

from cachetools import LRUCache
from grpclib.client import Channel
from grpclib.config import Configuration
from grpclib.exceptions import GRPCError, ProtocolError, StreamTerminatedError

from berylcart.protocol import peer_codec as codec
from berylcart.protocol.peer_grpc import PeerStub
from berylcart.state.errors import BerylcartError, Code
from berylcart.state.peer_messages import (
    AnswerQuery,
    ConfigOffer,
    ConfigQuery,
    Gossip,
    Ping,
    PingRequest,
    StoredAnswer,
)
from berylcart.transport.listening import split_address

MAX_MESSAGE_BYTES = 4 * 2**20
MAX_CHANNELS = 32
MS_PER_S = 1000

Reply = TypeVar("Reply")
Decoded = TypeVar("Decoded")

CALL_ERRORS = (
    GRPCError,
    OSError,
    ProtocolError,
    StreamTerminatedError,
    TimeoutError,
    asyncio.TimeoutError,
    ValueError,
)


class ChannelCache(LRUCache[str, Channel]):
    """Keep the channels last used and close the others."""

    def popitem(self) -> tuple[str, Channel]:
        """Evict and close the channel that was unused for longest."""
        address, channel = super().popitem()
        channel.close()
        return address, channel


def open_channel(address: str) -> Channel:
    """Make a channel that connects at its first call."""
    host, port = split_address(address)
    return Channel(host, port, config=Configuration())


class GrpcPeers:
    """Implement the Peers port over grpclib; needs a running asyncio loop."""

    def __init__(self, max_channels: int = MAX_CHANNELS) -> None:
        self._channels = ChannelCache(maxsize=max_channels)

    def close(self) -> None:
        """Close every channel."""
        while self._channels:
            self._channels.popitem()

    def _stub(self, address: str) -> PeerStub:
        channel = self._channels.get(address)
        if channel is None:
            channel = open_channel(address)
            self._channels[address] = channel
        return PeerStub(channel)

    def _drop(self, address: str) -> None:
        channel = self._channels.pop(address, None)
        if channel is not None:
            channel.close()

    async def _call(
        self,
        address: str,
        method: str,
        message: object,
        decode: Callable[[Any], Decoded],
        timeout_ms: int,
    ) -> Decoded:
        call: Callable[..., Awaitable[Any]] = getattr(
            self._stub(address), method
        )
        timeout_s = timeout_ms / MS_PER_S
        try:
            reply = await asyncio.wait_for(
                call(message, timeout=timeout_s), timeout_s
            )
            return decode(reply)
        except CALL_ERRORS as error:
            self._drop(address)
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
            codec.decode_gossip,
            timeout_ms,
        )

    async def ping_request(
        self, address: str, request: PingRequest, *, timeout_ms: int
    ) -> bool:
        """Have a peer probe a third daemon and say whether it answered."""
        return await self._call(
            address,
            "PingRequest",
            codec.encode_ping_request(request),
            lambda reply: bool(reply.is_reached),
            timeout_ms,
        )

    async def exchange(
        self, address: str, gossip: Gossip, *, timeout_ms: int
    ) -> Gossip:
        """Swap the whole membership state."""
        return await self._call(
            address,
            "Exchange",
            codec.encode_gossip(gossip),
            codec.decode_gossip,
            timeout_ms,
        )

    async def pull_config(
        self, address: str, query: ConfigQuery, *, timeout_ms: int
    ) -> ConfigOffer:
        """Fetch a peer's configuration if it is newer."""
        return await self._call(
            address,
            "PullConfig",
            codec.encode_config_query(query),
            codec.decode_config_offer,
            timeout_ms,
        )

    async def collect_answer(
        self, address: str, query: AnswerQuery, *, timeout_ms: int
    ) -> StoredAnswer:
        """Collect the stored answer of a claimed request."""
        return await self._call(
            address,
            "CollectAnswer",
            codec.encode_answer_query(query),
            codec.decode_answer,
            timeout_ms,
        )

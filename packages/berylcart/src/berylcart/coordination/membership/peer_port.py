"""Define the ports for calls between daemons."""

from typing import Protocol

from berylcart.state.peer_messages import (
    AnswerQuery,
    ConfigQuery,
    ConfigReply,
    Gossip,
    Ping,
    PingRequest,
    StoredAnswer,
)


class Peers(Protocol):
    """Call the daemon at an IP:PORT address.

    Every call raises BerylcartError with Code.PEER_UNAVAILABLE when no
    reply arrives within timeout_ms.
    """

    async def ping(
        self, address: str, ping: Ping, *, timeout_ms: int
    ) -> Gossip:
        """Probe a daemon, with gossip piggybacked on request and reply."""
        ...

    async def ping_request(
        self, address: str, request: PingRequest, *, timeout_ms: int
    ) -> bool:
        """Have a peer probe another daemon; return whether it replied."""
        ...

    async def exchange(
        self, address: str, gossip: Gossip, *, timeout_ms: int
    ) -> Gossip:
        """Exchange full membership states."""
        ...

    async def pull_config(
        self, address: str, query: ConfigQuery, *, timeout_ms: int
    ) -> ConfigReply:
        """Fetch a peer's configuration if it is newer."""
        ...

    async def collect_answer(
        self, address: str, query: AnswerQuery, *, timeout_ms: int
    ) -> StoredAnswer:
        """Collect the stored answer of a claimed request."""
        ...


class PeerHandlers(Protocol):
    """Handle the calls of other daemons."""

    async def on_ping(self, ping: Ping) -> Gossip:
        """Merge a probe's gossip and reply with gossip."""
        ...

    async def on_ping_request(self, request: PingRequest) -> bool:
        """Probe another daemon on behalf of a peer."""
        ...

    async def on_exchange(self, gossip: Gossip) -> Gossip:
        """Merge a peer's full state and return the local one."""
        ...

    async def on_pull_config(self, query: ConfigQuery) -> ConfigReply:
        """Return the configuration if it is newer than the peer's."""
        ...

    async def on_collect_answer(self, query: AnswerQuery) -> StoredAnswer:
        """Return the stored answer of a claimed request."""
        ...

"""Define the port through which daemons call one another."""

from typing import Protocol

from berylcart.state.peer_messages import (
    AnswerQuery,
    ConfigOffer,
    ConfigQuery,
    Gossip,
    Ping,
    PingRequest,
    StoredAnswer,
)


class Peers(Protocol):
    """Call the daemon at an IP:PORT address.

    Every call raises BerylcartError with Code.PEER_UNAVAILABLE when no
    answer arrives within timeout_ms.
    """

    async def ping(
        self, address: str, ping: Ping, *, timeout_ms: int
    ) -> Gossip:
        """Probe a daemon, piggybacking gossip both ways."""
        ...

    async def ping_request(
        self, address: str, request: PingRequest, *, timeout_ms: int
    ) -> bool:
        """Have a peer probe a third daemon and say whether it answered."""
        ...

    async def exchange(
        self, address: str, gossip: Gossip, *, timeout_ms: int
    ) -> Gossip:
        """Swap the whole membership state."""
        ...

    async def pull_config(
        self, address: str, query: ConfigQuery, *, timeout_ms: int
    ) -> ConfigOffer:
        """Fetch a peer's configuration if it is newer."""
        ...

    async def collect_answer(
        self, address: str, query: AnswerQuery, *, timeout_ms: int
    ) -> StoredAnswer:
        """Collect the stored answer of a claimed request."""
        ...


class PeerHandlers(Protocol):
    """Answer the calls of other daemons."""

    async def on_ping(self, ping: Ping) -> Gossip:
        """Answer a probe."""
        ...

    async def on_ping_request(self, request: PingRequest) -> bool:
        """Probe a third daemon for a peer."""
        ...

    async def on_exchange(self, gossip: Gossip) -> Gossip:
        """Merge a peer's whole state and give the own."""
        ...

    async def on_pull_config(self, query: ConfigQuery) -> ConfigOffer:
        """Give the configuration if it is newer than the peer's."""
        ...

    async def on_collect_answer(self, query: AnswerQuery) -> StoredAnswer:
        """Give the stored answer of a claimed request."""
        ...

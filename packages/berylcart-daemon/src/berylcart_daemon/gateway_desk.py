"""Answer the other daemons of a gateway."""

from berylcart.coordination.gateway.route_keeper import RouteKeeper
from berylcart.coordination.membership.membership import Membership
from berylcart.state.peer_messages import (
    AnswerQuery,
    AnswerState,
    ConfigOffer,
    ConfigQuery,
    Gossip,
    Ping,
    PingRequest,
    StoredAnswer,
)


class GatewayDesk:
    """Pass other daemons' calls to the parts that answer them."""

    def __init__(self, membership: Membership, keeper: RouteKeeper) -> None:
        self.membership = membership
        self.keeper = keeper

    async def on_ping(self, ping: Ping) -> Gossip:
        """Answer a probe."""
        return await self.membership.on_ping(ping)

    async def on_ping_request(self, request: PingRequest) -> bool:
        """Probe a third daemon for a peer."""
        return await self.membership.on_ping_request(request)

    async def on_exchange(self, gossip: Gossip) -> Gossip:
        """Merge a peer's whole state and give the own."""
        return await self.membership.on_exchange(gossip)

    async def on_pull_config(self, query: ConfigQuery) -> ConfigOffer:
        """Give the routes if they are newer than the peer's."""
        return self.keeper.offer_for(query.known_version)

    async def on_collect_answer(self, query: AnswerQuery) -> StoredAnswer:
        """Know no stored answers: a gateway sends no request twice."""
        return StoredAnswer(AnswerState.UNKNOWN)

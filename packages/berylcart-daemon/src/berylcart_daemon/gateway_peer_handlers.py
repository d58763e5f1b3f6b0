"""Handle RPCs from the other gateway daemons."""

from berylcart.coordination.gateway.route_table_holder import RouteTableHolder
from berylcart.coordination.membership.membership import Membership
from berylcart.state.peer_messages import (
    AnswerQuery,
    AnswerState,
    ConfigQuery,
    ConfigReply,
    Gossip,
    Ping,
    PingRequest,
    StoredAnswer,
)


class GatewayPeerHandlers:
    """Dispatch RPCs from other daemons to the parts of this daemon."""

    def __init__(
        self, membership: Membership, route_table_holder: RouteTableHolder
    ) -> None:
        self.membership = membership
        self.route_table_holder = route_table_holder

    async def on_ping(self, ping: Ping) -> Gossip:
        """Answer a ping with gossip."""
        return await self.membership.on_ping(ping)

    async def on_ping_request(self, request: PingRequest) -> bool:
        """Probe another daemon on behalf of a peer (indirect probe)."""
        return await self.membership.on_ping_request(request)

    async def on_exchange(self, gossip: Gossip) -> Gossip:
        """Merge a peer's full membership state and return this daemon's."""
        return await self.membership.on_exchange(gossip)

    async def on_pull_config(self, query: ConfigQuery) -> ConfigReply:
        """Give the routes if they are newer than the peer's version."""
        return self.route_table_holder.offer_for(query.known_version)

    async def on_collect_answer(self, query: AnswerQuery) -> StoredAnswer:
        """Report no stored answer, since gateway daemons store none."""
        return StoredAnswer(AnswerState.UNKNOWN)

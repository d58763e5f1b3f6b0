"""Answer other daemons and collect answers from them."""

from berylcart.coordination.claims.answers import (
    Collected,
    CollectState,
    StoredAnswer,
)
from berylcart.coordination.claims.keeper import ClaimKeeper
from berylcart.coordination.membership.membership import Membership
from berylcart.coordination.membership.peer_port import Peers
from berylcart.coordination.policy.stage_policy import Configurations
from berylcart.state import peer_messages
from berylcart.state.errors import BerylcartError, Code, Ran
from berylcart.state.member_table import Member
from berylcart.state.peer_messages import (
    AnswerQuery,
    AnswerState,
    ConfigOffer,
    ConfigQuery,
    Gossip,
    Ping,
    PingRequest,
)

from berylcart_daemon.config_exchange import ConfigExchange

COLLECT_TIMEOUT_MS = 1000


def encode_collected(collected: Collected) -> peer_messages.StoredAnswer:
    """Turn what a claimant knows into a peer message.

    >>> encode_collected(Collected(CollectState.PENDING)).state.name
    'PENDING'
    """
    answer = collected.answer
    if answer is not None:
        return peer_messages.StoredAnswer(
            AnswerState.STORED, answer.code, answer.ran.value, answer.body
        )
    if collected.state is CollectState.PENDING:
        return peer_messages.StoredAnswer(AnswerState.PENDING)
    return peer_messages.StoredAnswer(AnswerState.UNKNOWN)


def decode_collected(message: peer_messages.StoredAnswer) -> Collected:
    """Read a peer message; raises BerylcartError when malformed.

    >>> pending = peer_messages.StoredAnswer(AnswerState.PENDING)
    >>> decode_collected(pending).state.name
    'PENDING'
    """
    if message.state is AnswerState.PENDING:
        return Collected(CollectState.PENDING)
    if message.state is not AnswerState.STORED:
        return Collected(CollectState.UNKNOWN)
    try:
        ran = Ran(message.content_type)
    except ValueError:
        raise BerylcartError(
            Code.PEER_UNAVAILABLE, "a peer sent a malformed answer"
        ) from None
    answer = StoredAnswer(ran, message.status, message.body)
    return Collected(CollectState.ANSWERED, answer)


class AnswerCollector:
    """Ask the daemon that claimed a key for its answer."""

    def __init__(self, peers: Peers, configurations: Configurations) -> None:
        self.peers = peers
        self.configurations = configurations
        self.membership: Membership | None = None

    async def collect(
        self, claimant: str, key_digest: str, claim_id: str, workspace: str
    ) -> Collected:
        """Collect an answer; raises BerylcartError when it is gone."""
        member = self.find_member(claimant.rpartition("/")[0])
        self.check_place(member.place, workspace)
        message = await self.peers.collect_answer(
            member.peer_address,
            AnswerQuery(key_digest, claim_id, workspace),
            timeout_ms=COLLECT_TIMEOUT_MS,
        )
        return decode_collected(message)

    def find_member(self, daemon_id: str) -> Member:
        """Find a live daemon; raises BerylcartError."""
        members = self.membership.live_members() if self.membership else []
        for member in members:
            if member.daemon_id == daemon_id:
                return member
        raise BerylcartError(
            Code.PEER_UNAVAILABLE, f"{daemon_id} is not a live member"
        )

    def check_place(self, place: str, workspace: str) -> None:
        """Raise BerylcartError unless data may come from a place."""
        owner = self.configurations.require().workspaces.get(workspace)
        if owner is None or place not in owner.places:
            raise BerylcartError(
                Code.PLACE_NOT_PERMITTED,
                f"{place} may not handle workspace {workspace}",
            )


class PeerDesk:
    """Answer the calls of other daemons."""

    def __init__(
        self,
        membership: Membership,
        exchange: ConfigExchange,
        claims: ClaimKeeper,
    ) -> None:
        self.membership = membership
        self.exchange = exchange
        self.claims = claims

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
        """Give the configuration if it is newer than the peer's."""
        return self.exchange.offer_for(query)

    async def on_collect_answer(
        self, query: AnswerQuery
    ) -> peer_messages.StoredAnswer:
        """Give the stored answer of a claimed request."""
        collected = await self.claims.collect(query.key_digest, query.claim_id)
        return encode_collected(collected)

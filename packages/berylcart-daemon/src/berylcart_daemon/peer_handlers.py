"""Handle RPCs from peers and collect stored answers from them."""

from berylcart.coordination.claims.answers import (
    CollectResult,
    CollectState,
    StoredAnswer,
)
from berylcart.coordination.claims.coordinator import ClaimCoordinator
from berylcart.coordination.membership.membership import Membership
from berylcart.coordination.membership.peer_port import Peers
from berylcart.coordination.policy.stage_policy import Configurations
from berylcart.state import peer_messages
from berylcart.state.errors import BerylcartError, Code, Ran
from berylcart.state.member_table import Member
from berylcart.state.peer_messages import (
    AnswerQuery,
    AnswerState,
    ConfigQuery,
    ConfigReply,
    Gossip,
    Ping,
    PingRequest,
)

from berylcart_daemon.config_sync import ConfigSync

COLLECT_TIMEOUT_MS = 1000


def encode_collected(collected: CollectResult) -> peer_messages.StoredAnswer:
    """Encode the state of a claimed request as a peer message.

    >>> encode_collected(CollectResult(CollectState.PENDING)).state.name
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


def decode_collected(message: peer_messages.StoredAnswer) -> CollectResult:
    """Decode a peer message; raises PEER_UNAVAILABLE if it is malformed.

    >>> pending = peer_messages.StoredAnswer(AnswerState.PENDING)
    >>> decode_collected(pending).state.name
    'PENDING'
    """
    if message.state is AnswerState.PENDING:
        return CollectResult(CollectState.PENDING)
    if message.state is not AnswerState.STORED:
        return CollectResult(CollectState.UNKNOWN)
    try:
        ran = Ran(message.content_type)
    except ValueError:
        raise BerylcartError(
            Code.PEER_UNAVAILABLE, "a peer sent a malformed answer"
        ) from None
    answer = StoredAnswer(ran, message.status, message.body)
    return CollectResult(CollectState.ANSWERED, answer)


class AnswerCollector:
    """Collect stored answers from the daemons that claimed their keys."""

    def __init__(self, peers: Peers, configurations: Configurations) -> None:
        self.peers = peers
        self.configurations = configurations
        self.membership: Membership | None = None

    async def collect(
        self, claimant: str, key_digest: str, claim_id: str, workspace: str
    ) -> CollectResult:
        """Collect an answer from its claimant; raises BerylcartError."""
        member = self.find_member(claimant.rpartition("/")[0])
        self.check_place(member.place, workspace)
        message = await self.peers.collect_answer(
            member.peer_address,
            AnswerQuery(key_digest, claim_id, workspace),
            timeout_ms=COLLECT_TIMEOUT_MS,
        )
        return decode_collected(message)

    def find_member(self, daemon_id: str) -> Member:
        """Find a live member by its id; raises PEER_UNAVAILABLE."""
        members = self.membership.live_members() if self.membership else []
        for member in members:
            if member.daemon_id == daemon_id:
                return member
        raise BerylcartError(
            Code.PEER_UNAVAILABLE, f"{daemon_id} is not a live member"
        )

    def check_place(self, place: str, workspace: str) -> None:
        """Raise PLACE_NOT_PERMITTED unless the place may hold the data."""
        definition = self.configurations.require().workspaces.get(workspace)
        if definition is None or place not in definition.places:
            raise BerylcartError(
                Code.PLACE_NOT_PERMITTED,
                f"{place} may not handle workspace {workspace}",
            )


class EntryPeerHandlers:
    """Dispatch RPCs from other daemons to the parts of this daemon."""

    def __init__(
        self,
        membership: Membership,
        sync: ConfigSync,
        claims: ClaimCoordinator,
    ) -> None:
        self.membership = membership
        self.sync = sync
        self.claims = claims

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
        """Give the configuration if it is newer than the peer's version."""
        return self.sync.offer_for(query)

    async def on_collect_answer(
        self, query: AnswerQuery
    ) -> peer_messages.StoredAnswer:
        """Give the state and stored answer of a request claimed here."""
        collected = await self.claims.collect(query.key_digest, query.claim_id)
        return encode_collected(collected)

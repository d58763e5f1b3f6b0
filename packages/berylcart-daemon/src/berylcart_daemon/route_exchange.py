"""Learn newer routes and evacuations from peers.

This also works while the store refuses this daemon.
"""

from collections.abc import Callable, Sequence

import anyio
from berylcart import events
from berylcart.coordination.gateway.evacuations import Evacuations
from berylcart.coordination.gateway.route_keeper import RouteKeeper
from berylcart.coordination.membership.hooks import MembershipHooks
from berylcart.coordination.membership.peer_port import Peers
from berylcart.coordination.policy.vm_directory import VmDirectory
from berylcart.state.errors import BerylcartError
from berylcart.state.leaving_marks import LeavingMark
from berylcart.state.member_table import Member
from berylcart.state.peer_messages import (
    ConfigFreshness,
    ConfigQuery,
    EvacuationNews,
    LimitNews,
)

PULL_TIMEOUT_MS = 1000


class RouteExchange(MembershipHooks):
    """Report the routes in force to peers and pull theirs when newer."""

    def __init__(
        self,
        keeper: RouteKeeper,
        evacuated: Evacuations,
        directory: VmDirectory,
        peers: Peers,
    ) -> None:
        self.keeper = keeper
        self.evacuated = evacuated
        self.directory = directory
        self.peers = peers
        self.wanted: Sequence[str] = ()
        self.is_wanted = anyio.Event()
        self.on_members: Callable[[], None] = lambda: None
        self.on_limit_news: Callable[[LimitNews], None] = lambda news: None

    def on_change(self, member: Member) -> None:
        """Hear that a member joined, changed its state or went."""
        self.on_members()

    def config(self) -> ConfigFreshness:
        """Give the version in force here."""
        return self.keeper.freshness()

    def on_config(self, address: str, config: ConfigFreshness) -> None:
        """Ask a peer that has a newer version."""
        if config.version > self.keeper.version:
            self.wanted = (address,)
            self.is_wanted.set()

    def on_limit(self, news: LimitNews) -> None:
        """Hear what a replica takes from all daemons together."""
        self.on_limit_news(news)

    def evacuations(self) -> Sequence[EvacuationNews]:
        """Give what is known here of evacuated places."""
        return self.evacuated.news()

    def on_evacuations(
        self, sender_id: str, news: Sequence[EvacuationNews]
    ) -> None:
        """Take what a peer knows of evacuated places."""
        self.evacuated.hear(sender_id, news)

    def on_leaving(self, mark: LeavingMark) -> None:
        """Give a leaving upstream no new work."""
        self.directory.mark_leaving(mark.vm_id, mark.incarnation)

    async def run(self) -> None:
        """Pull whenever a peer is ahead, until cancelled."""
        while True:
            await self.is_wanted.wait()
            self.is_wanted = anyio.Event()
            for address in self.wanted:
                await self.pull(address)

    async def pull(self, address: str) -> None:
        """Ask one peer for newer routes."""
        query = ConfigQuery(self.keeper.version, self.keeper.offset)
        try:
            offer = await self.peers.pull_config(
                address, query, timeout_ms=PULL_TIMEOUT_MS
            )
        except BerylcartError as error:
            events.warning(
                "routes.pull_failed", peer=address, detail=error.detail
            )
            return
        if offer.checkpoint is not None:
            self.keeper.offer(
                offer.checkpoint.text, offer.checkpoint.as_of_offset, address
            )

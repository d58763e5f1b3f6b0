"""Send each service's pieces to the one daemon that batches them."""

from collections.abc import Callable, Sequence
from typing import Protocol

import anyio

from berylcart import events
from berylcart.coordination.claims.homes import find_home
from berylcart.coordination.gateway.batcher import Batcher
from berylcart.coordination.gateway.piece_queue import Order
from berylcart.state.errors import BerylcartError, Code
from berylcart.state.member_table import Member

MS_PER_S = 1000
# A home that fails is passed by for as long as a suspicion takes.
SHUN_S = 3.0


class StagePeers(Protocol):
    """Call the daemon at an address; each call raises BerylcartError.

    A daemon that doesn't answer gives PEER_UNAVAILABLE, any other code is
    its own verdict.
    """

    async def make_pieces(
        self, address: str, order: Order, *, timeout_ms: int
    ) -> tuple[str, ...]:
        """Have the pieces of an order made."""
        ...

    async def free_pieces(
        self,
        address: str,
        service: str,
        handles: Sequence[str],
        *,
        timeout_ms: int,
    ) -> None:
        """Have results dropped."""
        ...


class StageHandlers(Protocol):
    """Answer the orders of other daemons."""

    async def on_make_pieces(self, order: Order) -> tuple[str, ...]:
        """Make the pieces of an order; raises BerylcartError."""
        ...

    async def on_free_pieces(
        self, service: str, handles: Sequence[str]
    ) -> None:
        """Drop results."""
        ...


class StageHome:
    """Choose by rendezvous hashing whose batcher takes an order.

    Two daemons that disagree for a moment both may batch for a service; that
    costs time and no promise.
    """

    def __init__(
        self,
        daemon_id: str,
        peers: StagePeers,
        members: Callable[[], Sequence[Member]],
        batcher_of: Callable[[str], Batcher],
    ) -> None:
        self.daemon_id = daemon_id
        self.peers = peers
        self.members = members
        self.batcher_of = batcher_of
        self.shunned: dict[str, float] = {}

    def home_of(self, service: str) -> Member | None:
        """Find a service's home, None where it is this daemon."""
        now_s = anyio.current_time()
        usable = {
            member.daemon_id: member
            for member in self.members()
            if not member.is_leaving
            and self.shunned.get(member.daemon_id, now_s) <= now_s
        }
        name = find_home(service, sorted(usable))
        if name is None or name == self.daemon_id:
            return None
        return usable[name]

    async def make(self, order: Order) -> tuple[str, ...]:
        """Have the pieces of an order made; raises BerylcartError."""
        home = self.home_of(order.service)
        if home is None:
            return await self.batcher_of(order.service).make(order)
        left_s = order.deadline_s - anyio.current_time()
        try:
            return await self.peers.make_pieces(
                home.peer_address,
                order,
                timeout_ms=max(1, int(left_s * MS_PER_S)),
            )
        except BerylcartError as error:
            if error.code is not Code.PEER_UNAVAILABLE:
                raise
            events.warning(
                "home.failed",
                request_id=order.request_id,
                service=order.service,
                home=home.daemon_id,
                detail=error.detail,
            )
        self.shunned[home.daemon_id] = anyio.current_time() + SHUN_S
        return await self.batcher_of(order.service).make(order)

    async def on_make_pieces(self, order: Order) -> tuple[str, ...]:
        """Make the pieces of another daemon's order."""
        return await self.batcher_of(order.service).make(order)

    async def on_free_pieces(
        self, service: str, handles: Sequence[str]
    ) -> None:
        """Drop results for another daemon."""
        await self.batcher_of(service).free(handles)

    async def free(self, service: str, handles: Sequence[str]) -> None:
        """Have results dropped that nobody reads any more."""
        home = self.home_of(service)
        if home is None:
            await self.batcher_of(service).free(handles)
            return
        try:
            await self.peers.free_pieces(
                home.peer_address, service, handles, timeout_ms=MS_PER_S
            )
        except BerylcartError as error:
            events.info(
                "results.not_freed",
                home=home.daemon_id,
                service=service,
                detail=error.detail,
            )

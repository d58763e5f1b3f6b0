"""Send each service's pieces to the one daemon that batches them."""

from collections.abc import Callable, Sequence
from typing import NamedTuple, Protocol

import anyio

from berylcart import clock, events
from berylcart.coordination.claims.homes import find_home
from berylcart.coordination.gateway.backlogs import Backlogs
from berylcart.coordination.gateway.batcher import Batcher
from berylcart.coordination.gateway.home_capacity import able_members
from berylcart.coordination.gateway.piece_queue import Order
from berylcart.state.errors import BerylcartError, Code
from berylcart.state.member_table import Member, MemberState

MS_PER_S = 1000
# A home that fails is passed by for as long as a suspicion takes.
SHUN_S = 3.0
FREE_TIMEOUT_MS = 1000


class MadePieces(NamedTuple):
    """Carry the results of an order and how far the service is behind."""

    handles: tuple[str, ...]
    backlog_s: float


class StagePeers(Protocol):
    """Call the daemon at an address; each call raises BerylcartError.

    A daemon that doesn't answer gives PEER_UNAVAILABLE, any other code is
    its own verdict.
    """

    async def make_pieces(
        self, address: str, order: Order, *, timeout_ms: int
    ) -> MadePieces:
        """Have the pieces of an order made."""
        ...

    async def free_pieces(
        self,
        address: str,
        service: str,
        handles: Sequence[str],
        is_spare: bool,
        *,
        timeout_ms: int,
    ) -> None:
        """Tell that results may go, spare ones only where room is short.

        Nothing answers; results that the daemon misses expire.
        """
        ...


class StageHandlers(Protocol):
    """Answer the orders of other daemons."""

    async def on_make_pieces(self, order: Order) -> MadePieces:
        """Make the pieces of an order; raises BerylcartError."""
        ...

    def on_free_pieces(
        self, service: str, handles: Sequence[str], is_spare: bool
    ) -> None:
        """Drop results soon, spare ones only where room is short."""
        ...


class HomeCall:
    """Call a home for as long as it seems to run."""

    def __init__(self, peers: StagePeers, home: Member, order: Order) -> None:
        self.peers = peers
        self.home = home
        self.order = order
        self.scope = anyio.CancelScope()

    async def make(self) -> MadePieces:
        """Have the order made; raises BerylcartError."""
        left_s = self.order.deadline_s - clock.now_s()
        with self.scope:
            return await self.peers.make_pieces(
                self.home.peer_address,
                self.order,
                timeout_ms=max(1, int(left_s * MS_PER_S)),
            )
        raise BerylcartError(
            Code.PEER_UNAVAILABLE, f"{self.home.daemon_id} is suspected"
        )


def is_running(home: Member, members: Sequence[Member]) -> bool:
    """Tell whether a home still counts as running, without suspicion."""
    return any(
        member.daemon_id == home.daemon_id
        and member.incarnation == home.incarnation
        and member.state is MemberState.ALIVE
        for member in members
    )


class StageHome:
    """Choose by rendezvous hashing whose batcher takes an order.

    Daemons that carry far less than others are no homes.

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
        self.backlogs = Backlogs()
        self.shunned: dict[str, float] = {}
        self.calls: set[HomeCall] = set()

    def note_members(self) -> None:
        """End the calls to homes that no longer seem to run."""
        members = self.members()
        for call in self.calls:
            if not is_running(call.home, members):
                call.scope.cancel()

    def home_of(self, service: str) -> Member | None:
        """Find a service's home, None where it is this daemon."""
        now_s = clock.now_s()
        usable = [
            member
            for member in self.members()
            if not member.is_leaving
            and member.state is MemberState.ALIVE
            and self.shunned.get(member.daemon_id, now_s) <= now_s
        ]
        able = {each.daemon_id: each for each in able_members(usable)}
        name = find_home(service, sorted(able))
        if name is None or name == self.daemon_id:
            return None
        return able[name]

    async def make(self, order: Order) -> tuple[str, ...]:
        """Have the pieces of an order made; raises BerylcartError."""
        while True:
            home = self.home_of(order.service)
            if home is None:
                return self.take(order, await self.make_here(order))
            call = HomeCall(self.peers, home, order)
            self.calls.add(call)
            try:
                return self.take(order, await call.make())
            except BerylcartError as error:
                if error.code is not Code.PEER_UNAVAILABLE:
                    self.note_refused(order, error)
                    raise
                self.note_failed(home, order, error)
            finally:
                self.calls.discard(call)

    def take(self, order: Order, made: MadePieces) -> tuple[str, ...]:
        """Take an order's results and the news that come with them."""
        self.backlogs.note(order.service, made.backlog_s)
        return made.handles

    def note_refused(self, order: Order, error: BerylcartError) -> None:
        """Take how far behind a service is from the refusal of an order.

        A lack of replicas where an order may run says nothing of others.
        """
        if order.places is not None and error.code is Code.NO_UPSTREAM:
            return
        wait_s = (error.retry_after_ms or 0) / MS_PER_S
        self.backlogs.note(order.service, wait_s)

    def note_failed(
        self, home: Member, order: Order, error: BerylcartError
    ) -> None:
        """Pass by a home that failed; raises OVERLOADED without time left."""
        events.warning(
            "home.failed",
            request_id=order.request_id,
            service=order.service,
            home=home.daemon_id,
            detail=error.detail,
        )
        if clock.now_s() >= order.deadline_s:
            raise BerylcartError(
                Code.OVERLOADED, f"{order.service} gave no results in time"
            )
        self.shunned[home.daemon_id] = clock.now_s() + SHUN_S

    async def on_make_pieces(self, order: Order) -> MadePieces:
        """Make the pieces of another daemon's order."""
        return await self.make_here(order)

    async def make_here(self, order: Order) -> MadePieces:
        """Make the pieces of an order with this daemon's batcher."""
        batcher = self.batcher_of(order.service)
        handles = await batcher.make(order)
        return MadePieces(handles, batcher.backlog_s())

    def on_free_pieces(
        self, service: str, handles: Sequence[str], is_spare: bool
    ) -> None:
        """Drop results for another daemon."""
        batcher = self.batcher_of(service)
        if is_spare:
            batcher.note_spare(handles)
        else:
            batcher.drop(handles)

    async def free(
        self, service: str, handles: Sequence[str], is_spare: bool = False
    ) -> None:
        """Have results dropped that nobody reads any more.

        Spare ones are read again if a piece fails, and are dropped only
        where room is short.
        """
        home = self.home_of(service)
        if home is None:
            self.on_free_pieces(service, handles, is_spare)
            return
        try:
            await self.peers.free_pieces(
                home.peer_address,
                service,
                handles,
                is_spare,
                timeout_ms=FREE_TIMEOUT_MS,
            )
        except BerylcartError as error:
            events.info(
                "results.not_freed",
                home=home.daemon_id,
                service=service,
                detail=error.detail,
            )

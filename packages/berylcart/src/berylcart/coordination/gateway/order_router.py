"""Send each service's orders to its home, the daemon that batches them.

The home of a service is the daemon that rendezvous hashing assigns to it.
"""

from collections.abc import Callable, Sequence
from typing import NamedTuple, Protocol

import anyio

from berylcart import clock, events
from berylcart.coordination.claims.homes import find_home
from berylcart.coordination.gateway.backlogs import BacklogTable
from berylcart.coordination.gateway.batch_selection import PieceOrder
from berylcart.coordination.gateway.batcher import Batcher
from berylcart.coordination.gateway.home_capacity import members_with_capacity
from berylcart.state.errors import BerylcartError, Code
from berylcart.state.member_table import Member, MemberState

MS_PER_S = 1000
# A home that failed is not called for as long as a suspicion lasts.
HOME_AVOIDANCE_S = 3.0
FREE_TIMEOUT_MS = 1000


class OrderResult(NamedTuple):
    """Hold the results of an order and the queueing delay of its service."""

    handles: tuple[str, ...]
    backlog_s: float


class StagePeers(Protocol):
    """Call the daemon at an address; each call raises BerylcartError.

    The error is PEER_UNAVAILABLE if the daemon doesn't answer; any other code
    is the daemon's own result.
    """

    async def make_pieces(
        self, address: str, order: PieceOrder, *, timeout_ms: int
    ) -> OrderResult:
        """Have a daemon process the pieces of an order."""
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
        """Report results to free, if is_spare only once memory is short.

        There is no reply; results that the daemon is not told of expire.
        """
        ...


class StageHandlers(Protocol):
    """Handle the orders of other daemons."""

    async def on_make_pieces(self, order: PieceOrder) -> OrderResult:
        """Process the pieces of an order; raises BerylcartError."""
        ...

    def on_free_pieces(
        self, service: str, handles: Sequence[str], is_spare: bool
    ) -> None:
        """Free results soon, if is_spare only once memory is short."""
        ...


class HomeCall:
    """Call a home, and cancel the call once the home is suspected."""

    def __init__(
        self, peers: StagePeers, home: Member, order: PieceOrder
    ) -> None:
        self.peers = peers
        self.home = home
        self.order = order
        self.scope = anyio.CancelScope()

    async def send(self) -> OrderResult:
        """Have the home process the order; raises BerylcartError."""
        remaining_s = self.order.deadline_s - clock.now_s()
        with self.scope:
            return await self.peers.make_pieces(
                self.home.peer_address,
                self.order,
                timeout_ms=max(1, int(remaining_s * MS_PER_S)),
            )
        raise BerylcartError(
            Code.PEER_UNAVAILABLE,
            f"{self.home.daemon_id} is suspected",
        )


def is_alive(home: Member, members: Sequence[Member]) -> bool:
    """Return whether this incarnation of a home is alive and not suspected."""
    return any(
        member.daemon_id == home.daemon_id
        and member.incarnation == home.incarnation
        and member.state is MemberState.ALIVE
        for member in members
    )


class OrderRouter:
    """Choose by rendezvous hashing which daemon's batcher takes an order.

    Daemons with far less capacity than others are not chosen.

    If daemons briefly disagree on the home, two of them may batch for a
    service; that costs throughput, but affects no guarantee.
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
        self.backlogs = BacklogTable()
        self.avoided_until_s: dict[str, float] = {}
        self.calls: set[HomeCall] = set()
        # Orders of other daemons in progress here.
        self.foreign_orders = 0
        self.foreign_ended = anyio.Event()

    def update_members(self) -> None:
        """Cancel the calls to homes that are no longer alive."""
        members = self.members()
        for call in self.calls:
            if not is_alive(call.home, members):
                call.scope.cancel()

    def home_of(self, service: str) -> Member | None:
        """Return a service's home, None if it is this daemon."""
        now_s = clock.now_s()
        usable = [
            member
            for member in self.members()
            if not member.is_leaving
            and member.state is MemberState.ALIVE
            and self.avoided_until_s.get(member.daemon_id, now_s) <= now_s
        ]
        eligible = {
            each.daemon_id: each for each in members_with_capacity(usable)
        }
        home_id = find_home(service, sorted(eligible))
        if home_id is None or home_id == self.daemon_id:
            return None
        return eligible[home_id]

    async def make_pieces(self, order: PieceOrder) -> tuple[str, ...]:
        """Have the home process an order; raises BerylcartError."""
        while True:
            home = self.home_of(order.service)
            if home is None:
                return self.record_backlog(
                    order, await self.make_pieces_locally(order)
                )
            call = HomeCall(self.peers, home, order)
            self.calls.add(call)
            try:
                return self.record_backlog(order, await call.send())
            except BerylcartError as error:
                if error.code is not Code.PEER_UNAVAILABLE:
                    self.record_error_backlog(order, error)
                    raise
                self.handle_home_failure(home, order, error)
            finally:
                self.calls.discard(call)

    def record_backlog(
        self, order: PieceOrder, result: OrderResult
    ) -> tuple[str, ...]:
        """Record the backlog reported with an order and return its results."""
        self.backlogs.record(order.service, result.backlog_s)
        return result.handles

    def record_error_backlog(
        self, order: PieceOrder, error: BerylcartError
    ) -> None:
        """Record a service's backlog from the error of an order.

        A lack of replicas in an order's permitted places says nothing about
        the backlog of other orders.
        """
        if order.places is not None and error.code is Code.NO_UPSTREAM:
            return
        wait_s = (error.retry_after_ms or 0) / MS_PER_S
        self.backlogs.record(order.service, wait_s)

    def handle_home_failure(
        self, home: Member, order: PieceOrder, error: BerylcartError
    ) -> None:
        """Avoid a home that failed; raises OVERLOADED if no time is left."""
        events.warning(
            "home.call_failed",
            request_id=order.request_id,
            service=order.service,
            home=home.daemon_id,
            detail=error.detail,
        )
        if clock.now_s() >= order.deadline_s:
            raise BerylcartError(
                Code.OVERLOADED,
                f"{order.service} gave no results in time",
            )
        self.avoided_until_s[home.daemon_id] = clock.now_s() + HOME_AVOIDANCE_S

    async def on_make_pieces(self, order: PieceOrder) -> OrderResult:
        """Process the pieces of another daemon's order."""
        self.foreign_orders += 1
        try:
            return await self.make_pieces_locally(order)
        finally:
            self.foreign_orders -= 1
            self.foreign_ended.set()

    async def wait_idle(self) -> None:
        """Wait until no order of another daemon is in progress."""
        while self.foreign_orders:
            self.foreign_ended = anyio.Event()
            await self.foreign_ended.wait()

    async def make_pieces_locally(self, order: PieceOrder) -> OrderResult:
        """Process the pieces of an order with this daemon's batcher."""
        batcher = self.batcher_of(order.service)
        handles = await batcher.make_pieces(order)
        return OrderResult(handles, batcher.backlog_s())

    def on_free_pieces(
        self, service: str, handles: Sequence[str], is_spare: bool
    ) -> None:
        """Free results on behalf of another daemon."""
        batcher = self.batcher_of(service)
        if is_spare:
            batcher.mark_evictable(handles)
        else:
            batcher.release_results(handles)

    async def free(
        self, service: str, handles: Sequence[str], is_spare: bool = False
    ) -> None:
        """Have the home free results that are no longer needed.

        Results with is_spare are needed again only if a piece fails, and are
        freed once memory is short.
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
                "results.free_failed",
                home=home.daemon_id,
                service=service,
                detail=error.detail,
            )

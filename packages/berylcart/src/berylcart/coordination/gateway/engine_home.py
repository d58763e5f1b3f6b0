"""Ask the home of an engine service where a request should run."""

from collections.abc import Callable, Sequence
from typing import Protocol

from berylcart import clock, events
from berylcart.coordination.gateway.engine_placement import EnginePlacement
from berylcart.coordination.gateway.stage_results import Spawn
from berylcart.state.errors import BerylcartError
from berylcart.state.member_table import Member
from berylcart.state.peer_messages import (
    AttemptNews,
    Placement,
    PlacementQuery,
)
from berylcart.state.routes import GatewayService
from berylcart.state.vm import Vm

MS_PER_S = 1000
# A daemon of a smaller fleet sees enough of each replica's requests itself.
MIN_DAEMONS = 16
# A few times what a call between daemons takes; a request waits no longer.
PLACE_TIMEOUT_MS = 100
TELL_TIMEOUT_MS = 500
# A home that did not answer is asked again after this.
SHUN_S = 1.0


class EnginePeers(Protocol):
    """Call the daemon at an address; each call raises BerylcartError."""

    async def place_request(
        self, address: str, query: PlacementQuery, *, timeout_ms: int
    ) -> Placement | None:
        """Have a replica chosen, None where the daemon knows of none."""
        ...

    async def tell_attempt(
        self, address: str, news: AttemptNews, *, timeout_ms: int
    ) -> None:
        """Tell how a request that was placed went on; nothing answers."""
        ...


class EngineHandlers(Protocol):
    """Answer the questions of other daemons."""

    async def on_place_request(self, query: PlacementQuery) -> Placement:
        """Choose a replica; its vm_id is empty where there is none."""
        ...

    def on_attempt(self, news: AttemptNews) -> None:
        """Hear how a request that was placed went on."""
        ...


class Placed:
    """Hold where a request was placed, and by which home, None this one."""

    def __init__(
        self, service: str, placement: Placement, home: Member | None
    ) -> None:
        self.service = service
        self.placement = placement
        self.home = home
        self.sent_s = clock.now_s()
        self.is_told = False


class EngineHome:
    """Choose engine replicas together with the other daemons.

    One daemon a service chooses for all of them; without its answer a daemon
    chooses by itself. Two daemons that disagree for a moment on which one it
    is both know a part of the load; that costs time and no promise.
    """

    def __init__(
        self,
        peers: EnginePeers,
        home_of: Callable[[str], Member | None],
        count_daemons: Callable[[], int],
        pool: Callable[[str], Sequence[Vm]],
        service_of: Callable[[str], GatewayService | None],
        spawn: Spawn,
    ) -> None:
        self.peers = peers
        self.home_of = home_of
        self.count_daemons = count_daemons
        self.pool = pool
        self.service_of = service_of
        self.spawn = spawn
        self.placements: dict[str, EnginePlacement] = {}
        # Until when each home that failed is passed by.
        self.shunned: dict[str, float] = {}
        # Called with the service and whether its home chose the replica.
        self.on_placed: Callable[[str, bool], None] = lambda name, is_home: (
            None
        )

    def is_engine(self, service: str) -> bool:
        """Tell whether the routes have a service, and with engines."""
        info = self.service_of(service)
        return info is not None and info.engine is not None

    def is_asked(self, service: str) -> bool:
        """Tell whether requests of a service are placed by its home."""
        return self.count_daemons() >= MIN_DAEMONS and self.is_engine(service)

    def kv_tokens(self, service: str) -> int:
        """Give the memory of a service's replicas in tokens."""
        info = self.service_of(service)
        return info.engine.kv_tokens if info and info.engine else 0

    def placement_of(self, service: str) -> EnginePlacement:
        """Find what this daemon knows as the home of a service."""
        placement = self.placements.get(service)
        if placement is None:
            placement = EnginePlacement(
                service,
                lambda: self.pool(service),
                lambda: self.kv_tokens(service),
            )
            self.placements[service] = placement
        return placement

    async def place(self, query: PlacementQuery) -> Placed | None:
        """Choose a replica together, None where that is not possible."""
        home = self.home_of(query.service)
        placement = await self.ask(home, query)
        self.on_placed(query.service, placement is not None)
        if placement is None:
            return None
        return Placed(query.service, placement, home)

    async def foresee(self, query: PlacementQuery) -> Placement | None:
        """Ask which replica would be chosen, without a request for it."""
        query = query._replace(is_question=True)
        return await self.ask(self.home_of(query.service), query)

    async def ask(
        self, home: Member | None, query: PlacementQuery
    ) -> Placement | None:
        """Have the home of a service choose a replica, be it this daemon."""
        if home is None:
            return self.placement_of(query.service).place(query)
        if clock.now_s() < self.shunned.get(home.daemon_id, 0.0):
            return None
        try:
            return await self.peers.place_request(
                home.peer_address, query, timeout_ms=PLACE_TIMEOUT_MS
            )
        except BerylcartError as error:
            self.shunned[home.daemon_id] = clock.now_s() + SHUN_S
            events.warning(
                "placement.failed",
                service=query.service,
                home=home.daemon_id,
                detail=error.detail,
            )
            return None

    def tell(
        self, placed: Placed, *, is_begun: bool, is_failed: bool = False
    ) -> None:
        """Tell the home once how a placed request went on.

        The notice is sent in the background: opening a connection to a home
        that is cut off would delay the first event or the next attempt.
        """
        if placed.is_told:
            return
        placed.is_told = True
        latency_ms = int(MS_PER_S * (clock.now_s() - placed.sent_s))
        news = AttemptNews(
            placed.service,
            placed.placement.number,
            is_begun,
            latency_ms,
            is_failed,
        )
        if placed.home is None:
            self.on_attempt(news)
        else:
            self.spawn(self.send, placed.home, news)

    async def send(self, home: Member, news: AttemptNews) -> None:
        """Send a notice to a home; one that fails is logged."""
        try:
            await self.peers.tell_attempt(
                home.peer_address, news, timeout_ms=TELL_TIMEOUT_MS
            )
        except BerylcartError as error:
            # The home forgets the request at its deadline.
            events.info(
                "attempt.not_told",
                home=home.daemon_id,
                detail=error.detail,
            )

    async def on_place_request(self, query: PlacementQuery) -> Placement:
        """Choose a replica for another daemon's request."""
        if not self.is_engine(query.service):
            return Placement("", 0, 0)
        placement = self.placement_of(query.service).place(query)
        return placement or Placement("", 0, 0)

    def on_attempt(self, news: AttemptNews) -> None:
        """Take how a request went on that was placed here."""
        placement = self.placements.get(news.service)
        if placement is not None:
            placement.note(news)

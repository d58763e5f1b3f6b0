"""Ask the home daemon of an engine service which replica to use.

The home of a service is the daemon that rendezvous hashing assigns to it.
"""

from collections.abc import Callable, Sequence
from typing import Protocol

from berylcart import clock, events
from berylcart.coordination.gateway.engine_placement import EnginePlacement
from berylcart.coordination.gateway.stage_executor import Spawn
from berylcart.state.errors import BerylcartError
from berylcart.state.member_table import Member
from berylcart.state.peer_messages import (
    AttemptReport,
    Placement,
    PlacementQuery,
)
from berylcart.state.routes import GatewayService
from berylcart.state.vm import Vm

MS_PER_S = 1000
# In a smaller fleet each daemon sees enough of each replica's requests itself.
MIN_DAEMONS = 16
# A few times the duration of a call between daemons; bounds how long a request
# waits for its placement.
PLACE_TIMEOUT_MS = 100
REPORT_TIMEOUT_MS = 500
# A home that did not answer is called again after this time.
HOME_AVOIDANCE_S = 1.0


class EnginePeers(Protocol):
    """Call the daemon at an address; each call raises BerylcartError."""

    async def place_request(
        self, address: str, query: PlacementQuery, *, timeout_ms: int
    ) -> Placement | None:
        """Request a placement; None if the daemon knows of no replica."""
        ...

    async def report_attempt(
        self, address: str, report: AttemptReport, *, timeout_ms: int
    ) -> None:
        """Report the outcome of a placed request, without a reply."""
        ...


class EngineHandlers(Protocol):
    """Handle the placement calls of other daemons."""

    async def on_place_request(self, query: PlacementQuery) -> Placement:
        """Choose a replica; the vm_id is empty if there is none."""
        ...

    def on_attempt(self, report: AttemptReport) -> None:
        """Handle a report on the outcome of a placed request."""
        ...


class PlacedRequest:
    """Hold a request's placement and its home daemon, None if this one."""

    def __init__(
        self, service: str, placement: Placement, home: Member | None
    ) -> None:
        self.service = service
        self.placement = placement
        self.home = home
        self.sent_s = clock.now_s()
        self.is_reported = False


class JointPlacement:
    """Choose engine replicas jointly with the other daemons.

    The home daemon of each service places the requests of all daemons. If it
    does not answer, a daemon chooses on its own. If two daemons briefly
    disagree on the home, each of the homes knows a part of the load: requests
    may be slower, but no guarantee is affected.
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
        # By daemon id, until when a home that failed is not called.
        self.avoided_until_s: dict[str, float] = {}
        # Called with the service and whether its home chose the replica.
        self.on_placed: Callable[[str, bool], None] = lambda name, is_home: (
            None
        )

    def is_engine(self, service: str) -> bool:
        """Return whether a service is routed to and runs engines."""
        info = self.service_of(service)
        return info is not None and info.engine is not None

    def uses_joint_placement(self, service: str) -> bool:
        """Return whether a service's requests are placed by its home."""
        return self.count_daemons() >= MIN_DAEMONS and self.is_engine(service)

    def kv_tokens(self, service: str) -> int:
        """Return the KV cache size of a service's replicas in tokens."""
        info = self.service_of(service)
        return info.engine.kv_tokens if info and info.engine else 0

    def placement_of(self, service: str) -> EnginePlacement:
        """Return this daemon's placement state as the home of a service."""
        placement = self.placements.get(service)
        if placement is None:
            placement = EnginePlacement(
                service,
                lambda: self.pool(service),
                lambda: self.kv_tokens(service),
            )
            self.placements[service] = placement
        return placement

    async def place(self, query: PlacementQuery) -> PlacedRequest | None:
        """Choose a replica jointly; None if that is not possible."""
        home = self.home_of(query.service)
        placement = await self.request_placement(home, query)
        self.on_placed(query.service, placement is not None)
        if placement is None:
            return None
        return PlacedRequest(query.service, placement, home)

    async def predict_placement(
        self, query: PlacementQuery
    ) -> Placement | None:
        """Ask which replica would be chosen, without recording a request."""
        query = query._replace(is_question=True)
        return await self.request_placement(self.home_of(query.service), query)

    async def request_placement(
        self, home: Member | None, query: PlacementQuery
    ) -> Placement | None:
        """Request a placement from a home, None being this daemon."""
        if home is None:
            return self.placement_of(query.service).place(query)
        if clock.now_s() < self.avoided_until_s.get(home.daemon_id, 0.0):
            return None
        try:
            return await self.peers.place_request(
                home.peer_address, query, timeout_ms=PLACE_TIMEOUT_MS
            )
        except BerylcartError as error:
            self.avoided_until_s[home.daemon_id] = (
                clock.now_s() + HOME_AVOIDANCE_S
            )
            events.warning(
                "placement.failed",
                service=query.service,
                home=home.daemon_id,
                detail=error.detail,
            )
            return None

    def report_outcome(
        self, placed: PlacedRequest, *, is_begun: bool, is_failed: bool = False
    ) -> None:
        """Report the outcome of a placed request to its home, once.

        The report is sent in the background: opening a connection to an
        unreachable home would delay the first event or the next attempt.
        """
        if placed.is_reported:
            return
        placed.is_reported = True
        latency_ms = int(MS_PER_S * (clock.now_s() - placed.sent_s))
        report = AttemptReport(
            placed.service,
            placed.placement.number,
            is_begun,
            latency_ms,
            is_failed,
        )
        if placed.home is None:
            self.on_attempt(report)
        else:
            self.spawn(self.send_report, placed.home, report)

    async def send_report(self, home: Member, report: AttemptReport) -> None:
        """Send a report to a home and log a failure."""
        try:
            await self.peers.report_attempt(
                home.peer_address, report, timeout_ms=REPORT_TIMEOUT_MS
            )
        except BerylcartError as error:
            # The home removes the request at its deadline.
            events.info(
                "attempt.report_failed",
                home=home.daemon_id,
                detail=error.detail,
            )

    async def on_place_request(self, query: PlacementQuery) -> Placement:
        """Choose a replica for another daemon's request."""
        if not self.is_engine(query.service):
            return Placement("", 0, 0)
        placement = self.placement_of(query.service).place(query)
        return placement or Placement("", 0, 0)

    def on_attempt(self, report: AttemptReport) -> None:
        """Record the outcome of a request that was placed here."""
        placement = self.placements.get(report.service)
        if placement is not None:
            placement.record_attempt(report)

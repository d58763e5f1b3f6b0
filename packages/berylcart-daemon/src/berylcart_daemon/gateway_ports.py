"""Define the interfaces that a platform implements for a gateway daemon."""

from collections.abc import Awaitable, Callable, Mapping, Sequence
from typing import NamedTuple, Protocol

from berylcart.coordination.gateway.buffer_budget import BufferBudget
from berylcart.coordination.gateway.evacuations import Evacuations
from berylcart.coordination.gateway.ports import MessageCodec, PieceClient
from berylcart.coordination.gateway.route_table_holder import RouteTableHolder
from berylcart.coordination.gateway.store_contact import StoreContact
from berylcart.coordination.gateway.store_era import StoreEra
from berylcart.coordination.ports import VmList
from berylcart.state.peer_messages import PartReport
from berylcart.state.relay_messages import BufferedResponse, CallerHead
from berylcart.state.routes import RouteTable
from berylcart.state.tail import LogPart
from berylcart.state.vm import Vm


class PageState(NamedTuple):
    """Hold the daemon's readiness and the lifetime of entry lists."""

    is_ready: bool
    keep_ms: int


class EntryLister(Protocol):
    """List entry addresses for callers of a host, best first."""

    def __call__(self, place: str, region: str, host: str) -> Sequence[str]:
        """List them for callers in a place and region, each "" if unknown."""
        ...


class PageResponder(Protocol):
    """Answer HTTP requests for the readiness and entry list pages."""

    def answer(
        self, head: CallerHead, state: PageState, entries: EntryLister
    ) -> BufferedResponse:
        """Answer one request."""
        ...


class RouteFeed(Protocol):
    """Follow the operator's routes and place evacuations.

    While is_watching() is true, a change is found although a response about it
    was lost, within the time after which the daemon counts as in contact.
    """

    is_watching: Callable[[], bool]

    async def run(
        self, keeper: RouteTableHolder, evacuations: Evacuations
    ) -> None:
        """Deliver each new version and evacuation until cancelled."""
        ...

    def parse(self, text: str) -> RouteTable:
        """Parse a routes text; raises BerylcartError CONFIG_INVALID."""
        ...


class MemberRegistry(Protocol):
    """Store the daemons' peer addresses where all daemons can read them."""

    async def register(self, daemon_id: str, peer_address: str) -> None:
        """Store this daemon's peer address; raises BerylcartError."""
        ...

    async def addresses(self) -> Sequence[str]:
        """List the registered peer addresses; raises BerylcartError."""
        ...


class BlockedPartStore(Protocol):
    """Store blocked parts and requests where all daemons can read them.

    Evidence that has not led to a block is stored apart.
    """

    async def put(self, part_id: str, replicas: Sequence[str]) -> None:
        """Store a part with its crashed replicas; raises BerylcartError."""
        ...

    async def remove(self, part_id: str) -> None:
        """Remove a part; raises BerylcartError."""
        ...

    async def parts(self) -> Mapping[str, Sequence[str]]:
        """Return the parts with their replicas; raises BerylcartError."""
        ...

    async def put_suspect(self, report: PartReport) -> None:
        """Store evidence against a part; raises BerylcartError."""
        ...

    async def remove_suspect(self, part_id: str) -> None:
        """Remove the evidence against a part; raises BerylcartError."""
        ...

    async def suspects(self) -> Sequence[PartReport]:
        """Return the stored evidence; raises BerylcartError.

        Its ages are those at the time when it was stored.
        """
        ...


class ReplicaList(VmList, Protocol):
    """List the replicas by following a log of their changes.

    read_changes may be replaced to read the changes through another daemon.
    on_cold_replica is called with a replica, the time in ms for which it
    reports to stay cold, and whether the report is new. next_removal_s is the
    time at which the next delayed removal takes effect, inf if there is none.
    """

    read_changes: Callable[[int, int], Awaitable[LogPart]]
    on_cold_replica: Callable[[Vm, int, bool], None]
    contact: StoreContact

    @property
    def next_removal_s(self) -> float:
        """Return when the next delayed removal takes effect."""
        ...

    async def read_store_changes(self, start: int, era: int) -> LogPart:
        """Read the changes from a log offset of an era on.

        Raises BerylcartError, and LogGapError after a change of the era.
        """
        ...

    def record_log_recovery(self, returned_s: float) -> None:
        """Record when another daemon saw the log become available again."""
        ...


class GatewayPorts(NamedTuple):
    """Hold the platform's implementations of the interfaces.

    buffer_budget counts what their clients hold of responses, and the daemon's
    own buffers too; None if the clients count nothing.
    """

    wire: MessageCodec
    pages: PageResponder
    route_feed: RouteFeed
    replicas: ReplicaList
    pieces: PieceClient
    member_registry: MemberRegistry
    store_era: StoreEra
    blocked_parts: BlockedPartStore | None = None
    buffer_budget: BufferBudget | None = None

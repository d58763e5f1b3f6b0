"""Define what a platform supplies to a gateway daemon."""

from collections.abc import Awaitable, Callable, Sequence
from typing import NamedTuple, Protocol

from berylcart.coordination.gateway.evacuations import Evacuations
from berylcart.coordination.gateway.ports import PieceCaller, Wire
from berylcart.coordination.gateway.route_keeper import RouteKeeper
from berylcart.coordination.ports import VmList
from berylcart.state.relayed import CallerHead, Refusal
from berylcart.state.routes import RouteTable
from berylcart.state.tail import LogPart
from berylcart.state.vm import Vm


class PageState(NamedTuple):
    """Hold what pages show; entries lists addresses for a place."""

    is_ready: bool
    keep_ms: int


class Entries(Protocol):
    """List the addresses that callers of a host should use, best first."""

    def __call__(self, place: str, region: str, host: str) -> Sequence[str]:
        """List them for callers in a place and region, each maybe unknown."""
        ...


class Pages(Protocol):
    """Answer questions about readiness and entries."""

    def answer(
        self, head: CallerHead, state: PageState, entries: Entries
    ) -> Refusal:
        """Answer one question."""
        ...


class RouteFeed(Protocol):
    """Follow the operator's routes and evacuations of places."""

    async def run(self, keeper: RouteKeeper, evacuations: Evacuations) -> None:
        """Pass on each version and each evacuation until cancelled."""
        ...

    def parse(self, text: str) -> RouteTable:
        """Read a text; raises BerylcartError CONFIG_INVALID."""
        ...


class MemberBook(Protocol):
    """Keep daemons' peer addresses where all can read them."""

    async def register(self, daemon_id: str, peer_address: str) -> None:
        """Write this daemon's address; raises BerylcartError."""
        ...

    async def addresses(self) -> Sequence[str]:
        """List the addresses that were written; raises BerylcartError."""
        ...


class ReplicaList(VmList, Protocol):
    """List the replicas, following a log of their changes.

    read_changes may be set to have the changes read through another daemon.
    on_cold takes a replica, for how many ms it says that it stays cold, and
    whether it has just said so.
    """

    read_changes: Callable[[int], Awaitable[LogPart]]
    on_cold: Callable[[Vm, int, bool], None]

    async def read_store(self, start: int) -> LogPart:
        """Read the changes from an offset on; raises BerylcartError."""
        ...

    def note_return(self, returned_s: float) -> None:
        """Learn from another daemon when the log came back."""
        ...


class GatewayPorts(NamedTuple):
    """Hold everything that a platform supplies."""

    wire: Wire
    pages: Pages
    feed: RouteFeed
    replicas: ReplicaList
    pieces: PieceCaller
    book: MemberBook

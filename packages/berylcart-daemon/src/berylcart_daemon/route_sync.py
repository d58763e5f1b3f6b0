"""Synchronize routes and evacuations with peers.

This also works while the platform's store is unavailable to this daemon.
"""

from collections.abc import Callable, Sequence

import anyio
from berylcart import events
from berylcart.coordination.gateway.evacuations import Evacuations
from berylcart.coordination.gateway.part_faults import PartFaults
from berylcart.coordination.gateway.route_table_holder import RouteTableHolder
from berylcart.coordination.membership.hooks import MembershipHooks
from berylcart.coordination.membership.peer_port import Peers
from berylcart.coordination.policy.vm_directory import VmDirectory
from berylcart.state.errors import BerylcartError
from berylcart.state.leaving_marks import LeavingMark
from berylcart.state.member_table import Member
from berylcart.state.peer_messages import (
    ConfigFreshness,
    ConfigQuery,
    EvacuationReport,
    LimitReport,
    PartReport,
)

PULL_TIMEOUT_MS = 1000


class RouteSync(MembershipHooks):
    """Report the routes in force in gossip and pull newer ones from peers."""

    def __init__(
        self,
        route_table_holder: RouteTableHolder,
        known_evacuations: Evacuations,
        directory: VmDirectory,
        peers: Peers,
        part_faults: PartFaults,
    ) -> None:
        self.route_table_holder = route_table_holder
        self.known_evacuations = known_evacuations
        self.directory = directory
        self.peers = peers
        self.part_faults = part_faults
        self.pull_addresses: Sequence[str] = ()
        self.pull_requested = anyio.Event()
        self.on_member_change: Callable[[], None] = lambda: None
        self.on_limit_update: Callable[[LimitReport], None] = lambda update: (
            None
        )

    def on_change(self, member: Member) -> None:
        """Call on_member_change when a member joins, changes or leaves."""
        self.on_member_change()

    def config(self) -> ConfigFreshness:
        """Give the version in force and how recently it was confirmed."""
        return self.route_table_holder.freshness()

    def on_config(self, address: str, config: ConfigFreshness) -> None:
        """Schedule a pull from a peer that has a newer version."""
        self.known_evacuations.store_era.observe(config.era, address)
        if config.version > self.route_table_holder.version:
            self.pull_addresses = (address,)
            self.pull_requested.set()

    def on_limit(self, report: LimitReport) -> None:
        """Pass on the limit that a replica sets on all daemons together."""
        self.on_limit_update(report)

    def evacuations(self) -> Sequence[EvacuationReport]:
        """Give the evacuations known to this daemon."""
        return self.known_evacuations.advertised_reports()

    def on_evacuations(
        self, sender_id: str, reports: Sequence[EvacuationReport]
    ) -> None:
        """Merge the evacuations known to a peer."""
        self.known_evacuations.apply_peer_reports(sender_id, reports)

    def parts(self) -> Sequence[PartReport]:
        """Give the suspected and blocked prompt parts."""
        return self.part_faults.reports()

    def on_parts(self, sender_id: str, reports: Sequence[PartReport]) -> None:
        """Merge the suspected and blocked prompt parts of a peer."""
        self.part_faults.merge(sender_id, reports)

    def on_leaving(self, mark: LeavingMark) -> None:
        """Mark an upstream VM as leaving, so that it gets no new work."""
        self.directory.mark_leaving(mark.vm_id, mark.incarnation)

    async def run(self) -> None:
        """Run each scheduled pull until cancelled."""
        while True:
            await self.pull_requested.wait()
            self.pull_requested = anyio.Event()
            for address in self.pull_addresses:
                await self.pull(address)

    async def pull_from_all(self, addresses: Sequence[str]) -> None:
        """Pull newer routes from several peers at once."""
        async with anyio.create_task_group() as tasks:
            for address in addresses:
                tasks.start_soon(self.pull, address)

    async def pull(self, address: str) -> None:
        """Pull newer routes from one peer and adopt them."""
        query = ConfigQuery(
            self.route_table_holder.version, self.route_table_holder.offset
        )
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
            self.route_table_holder.offer(
                offer.checkpoint.text,
                offer.checkpoint.as_of_offset,
                address,
                offer.era,
            )

"""Synchronize configurations with peers and renew the configuration lease."""

import anyio
from berylcart import events
from berylcart.clock import now_s
from berylcart.coordination.config.follower import ConfigFollower
from berylcart.coordination.membership.membership import Membership
from berylcart.coordination.membership.peer_port import Peers
from berylcart.coordination.policy.vm_directory import VmDirectory
from berylcart.state.errors import BerylcartError
from berylcart.state.peer_messages import (
    ConfigFreshness,
    ConfigQuery,
    ConfigReply,
)

PULL_TIMEOUT_MS = 2000
RENEW_PERIOD_S = 1.0
MAX_AGE_LEASE_FRACTION = 0.3
MS_PER_S = 1000


class ConfigSync:
    """Pull newer configurations from peers and report peers to the lease."""

    def __init__(
        self,
        configs: ConfigFollower,
        directory: VmDirectory,
        peers: Peers,
    ) -> None:
        self.configs = configs
        self.directory = directory
        self.peers = peers
        self.pull_address: str = ""
        self.pull_requested = anyio.Event()

    def freshness(self) -> ConfigFreshness:
        """Give the version in force and how recently it was confirmed."""
        return self.configs.freshness()

    def age_ms(self) -> int:
        """Give the time since the configuration was confirmed as newest."""
        age_s = now_s() - self.configs.current.verified_at_s
        return int(min(age_s, self.max_reported_age_s()) * MS_PER_S)

    def max_reported_age_s(self) -> float:
        """Give the cap on reported ages; the actual age may be infinite."""
        return 1000 * self.configs.lease.lease_s

    def on_config(self, address: str, peer: ConfigFreshness) -> None:
        """Schedule a pull if the peer is ahead or the lease needs renewal."""
        current = self.configs.current
        limit_s = MAX_AGE_LEASE_FRACTION * self.configs.lease.lease_s
        is_ahead = peer.as_of_offset > current.as_of_offset
        if is_ahead or self.age_ms() > limit_s * MS_PER_S:
            self.pull_address = address
            self.pull_requested.set()

    def offer_for(self, query: ConfigQuery) -> ConfigReply:
        """Give the age, and the checkpoint if it is newer than the peer's."""
        checkpoint = self.configs.checkpoint()
        if checkpoint is None:
            return ConfigReply(None, int(self.max_reported_age_s() * MS_PER_S))
        is_ahead = checkpoint.as_of_offset > query.known_offset
        if not is_ahead or checkpoint.version == 0:
            return ConfigReply(None, self.age_ms())
        return ConfigReply(checkpoint, self.age_ms())

    async def run(self, membership: Membership) -> None:
        """Run scheduled pulls and lease renewals until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.run_pulls)
            tasks.start_soon(self.run_renewals, membership)

    async def run_pulls(self) -> None:
        """Run each scheduled pull, one at a time, until cancelled."""
        while True:
            await self.pull_requested.wait()
            self.pull_requested = anyio.Event()
            await self.pull(self.pull_address)

    async def pull(self, address: str) -> None:
        """Pull from one peer, adopt a newer checkpoint and confirm its age."""
        current = self.configs.current
        requested_at_s = now_s()
        query = ConfigQuery(current.version, current.as_of_offset)
        try:
            offer = await self.peers.pull_config(
                address, query, timeout_ms=PULL_TIMEOUT_MS
            )
        except BerylcartError as error:
            events.warning(
                "config.pull_failed", peer=address, detail=error.detail
            )
            return
        as_of_offset = current.as_of_offset
        if offer.checkpoint is not None:
            self.configs.offer(offer.checkpoint)
            as_of_offset = offer.checkpoint.as_of_offset
        self.configs.confirm(as_of_offset, offer.age_ms, requested_at_s)

    async def run_renewals(self, membership: Membership) -> None:
        """Report to the lease once a second until cancelled."""
        while True:
            self.renew(membership)
            await anyio.sleep(RENEW_PERIOD_S)

    def renew(self, membership: Membership) -> None:
        """Report to the lease when each listed daemon was last heard from."""
        listed_ids = {vm.vm_id for vm in self.directory.entries()}
        lease = self.configs.lease
        lease.live_daemon_count = len(listed_ids)
        for member in membership.live_members():
            is_self = member.daemon_id == membership.local_member.daemon_id
            if is_self or member.daemon_id not in listed_ids:
                continue
            heard_at_s = membership.heard_at(member.daemon_id)
            lease.record_peer(
                member.daemon_id, member.config_offset, heard_at_s
            )

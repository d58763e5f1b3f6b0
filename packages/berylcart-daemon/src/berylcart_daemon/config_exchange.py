"""Keep configuration and its lease fresh through peers."""

import anyio
from berylcart import events
from berylcart.clock import now_s
from berylcart.coordination.config.keeper import ConfigKeeper
from berylcart.coordination.membership.membership import Membership
from berylcart.coordination.membership.peer_port import Peers
from berylcart.coordination.policy.vm_directory import VmDirectory
from berylcart.state.errors import BerylcartError
from berylcart.state.peer_messages import (
    ConfigFreshness,
    ConfigOffer,
    ConfigQuery,
)

PULL_TIMEOUT_MS = 2000
RENEW_PERIOD_S = 1.0
AGE_SHARE_OF_LEASE = 0.3
MS_PER_S = 1000


class ConfigExchange:
    """Pull newer configurations and count which peers were heard."""

    def __init__(
        self,
        configs: ConfigKeeper,
        directory: VmDirectory,
        peers: Peers,
    ) -> None:
        self.configs = configs
        self.directory = directory
        self.peers = peers
        self.wanted: str = ""
        self.is_wanted = anyio.Event()

    def freshness(self) -> ConfigFreshness:
        """Give the version in force here and how lately it was confirmed."""
        return self.configs.freshness()

    def age_ms(self) -> int:
        """Give the time since the configuration was known to be newest."""
        age_s = now_s() - self.configs.current.verified_at_s
        return int(min(age_s, self.longest_age_s()) * MS_PER_S)

    def longest_age_s(self) -> float:
        """Bound an age that is reported as a number."""
        return 1000 * self.configs.lease.lease_s

    def on_config(self, address: str, heard: ConfigFreshness) -> None:
        """Ask a peer that knows a newer configuration or confirmation."""
        current = self.configs.current
        limit_s = AGE_SHARE_OF_LEASE * self.configs.lease.lease_s
        is_ahead = heard.as_of_offset > current.as_of_offset
        if is_ahead or self.age_ms() > limit_s * MS_PER_S:
            self.wanted = address
            self.is_wanted.set()

    def offer_for(self, query: ConfigQuery) -> ConfigOffer:
        """Answer a peer that asks for a newer configuration."""
        checkpoint = self.configs.checkpoint()
        if checkpoint is None:
            return ConfigOffer(None, int(self.longest_age_s() * MS_PER_S))
        is_ahead = checkpoint.as_of_offset > query.known_offset
        if not is_ahead or checkpoint.version == 0:
            return ConfigOffer(None, self.age_ms())
        return ConfigOffer(checkpoint, self.age_ms())

    async def run(self, membership: Membership) -> None:
        """Pull when asked to and renew the lease until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.pull_forever)
            tasks.start_soon(self.renew_forever, membership)

    async def pull_forever(self) -> None:
        """Pull from one peer at a time, whenever one is ahead."""
        while True:
            await self.is_wanted.wait()
            self.is_wanted = anyio.Event()
            await self.pull(self.wanted)

    async def pull(self, address: str) -> None:
        """Ask one peer for its configuration and take it if newer."""
        current = self.configs.current
        asked_at_s = now_s()
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
        self.configs.confirm(as_of_offset, offer.age_ms, asked_at_s)

    async def renew_forever(self, membership: Membership) -> None:
        """Tell the lease each second which daemons were heard."""
        while True:
            self.renew(membership)
            await anyio.sleep(RENEW_PERIOD_S)

    def renew(self, membership: Membership) -> None:
        """Tell the lease which of the listed daemons were heard, and when."""
        listed = {vm.vm_id for vm in self.directory.entries()}
        lease = self.configs.lease
        lease.live_count = len(listed)
        for member in membership.live_members():
            is_me = member.daemon_id == membership.me.daemon_id
            if is_me or member.daemon_id not in listed:
                continue
            heard_at_s = membership.heard_at(member.daemon_id)
            lease.hear(member.daemon_id, member.config_offset, heard_at_s)

"""Exchange full membership states, to join, rejoin and reconcile."""

from collections.abc import Callable, Sequence
from random import Random

import anyio

from berylcart.coordination.membership.gossip import Gossiper
from berylcart.coordination.membership.peer_port import Peers
from berylcart.coordination.membership.settings import (
    MS_PER_S,
    MembershipSettings,
)
from berylcart.state.errors import BerylcartError
from berylcart.state.peer_messages import Gossip


class Exchanger:
    """Schedule full-state exchanges (anti-entropy) with peers."""

    def __init__(
        self,
        peers: Peers,
        seeds: Callable[[], Sequence[str]],
        gossiper: Gossiper,
        settings: MembershipSettings,
        rng: Random,
    ) -> None:
        self._peers = peers
        self._seeds = seeds
        self._gossiper = gossiper
        self._roster = gossiper.roster
        self._settings = settings
        self._rng = rng

    async def run(self) -> None:
        """Run the exchanges until cancelled or until this daemon has left."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._rejoin_loop)
            tasks.start_soon(self._reconcile_loop)
            tasks.start_soon(self._exchange_loop)

    async def _sleep_with_jitter(self, period_ms: float) -> None:
        await anyio.sleep(period_ms * self._rng.uniform(0.5, 1.5) / MS_PER_S)

    async def _rejoin_loop(self) -> None:
        """Join, and try to reach members lost in a network partition."""
        while self._roster.local_member.is_live:
            address = self._choose_lost_address()
            is_reached = (
                address != "" and await self._exchange(address) is not None
            )
            is_alone = not self._roster.live_ids()
            period_ms = self._settings.retry_period_ms
            if is_reached or is_alone:
                period_ms = self._settings.probe_period_ms
            await anyio.sleep(period_ms / MS_PER_S)

    def _choose_lost_address(self) -> str:
        """Choose a seed or dead address without a live member, "" if none."""
        lost = [*self._seeds(), *self._roster.dead_addresses()]
        candidates = sorted(set(lost) - self._roster.live_addresses())
        return self._rng.choice(candidates) if candidates else ""

    async def _reconcile_loop(self) -> None:
        """Exchange with peers whose view differs, with back-off."""
        base_ms = self._settings.reconcile_period_ms
        period_ms = base_ms
        while self._roster.local_member.is_live:
            await self._sleep_with_jitter(period_ms)
            address = self._gossiper.take_differing_peer()
            if address == "" or await self._agrees_after_exchange(address):
                period_ms = base_ms
            else:
                limit_ms = self._settings.exchange_period_ms
                period_ms = min(2 * period_ms, limit_ms)

    async def _agrees_after_exchange(self, address: str) -> bool:
        gossip = await self._exchange(address)
        if gossip is None:
            return False
        return gossip.view_digest == self._roster.view_digest()

    async def _exchange_loop(self) -> None:
        """Exchange with a random member at jittered intervals."""
        while self._roster.local_member.is_live:
            await self._sleep_with_jitter(self._settings.exchange_period_ms)
            names = self._roster.live_ids()
            member = self._roster.get(self._rng.choice(names or [""]))
            if member is not None:
                await self._exchange(member.peer_address)

    async def _exchange(self, address: str) -> Gossip | None:
        try:
            gossip = await self._peers.exchange(
                address,
                self._gossiper.compose_all(),
                timeout_ms=self._settings.exchange_timeout_ms,
            )
        except BerylcartError:
            return None
        self._gossiper.merge_message(gossip)
        return gossip

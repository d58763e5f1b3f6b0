"""Probe members directly and indirectly."""

from collections.abc import Sequence
from random import Random
from typing import NamedTuple

import anyio

from berylcart.clock import now_s
from berylcart.coordination.membership.gossip import Gossiper
from berylcart.coordination.membership.peer_port import Peers
from berylcart.coordination.membership.probe import LocalHealth, PauseDetector
from berylcart.coordination.membership.settings import (
    MS_PER_S,
    MembershipSettings,
)
from berylcart.state.errors import BerylcartError
from berylcart.state.member_table import Member
from berylcart.state.peer_messages import Ping, PingRequest


class IndirectResult(NamedTuple):
    """Hold whether a member was reached and how many helpers answered."""

    is_reached: bool
    answers: int


class Prober:
    """Probe members and suspect those that no daemon reaches."""

    def __init__(
        self,
        peers: Peers,
        gossiper: Gossiper,
        health: LocalHealth,
        pause_detector: PauseDetector,
        settings: MembershipSettings,
        rng: Random,
    ) -> None:
        self._peers = peers
        self._gossiper = gossiper
        self._health = health
        self._pause_detector = pause_detector
        self._settings = settings
        self._rng = rng

    async def ping(self, name: str, address: str, timeout_ms: int) -> bool:
        """Probe an address; return whether the named daemon replied."""
        ping = Ping(name, self._gossiper.compose(name))
        try:
            gossip = await self._peers.ping(
                address, ping, timeout_ms=timeout_ms
            )
        except BerylcartError:
            return False
        self._gossiper.merge_message(gossip)
        return gossip.sender.daemon_id == name

    async def call(self, name: str) -> None:
        """Exchange gossip with a member that was heard recently."""
        target = self._gossiper.roster.get(name)
        if target is None:
            return
        timeout_ms = self._settings.probe_timeout_ms * self._health.factor
        if await self.ping(name, target.peer_address, timeout_ms):
            self._health.record_success()

    async def probe(self, name: str, helpers: Sequence[str]) -> None:
        """Probe a member; suspect it if direct and indirect probes fail.

        If no helper answers either, this process itself may be impaired.
        """
        target = self._gossiper.roster.get(name)
        if target is None:
            return
        start = now_s()
        factor = self._health.factor
        direct_ms = self._settings.probe_timeout_ms * factor
        indirect_ms = self._settings.indirect_timeout_ms * factor
        if await self.ping(name, target.peer_address, direct_ms):
            self._health.record_success()
            return
        result = await self._probe_indirectly(target, helpers, indirect_ms)
        if result.is_reached:
            return
        if not result.answers:
            self._health.record_fault()
        waits_ms = direct_ms + indirect_ms + self._settings.probe_timeout_ms
        budget_s = waits_ms / MS_PER_S
        now = now_s()
        is_late = self._pause_detector.was_late(start, now, budget_s)
        roster = self._gossiper.roster
        if not is_late and roster.vitals.get(name).heard_at < start:
            roster.suspect(name, now)

    async def _probe_indirectly(
        self, target: Member, helpers: Sequence[str], timeout_ms: int
    ) -> IndirectResult:
        others = [name for name in helpers if name != target.daemon_id]
        count = min(self._settings.indirect_probes, len(others))
        is_reached = False
        answers = 0
        request = PingRequest(
            target.daemon_id, target.peer_address, timeout_ms
        )
        async with anyio.create_task_group() as tasks:

            async def probe_through(helper: Member) -> None:
                nonlocal is_reached, answers
                reached = await self._request_probe(helper, request)
                answers += reached is not None
                if reached:
                    is_reached = True
                    tasks.cancel_scope.cancel()

            for name in self._rng.sample(others, count):
                helper = self._gossiper.roster.get(name)
                if helper is not None:
                    tasks.start_soon(probe_through, helper)
        return IndirectResult(is_reached, answers)

    async def _request_probe(
        self, helper: Member, request: PingRequest
    ) -> bool | None:
        """Ask a helper to probe; None if the helper itself is silent."""
        timeout_ms = request.timeout_ms + self._settings.probe_timeout_ms
        try:
            return await self._peers.ping_request(
                helper.peer_address, request, timeout_ms=timeout_ms
            )
        except BerylcartError:
            return None

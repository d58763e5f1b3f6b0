"""Detect which daemons run, and spread news between them."""

from collections.abc import Callable, Collection, Sequence
from random import Random

import anyio
from anyio.abc import TaskGroup

from berylcart import events
from berylcart.clock import now_s
from berylcart.coordination.membership.entries import EntryList, choose_entries
from berylcart.coordination.membership.exchanger import Exchanger
from berylcart.coordination.membership.gossip import Gossiper
from berylcart.coordination.membership.hooks import MembershipHooks
from berylcart.coordination.membership.peer_port import Peers
from berylcart.coordination.membership.probe import (
    LocalHealth,
    PauseGuard,
    ProbeOrder,
)
from berylcart.coordination.membership.prober import Prober
from berylcart.coordination.membership.settings import (
    DEFAULT_SETTINGS,
    MS_PER_S,
    MembershipSettings,
)
from berylcart.coordination.membership.vitals import HeardCount
from berylcart.state.leaving_marks import LeavingMark
from berylcart.state.member_table import Member, MemberState
from berylcart.state.peer_messages import (
    Gossip,
    LimitNews,
    Ping,
    PingRequest,
)

MAX_FAREWELLS = 8
MAX_GOSSIP_TASKS = 4


class Membership:
    """Take part in the gossip between daemons.

    seeds gives the peer addresses to join through and is asked anew for each
    attempt. run() works until it is cancelled.
    """

    def __init__(
        self,
        me: Member,
        peers: Peers,
        seeds: Callable[[], Sequence[str]],
        settings: MembershipSettings = DEFAULT_SETTINGS,
        hooks: MembershipHooks | None = None,
        rng: Random | None = None,
    ) -> None:
        self._settings = settings
        self._rng = rng or Random()
        self._guard = PauseGuard(settings.pause_slack_ms / MS_PER_S)
        self._gossiper = Gossiper(
            me, settings, hooks or MembershipHooks(), self._guard, self._rng
        )
        self._roster = self._gossiper.roster
        self._health = LocalHealth()
        self._prober = Prober(
            peers,
            self._gossiper,
            self._health,
            self._guard,
            settings,
            self._rng,
        )
        self._exchanger = Exchanger(
            peers, seeds, self._gossiper, settings, self._rng
        )
        self._order = ProbeOrder(self._rng)
        self._gossip_tasks = 0
        self._has_news = anyio.Event()
        self._gossiper.on_news = self._wake

    async def run(self) -> None:
        """Join through the seeds, then probe and gossip until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._probe_loop)
            tasks.start_soon(self._gossip_loop, tasks)
            tasks.start_soon(self._exchanger.run)

    def announce(self, *, takes_callers: bool) -> None:
        """Announce whether this daemon takes new callers."""
        if self.me.is_leaving is takes_callers:
            self._roster.update_me(is_leaving=not takes_callers)

    async def leave(self) -> None:
        """Say goodbye to a few members, which tell the others."""
        self._roster.update_me(state=MemberState.LEFT)
        names = self._roster.live_ids()
        farewells = min(MAX_FAREWELLS, len(names))
        async with anyio.create_task_group() as tasks:
            for name in self._rng.sample(names, farewells):
                tasks.start_soon(self._gossip_with, name)

    @property
    def me(self) -> Member:
        """Give this daemon's own report."""
        return self._roster.me

    def members(self) -> list[Member]:
        """List all known members, this daemon first."""
        return [self.me, *self._roster.members()]

    def live_members(self, place: str | None = None) -> list[Member]:
        """List the members that run, of one place or of all."""
        return [
            member
            for member in self.members()
            if member.is_live and place in (None, member.place)
        ]

    def running(self) -> tuple[Member, ...]:
        """List the members that run; the same tuple until that changes."""
        return self._roster.running()

    def entries_for(self, places: Sequence[str], limit: int) -> EntryList:
        """List the entries in places, which are given nearest first."""
        entries = choose_entries(self.members(), places, limit, self._rng)
        return EntryList(entries, self._settings.entry_keep_ms)

    def heard(self, daemon_ids: Collection[str], within_ms: int) -> HeardCount:
        """Count which of some daemons were heard lately, through anyone.

        This daemon counts as heard.
        """
        since = now_s() - within_ms / MS_PER_S
        heard = sum(
            1
            for name in daemon_ids
            if name == self.me.daemon_id
            or self._roster.vitals.of(name).heard_at >= since
        )
        return HeardCount(heard, len(daemon_ids))

    def heard_at(self, daemon_id: str) -> float:
        """Give the runtime's time at which a member was last heard."""
        return self._roster.vitals.of(daemon_id).heard_at

    def mark_leaving(self, vm_id: str, incarnation: int) -> None:
        """Mark an upstream VM's incarnation as leaving, everywhere."""
        self._gossiper.mark(LeavingMark(vm_id, incarnation))

    def tell_limit(self, news: LimitNews) -> None:
        """Tell every daemon what a replica takes from all of them."""
        self._gossiper.tell_limit(news)

    def tell_evacuations(self) -> None:
        """Tell every daemon soon what is known of evacuated places."""
        self._gossiper.tell_evacuations()

    def is_leaving(self, vm_id: str, incarnation: int) -> bool:
        """Say whether an upstream VM's incarnation is marked as leaving."""
        return self._gossiper.marks.is_leaving(vm_id, incarnation)

    def demand_for(self, workspace: str) -> int:
        """Sum what other daemons lately reported in flight."""
        return self._gossiper.demand.total(workspace, now_s())

    async def on_ping(self, ping: Ping) -> Gossip:
        """Answer a probe."""
        self._gossiper.absorb(ping.gossip)
        return self._gossiper.compose(ping.gossip.sender.daemon_id)

    async def on_ping_request(self, request: PingRequest) -> bool:
        """Probe a third daemon for a peer."""
        return await self._prober.ping(
            request.target_id,
            request.target_address,
            min(request.timeout_ms, self._settings.max_indirect_timeout_ms),
        )

    async def on_exchange(self, gossip: Gossip) -> Gossip:
        """Merge a peer's whole state and give the own."""
        self._gossiper.absorb(gossip)
        return self._gossiper.compose_all()

    async def _probe_loop(self) -> None:
        while self.me.is_live:
            period_ms = self._settings.probe_period_ms * self._health.factor
            start = now_s()
            name = self._order.next(self._roster.live_ids())
            if name is not None:
                await self._prober.probe(name)
            next_at = start + period_ms / MS_PER_S
            await anyio.sleep_until(next_at)

    async def _gossip_loop(self, tasks: TaskGroup) -> None:
        period_s = self._settings.gossip_period_ms / MS_PER_S
        self._guard.tick(now_s(), period_s)
        while self.me.is_live:
            self._upkeep(await self._rest(period_s))
            if self._gossiper.has_rumours():
                self._start_gossip(tasks)

    def _wake(self) -> None:
        self._has_news.set()

    async def _rest(self, period_s: float) -> float:
        """Sleep for a period, while idle for a longer one or until news.

        Gives how long the sleep was meant to last at most.
        """
        if self._gossiper.has_rumours():
            await anyio.sleep(period_s)
            return period_s
        period_s = self._settings.idle_period_ms / MS_PER_S
        self._has_news = anyio.Event()
        with anyio.move_on_after(period_s):
            await self._has_news.wait()
        return period_s

    def _upkeep(self, period_s: float) -> None:
        now = now_s()
        lost_s = self._guard.tick(now, period_s)
        if lost_s > 0:
            events.warning("membership.paused", lost_ms=int(lost_s * MS_PER_S))
            self._health.record_fault()
            self._roster.postpone_suspicions(lost_s)
        self._roster.expire(now)
        self._gossiper.demand.prune(now)

    def _start_gossip(self, tasks: TaskGroup) -> None:
        names = self._roster.live_ids()
        if names and self._gossip_tasks < MAX_GOSSIP_TASKS:
            tasks.start_soon(self._gossip_with, self._rng.choice(names))

    async def _gossip_with(self, name: str) -> None:
        member = self._roster.get(name)
        if member is None:
            return
        self._gossip_tasks += 1
        try:
            await self._prober.ping(
                name, member.peer_address, self._settings.probe_timeout_ms
            )
        finally:
            self._gossip_tasks -= 1

"""Detect which daemons run and disseminate updates between them."""

from collections.abc import Callable, Collection, Sequence
from random import Random

import anyio
from anyio.abc import TaskGroup

from berylcart import events
from berylcart.clock import now_s
from berylcart.coordination.membership.contact import plan_calls
from berylcart.coordination.membership.entries import EntryList, choose_entries
from berylcart.coordination.membership.exchanger import Exchanger
from berylcart.coordination.membership.gossip import Gossiper
from berylcart.coordination.membership.hooks import MembershipHooks
from berylcart.coordination.membership.peer_port import Peers
from berylcart.coordination.membership.probe import (
    LocalHealth,
    PauseDetector,
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
    LimitReport,
    Ping,
    PingRequest,
)

MAX_LEAVE_NOTICES = 8
MAX_GOSSIP_TASKS = 4
# Random part of the call period, so that daemons do not call in step.
CALL_JITTER = (0.75, 1.25)


class Membership:
    """Run a SWIM-style membership protocol between daemons.

    seeds returns the peer addresses to join through; it is called again for
    each attempt. run() ends only when cancelled.
    """

    def __init__(
        self,
        local_member: Member,
        peers: Peers,
        seeds: Callable[[], Sequence[str]],
        settings: MembershipSettings = DEFAULT_SETTINGS,
        hooks: MembershipHooks | None = None,
        rng: Random | None = None,
    ) -> None:
        self._settings = settings
        self._rng = rng or Random()
        self._pause_detector = PauseDetector(
            settings.pause_slack_ms / MS_PER_S
        )
        self._gossiper = Gossiper(
            local_member,
            settings,
            hooks or MembershipHooks(),
            self._pause_detector,
            self._rng,
        )
        self._roster = self._gossiper.roster
        self._health = LocalHealth()
        self._prober = Prober(
            peers,
            self._gossiper,
            self._health,
            self._pause_detector,
            settings,
            self._rng,
        )
        self._exchanger = Exchanger(
            peers, seeds, self._gossiper, settings, self._rng
        )
        self._probe_order = ProbeOrder(self._rng)
        self._probing: set[str] = set()
        self._gossip_tasks = 0
        self._broadcast_queued = anyio.Event()
        self._gossiper.on_broadcast_queued = self._wake_gossip_loop

    async def run(self) -> None:
        """Join through the seeds, then call members until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._call_loop, tasks)
            tasks.start_soon(self._gossip_loop, tasks)
            tasks.start_soon(self._exchanger.run)

    def announce(self, *, takes_callers: bool) -> None:
        """Broadcast whether this daemon accepts new callers."""
        if self.local_member.is_leaving is takes_callers:
            self._roster.update_self(is_leaving=not takes_callers)

    async def leave(self) -> None:
        """Send a leave notice to a few members, which relay it."""
        self._roster.update_self(state=MemberState.LEFT)
        names = self._roster.live_ids()
        notice_count = min(MAX_LEAVE_NOTICES, len(names))
        async with anyio.create_task_group() as tasks:
            for name in self._rng.sample(names, notice_count):
                tasks.start_soon(self._gossip_with, name)

    @property
    def local_member(self) -> Member:
        """Return this daemon's own member record."""
        return self._roster.local_member

    def members(self) -> list[Member]:
        """List all known members, this daemon first."""
        return [self.local_member, *self._roster.members()]

    def live_members(self, place: str | None = None) -> list[Member]:
        """List the live members of one place, or of all."""
        return [
            member
            for member in self.members()
            if member.is_live and place in (None, member.place)
        ]

    def running(self) -> tuple[Member, ...]:
        """Return the live members; the same tuple until they change."""
        return self._roster.running()

    def entries_for(self, places: Sequence[str], limit: int) -> EntryList:
        """List the entries in places, which are ordered nearest first.

        Members that have been silent for contact_ms are not listed.
        """
        now = now_s()
        heard_until = now - self._pause_detector.unrecorded_pause_s(now)
        reachable = [
            self.local_member,
            *(
                member
                for member in self._roster.members()
                if not self._roster.is_silent(member.daemon_id, heard_until)
            ),
        ]
        entries = choose_entries(reachable, places, limit, self._rng)
        return EntryList(entries, self._settings.entry_keep_ms)

    def count_heard(
        self, daemon_ids: Collection[str], within_ms: int
    ) -> HeardCount:
        """Count the daemons heard, directly or by relay, within within_ms.

        This daemon counts as heard.
        """
        since = now_s() - within_ms / MS_PER_S
        heard = sum(
            1
            for name in daemon_ids
            if name == self.local_member.daemon_id
            or self._roster.vitals.get(name).heard_at >= since
        )
        return HeardCount(heard, len(daemon_ids))

    def silent_count(self) -> int:
        """Count the live members that callers are not told to use."""
        return self._roster.silent_count()

    def heard_at(self, daemon_id: str) -> float:
        """Return the runtime's time at which a member was last heard."""
        return self._roster.vitals.get(daemon_id).heard_at

    def mark_leaving(self, vm_id: str, incarnation: int) -> None:
        """Mark an upstream VM's incarnation as leaving and broadcast it."""
        self._gossiper.mark(LeavingMark(vm_id, incarnation))

    def broadcast_limit(self, limit: LimitReport) -> None:
        """Broadcast a replica's limit on the requests of all daemons."""
        self._gossiper.broadcast_limit(limit)

    def broadcast_evacuations(self) -> None:
        """Broadcast the known evacuations without delay."""
        self._gossiper.broadcast_hooks_data()

    def broadcast_parts(self) -> None:
        """Broadcast the suspected prompt parts without delay."""
        self._gossiper.broadcast_hooks_data()

    def is_leaving(self, vm_id: str, incarnation: int) -> bool:
        """Return whether an upstream VM's incarnation is marked as leaving."""
        return self._gossiper.marks.is_leaving(vm_id, incarnation)

    def demand_for(self, workspace: str) -> int:
        """Sum the recent in-flight reports of the other daemons."""
        return self._gossiper.demand.total(workspace, now_s())

    async def on_ping(self, ping: Ping) -> Gossip:
        """Merge a probe's gossip and reply with gossip."""
        self._gossiper.merge_message(ping.gossip)
        return self._gossiper.compose(ping.gossip.sender.daemon_id)

    async def on_ping_request(self, request: PingRequest) -> bool:
        """Probe another daemon on behalf of a peer."""
        return await self._prober.ping(
            request.target_id,
            request.target_address,
            min(request.timeout_ms, self._settings.max_indirect_timeout_ms),
        )

    async def on_exchange(self, gossip: Gossip) -> Gossip:
        """Merge a peer's full state and return the local one."""
        self._gossiper.merge_message(gossip)
        return self._gossiper.compose_all()

    async def _call_loop(self, tasks: TaskGroup) -> None:
        """Call a member each period, and probe silent ones.

        A call that waits for a timeout does not delay the next one.
        """
        period_s = min(
            self._settings.probe_period_ms / MS_PER_S,
            self._roster.silence.call_period_s,
        )
        while self.local_member.is_live:
            self._start_calls(tasks)
            await anyio.sleep(period_s * self._rng.uniform(*CALL_JITTER))

    def _start_calls(self, tasks: TaskGroup) -> None:
        plan = plan_calls(
            self._roster.candidates(now_s()),
            self._roster.silence.recent_s,
            self._rng,
        )
        name = self._probe_order.next(plan.recent)
        if name is not None:
            tasks.start_soon(self._prober.call, name)
        for name in plan.probes:
            if name not in self._probing:
                tasks.start_soon(self._probe, name, plan.recent)

    async def _probe(self, name: str, helpers: Sequence[str]) -> None:
        self._probing.add(name)
        try:
            await self._prober.probe(name, helpers)
        finally:
            self._probing.discard(name)

    async def _gossip_loop(self, tasks: TaskGroup) -> None:
        period_s = self._settings.gossip_period_ms / MS_PER_S
        self._run_maintenance(period_s, tasks)
        while self.local_member.is_live:
            waited_s = await self._wait_for_gossip_round(period_s)
            self._run_maintenance(waited_s, tasks)
            if self._gossiper.has_broadcasts():
                self._start_gossip(tasks)

    def _wake_gossip_loop(self) -> None:
        self._broadcast_queued.set()

    async def _wait_for_gossip_round(self, period_s: float) -> float:
        """Sleep for a period; when idle, a longer one or until a broadcast.

        Returns the maximum intended sleep, to compare with the actual one.
        """
        if self._gossiper.has_broadcasts():
            await anyio.sleep(period_s)
            return period_s
        period_s = self._settings.idle_period_ms / MS_PER_S
        self._broadcast_queued = anyio.Event()
        with anyio.move_on_after(period_s):
            await self._broadcast_queued.wait()
        return period_s

    def _run_maintenance(self, period_s: float, tasks: TaskGroup) -> None:
        now = now_s()
        paused_s = self._pause_detector.tick(now, period_s)
        if paused_s > 0:
            events.warning(
                "membership.paused", lost_ms=int(paused_s * MS_PER_S)
            )
            self._health.record_fault()
            self._roster.postpone_suspicions(paused_s)
            self._roster.silence.record_pause(now, paused_s)
            self._start_calls(tasks)
        self._roster.expire(now)
        self._roster.update_contact(now)
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

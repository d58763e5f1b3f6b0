"""Hold this daemon's view of the other members."""

from collections.abc import Callable, Iterator

from berylcart import events
from berylcart.coordination.membership.broadcast_queue import BroadcastQueue
from berylcart.coordination.membership.contact import Candidate, SilenceLimit
from berylcart.coordination.membership.settings import (
    MS_PER_S,
    MembershipSettings,
    suspicion_timeout_ms,
    transmission_limit,
)
from berylcart.coordination.membership.vitals import VitalsTable
from berylcart.state.member_table import (
    Member,
    MemberState,
    downgrade_death,
    is_significant_change,
    merge,
    refute,
    view_digest,
)
from berylcart.state.peer_messages import MemberReport

# Members that were never heard have no finite silence.
MAX_LOGGED_SILENCE_S = 3600


class Roster:
    """Merge reports about members; all times are in seconds."""

    def __init__(
        self,
        local_member: Member,
        settings: MembershipSettings,
        on_change: Callable[[Member], None],
    ) -> None:
        self.local_member = local_member
        self.broadcasts: BroadcastQueue[str] = BroadcastQueue()
        self.silence = SilenceLimit(settings)
        self.vitals = VitalsTable(
            settings.dead_retention_ms / MS_PER_S, local_member.daemon_id
        )
        self._settings = settings
        self._on_change = on_change
        self._members: dict[str, Member] = {}
        self._live_ids: list[str] | None = None
        self._running: tuple[Member, ...] | None = None
        self._others_digest: int | None = None
        self._suspicion_ends: dict[str, float] = {}
        self._gone_at: dict[str, float] = {}
        self._disputed_deaths: dict[str, Member] = {}
        self._silent: set[str] = set()

    def __len__(self) -> int:
        """Count the live members, this daemon included."""
        return 1 + len(self.live_ids())

    def get(self, daemon_id: str) -> Member | None:
        """Return another member, None if unknown."""
        return self._members.get(daemon_id)

    def live_ids(self) -> list[str]:
        """List the ids of the other live members, in no particular order."""
        if self._live_ids is None:
            self._live_ids = [
                name for name, m in self._members.items() if m.is_live
            ]
        return self._live_ids

    def view_digest(self) -> int:
        """Hash the set of live members, this daemon included."""
        if self._others_digest is None:
            self._others_digest = view_digest(self._members.values())
        return self._others_digest ^ view_digest([self.local_member])

    def running(self) -> tuple[Member, ...]:
        """Return the live members, this daemon first.

        The tuple is cached until a member joins, leaves or changes its state,
        so its loads and versions may be out of date.
        """
        if self._running is None:
            others = [self._members[name] for name in self.live_ids()]
            own = [self.local_member] if self.local_member.is_live else []
            self._running = (*own, *others)
        return self._running

    def _invalidate_caches(self) -> None:
        self._live_ids = None
        self._running = None
        self._others_digest = None

    def live_addresses(self) -> set[str]:
        """Return the peer addresses of live members, this daemon included."""
        others = [self._members[name] for name in self.live_ids()]
        return {member.peer_address for member in [self.local_member, *others]}

    def dead_addresses(self) -> list[str]:
        """List the peer addresses of members that died without leaving."""
        return [
            member.peer_address
            for member in self._members.values()
            if member.state is MemberState.DEAD
        ]

    def members(self) -> list[Member]:
        """List all other members with their newest load and version."""
        return [self._refreshed(member) for member in self._members.values()]

    def _refreshed(self, member: Member) -> Member:
        vitals = self.vitals.get(member.daemon_id)
        version = max(member.config_version, vitals.config_version)
        return member._replace(load=vitals.load, config_version=version)

    def suspicion_timeout_s(self) -> float:
        """Return the suspicion timeout for the current number of members."""
        return suspicion_timeout_ms(len(self), self._settings) / MS_PER_S

    def transmissions(self) -> int:
        """Return how often a new update is transmitted."""
        return transmission_limit(len(self), self._settings)

    def next_self_report(self) -> Member:
        """Increment this daemon's heartbeat and return its member record."""
        self.local_member = self.local_member._replace(
            beat=self.local_member.beat + 1
        )
        return self.local_member

    def update_self(self, **changes: object) -> None:
        """Change this daemon's member record, broadcasting notable changes."""
        before = self.local_member
        self.local_member = before._replace(**changes)  # type: ignore[arg-type]
        if is_significant_change(before, self.local_member):
            self._running = None
            self.broadcast_self()

    def broadcast_self(self) -> None:
        """Queue this daemon's member record for broadcast."""
        self.broadcasts.add(self.local_member.daemon_id, self.transmissions())

    def merge_own_report(self, member: Member, now: float) -> None:
        """Merge a report received from the member itself."""
        self.merge_report(MemberReport(member, 0), now)

    def merge_report(
        self, report: MemberReport, now: float, *, is_broadcast: bool = True
    ) -> None:
        """Merge one report about a member."""
        member = report.member
        if member.daemon_id == self.local_member.daemon_id:
            self._refute_report(member)
            return
        known = self._members.get(member.daemon_id)
        if known is None and len(self._members) >= self._settings.max_members:
            return
        self.vitals.record(member, now - report.heard_age_ms / MS_PER_S)
        if self._contradicts_recent_contact(member, known, now):
            self._disputed_deaths[member.daemon_id] = member
            return
        member = downgrade_death(member, known)
        merged = member if known is None else merge(known, member)
        if merged != known:
            self._store(merged, now, is_broadcast=is_broadcast)

    def _refute_report(self, report: Member) -> None:
        """Refute a report that this daemon is not alive."""
        if self.local_member.state is not MemberState.ALIVE:
            return
        refuted = refute(self.local_member, report)
        if refuted != self.local_member:
            self.local_member = refuted
            self._running = None
            self.broadcast_self()

    def _contradicts_recent_contact(
        self, member: Member, known: Member | None, now: float
    ) -> bool:
        """Return whether a death report contradicts recent contact.

        Without this check, the first exchange after a network partition would
        make both sides declare their own members dead.
        """
        if member.state is not MemberState.DEAD or known is None:
            return False
        if not known.is_live or member.incarnation < known.incarnation:
            return False
        return self._trusted_until(member.daemon_id) > now

    def _trusted_until(self, name: str) -> float:
        """Return the time until which a silent member is not declared dead."""
        return self.vitals.get(name).heard_at + self.suspicion_timeout_s()

    def _store(
        self, member: Member, now: float, *, is_broadcast: bool = True
    ) -> None:
        name = member.daemon_id
        known = self._members.get(name)
        self._members[name] = member
        if known is not None and not is_significant_change(known, member):
            return
        self._invalidate_caches()
        self._update_timers(member, known, now)
        if not is_significant_change(known, member):
            return
        if is_broadcast:
            self.broadcasts.add(name, self.transmissions())
        self._on_change(member)

    def _update_timers(
        self, member: Member, known: Member | None, now: float
    ) -> None:
        """Set or clear the timers that depend on a member's state."""
        name = member.daemon_id
        if known is None or known.incarnation < member.incarnation:
            self._suspicion_ends.pop(name, None)
            self._disputed_deaths.pop(name, None)
        if member.state is MemberState.SUSPECT:
            self._suspicion_ends.setdefault(
                name, now + self.suspicion_timeout_s()
            )
        else:
            self._suspicion_ends.pop(name, None)
        if member.is_live:
            self._gone_at.pop(name, None)
        else:
            self._gone_at.setdefault(name, now)

    def suspect(self, daemon_id: str, now: float) -> None:
        """Mark an alive member as suspect after a failed probe."""
        member = self._members.get(daemon_id)
        if member is not None and member.state is MemberState.ALIVE:
            self._store(member._replace(state=MemberState.SUSPECT), now)

    def postpone_suspicions(self, paused_s: float) -> None:
        """Extend all suspicion timeouts by a pause of this process."""
        for name in self._suspicion_ends:
            self._suspicion_ends[name] += paused_s

    def expire(self, now: float) -> None:
        """Declare silent suspects dead and remove members gone for long."""
        for name, ends_at in list(self._suspicion_ends.items()):
            latest = ends_at + self.suspicion_timeout_s()
            if max(ends_at, min(self._trusted_until(name), latest)) <= now:
                member = self._members[name]
                self._store(member._replace(state=MemberState.DEAD), now)
        keep_s = self._settings.dead_retention_ms / MS_PER_S
        for name, ended_at in list(self._gone_at.items()):
            if now - ended_at > keep_s:
                self._remove(name)

    def _remove(self, name: str) -> None:
        self._members.pop(name)
        self._invalidate_caches()
        self.vitals.remove(name)
        self._gone_at.pop(name)
        self._disputed_deaths.pop(name, None)
        self.broadcasts.discard(name)

    def candidates(self, now: float) -> Iterator[Candidate]:
        """Yield the silence of each other live member."""
        for name in self.live_ids():
            yield Candidate(
                name,
                self.silence.silence_s(self.vitals.get(name).heard_at, now),
                self._members[name].state is MemberState.SUSPECT,
            )

    def is_silent(self, daemon_id: str, now: float) -> bool:
        """Return whether a member has been silent for too long."""
        return self.silence.is_exceeded(
            self.vitals.get(daemon_id).heard_at, now
        )

    def silent_count(self) -> int:
        """Return how many live members were silent at the last update."""
        return len(self._silent)

    def update_contact(self, now: float) -> None:
        """Log which live members became silent or were heard again."""
        silent = {
            name for name in self.live_ids() if self.is_silent(name, now)
        }
        for name in sorted(silent ^ self._silent):
            heard_at = self.vitals.get(name).heard_at
            events.info(
                "membership.contact",
                daemon=name,
                is_silent=name in silent,
                silence_ms=int(
                    min(now - heard_at, MAX_LOGGED_SILENCE_S) * MS_PER_S
                ),
                members=len(self),
            )
        self._silent = silent

    def report_of(self, name: str, now: float) -> MemberReport | None:
        """Build the report on one member, which may be this daemon."""
        if name == self.local_member.daemon_id:
            return MemberReport(self.local_member, 0)
        member = self._members.get(name)
        if member is None:
            return None
        return MemberReport(member, self.vitals.age_ms(name, now))

    def reports_to_refute(self, name: str, now: float) -> list[MemberReport]:
        """List the reports against a member that it should refute."""
        reports = [self._disputed_deaths.get(name), self._members.get(name)]
        return [
            MemberReport(member, self.vitals.age_ms(name, now))
            for member in reports
            if member is not None and member.state is not MemberState.ALIVE
        ]

    def all_reports(self, now: float) -> list[MemberReport]:
        """Build the reports on all other members."""
        return [
            MemberReport(member, self.vitals.age_ms(name, now))
            for name, member in self._members.items()
        ]

"""Keep what this daemon knows about the others."""

from collections.abc import Callable

from berylcart.coordination.membership.piggyback import RumourQueue
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
    is_notable,
    merge,
    refute,
    soften,
    view_digest,
)
from berylcart.state.peer_messages import MemberNews


class Roster:
    """Merge reports about members; all times are in seconds."""

    def __init__(
        self,
        me: Member,
        settings: MembershipSettings,
        on_change: Callable[[Member], None],
    ) -> None:
        self.me = me
        self.rumours: RumourQueue[str] = RumourQueue()
        self.vitals = VitalsTable(settings.dead_keep_ms / MS_PER_S)
        self._settings = settings
        self._on_change = on_change
        self._members: dict[str, Member] = {}
        self._live_ids: list[str] | None = None
        self._running: tuple[Member, ...] | None = None
        self._others_digest: int | None = None
        self._suspect_until: dict[str, float] = {}
        self._ended_at: dict[str, float] = {}
        self._disputed: dict[str, Member] = {}

    def __len__(self) -> int:
        """Count the live members, this daemon included."""
        return 1 + len(self.live_ids())

    def get(self, daemon_id: str) -> Member | None:
        """Find another member."""
        return self._members.get(daemon_id)

    def live_ids(self) -> list[str]:
        """List the other members that count as running, in no order."""
        if self._live_ids is None:
            self._live_ids = [
                name for name, m in self._members.items() if m.is_live
            ]
        return self._live_ids

    def view_digest(self) -> int:
        """Hash which members run, this daemon included."""
        if self._others_digest is None:
            self._others_digest = view_digest(self._members.values())
        return self._others_digest ^ view_digest([self.me])

    def running(self) -> tuple[Member, ...]:
        """List the members that run, this daemon first.

        The same tuple comes until a member joins, goes or changes its state;
        loads and versions are as of then.
        """
        if self._running is None:
            others = [self._members[name] for name in self.live_ids()]
            own = [self.me] if self.me.is_live else []
            self._running = (*own, *others)
        return self._running

    def _forget_views(self) -> None:
        self._live_ids = None
        self._running = None
        self._others_digest = None

    def live_addresses(self) -> set[str]:
        """List where members run, this daemon included."""
        others = [self._members[name] for name in self.live_ids()]
        return {member.peer_address for member in [self.me, *others]}

    def dead_addresses(self) -> list[str]:
        """List where members were that went without saying goodbye."""
        return [
            member.peer_address
            for member in self._members.values()
            if member.state is MemberState.DEAD
        ]

    def members(self) -> list[Member]:
        """List all other members with their newest load and version."""
        return [self._refreshed(member) for member in self._members.values()]

    def _refreshed(self, member: Member) -> Member:
        vitals = self.vitals.of(member.daemon_id)
        version = max(member.config_version, vitals.config_version)
        return member._replace(load=vitals.load, config_version=version)

    def suspicion_s(self) -> float:
        """Give the present suspicion timeout."""
        return suspicion_timeout_ms(len(self), self._settings) / MS_PER_S

    def transmissions(self) -> int:
        """Give how often a new rumour is passed on."""
        return transmission_limit(len(self), self._settings)

    def report_me(self) -> Member:
        """Raise the own beat and give the report."""
        self.me = self.me._replace(beat=self.me.beat + 1)
        return self.me

    def update_me(self, **changes: object) -> None:
        """Change details of this daemon, spreading what is notable."""
        before = self.me
        self.me = before._replace(**changes)  # type: ignore[arg-type]
        if is_notable(before, self.me):
            self._running = None
            self.spread_me()

    def spread_me(self) -> None:
        """Pass the own report on as a rumour."""
        self.rumours.add(self.me.daemon_id, self.transmissions())

    def hear(self, member: Member, now: float) -> None:
        """Take in a report that came from the member itself."""
        self.absorb(MemberNews(member, 0), now)

    def absorb(
        self, news: MemberNews, now: float, *, is_passed_on: bool = True
    ) -> None:
        """Merge one report."""
        member = news.member
        if member.daemon_id == self.me.daemon_id:
            self._defend(member)
            return
        known = self._members.get(member.daemon_id)
        if known is None and len(self._members) >= self._settings.max_members:
            return
        self.vitals.note(member, now - news.heard_age_ms / MS_PER_S)
        if self._is_doubtful(member, known, now):
            self._disputed[member.daemon_id] = member
            return
        member = soften(member, known)
        merged = member if known is None else merge(known, member)
        if merged != known:
            self._put(merged, now, is_passed_on=is_passed_on)

    def _defend(self, report: Member) -> None:
        """Refute a report that this daemon is anything but alive."""
        if self.me.state is not MemberState.ALIVE:
            return
        refuted = refute(self.me, report)
        if refuted != self.me:
            self.me = refuted
            self._running = None
            self.spread_me()

    def _is_doubtful(
        self, member: Member, known: Member | None, now: float
    ) -> bool:
        """Say whether a reported death contradicts fresh signs of life.

        Without this, the first exchange between two halves that lost each
        other would have each declare itself dead.
        """
        if member.state is not MemberState.DEAD or known is None:
            return False
        if not known.is_live or member.incarnation < known.incarnation:
            return False
        return self._silent_until(member.daemon_id) > now

    def _silent_until(self, name: str) -> float:
        """Say until when a member's silence is no proof of its death."""
        return self.vitals.of(name).heard_at + self.suspicion_s()

    def _put(
        self, member: Member, now: float, *, is_passed_on: bool = True
    ) -> None:
        name = member.daemon_id
        known = self._members.get(name)
        self._members[name] = member
        if known is not None and not is_notable(known, member):
            return
        self._forget_views()
        self._schedule(member, known, now)
        if not is_notable(known, member):
            return
        if is_passed_on:
            self.rumours.add(name, self.transmissions())
        self._on_change(member)

    def _schedule(
        self, member: Member, known: Member | None, now: float
    ) -> None:
        """Set or clear the timers that follow from a member's state."""
        name = member.daemon_id
        if known is None or known.incarnation < member.incarnation:
            self._suspect_until.pop(name, None)
            self._disputed.pop(name, None)
        if member.state is MemberState.SUSPECT:
            self._suspect_until.setdefault(name, now + self.suspicion_s())
        else:
            self._suspect_until.pop(name, None)
        if member.is_live:
            self._ended_at.pop(name, None)
        else:
            self._ended_at.setdefault(name, now)

    def suspect(self, daemon_id: str, now: float) -> None:
        """Suspect a live member that did not answer."""
        member = self._members.get(daemon_id)
        if member is not None and member.state is MemberState.ALIVE:
            self._put(member._replace(state=MemberState.SUSPECT), now)

    def postpone_suspicions(self, lost_s: float) -> None:
        """Give suspects back the time in which this process did not run."""
        for name in self._suspect_until:
            self._suspect_until[name] += lost_s

    def expire(self, now: float) -> None:
        """Declare silent suspects dead and forget old ends."""
        for name, until in list(self._suspect_until.items()):
            latest = until + self.suspicion_s()
            if max(until, min(self._silent_until(name), latest)) <= now:
                member = self._members[name]
                self._put(member._replace(state=MemberState.DEAD), now)
        keep_s = self._settings.dead_keep_ms / MS_PER_S
        for name, ended_at in list(self._ended_at.items()):
            if now - ended_at > keep_s:
                self._forget(name)

    def _forget(self, name: str) -> None:
        self._members.pop(name)
        self._forget_views()
        self.vitals.forget(name)
        self._ended_at.pop(name)
        self._disputed.pop(name, None)
        self.rumours.discard(name)

    def news_of(self, name: str, now: float) -> MemberNews | None:
        """Report one member, this daemon included."""
        if name == self.me.daemon_id:
            return MemberNews(self.me, 0)
        member = self._members.get(name)
        if member is None:
            return None
        return MemberNews(member, self.vitals.age_ms(name, now))

    def charges_against(self, name: str, now: float) -> list[MemberNews]:
        """List reports that a member should know of, to refute them."""
        charges = [self._disputed.get(name), self._members.get(name)]
        return [
            MemberNews(member, self.vitals.age_ms(name, now))
            for member in charges
            if member is not None and member.state is not MemberState.ALIVE
        ]

    def all_news(self, now: float) -> list[MemberNews]:
        """Report every member."""
        return [
            MemberNews(member, self.vitals.age_ms(name, now))
            for name, member in self._members.items()
        ]

"""Compose and take in the gossip that rides on every peer call."""

from collections.abc import Callable
from random import Random
from typing import NamedTuple

from berylcart import events
from berylcart.clock import now_s
from berylcart.coordination.membership.demand import DemandTable
from berylcart.coordination.membership.hooks import MembershipHooks
from berylcart.coordination.membership.piggyback import RumourQueue
from berylcart.coordination.membership.probe import PauseGuard
from berylcart.coordination.membership.roster import Roster
from berylcart.coordination.membership.settings import (
    MS_PER_S,
    MembershipSettings,
)
from berylcart.coordination.membership.vitals import HOP_ALLOWANCE_MS
from berylcart.state.leaving_marks import LeavingMark, LeavingMarks
from berylcart.state.member_table import Member
from berylcart.state.peer_messages import (
    ConfigFreshness,
    Demand,
    Gossip,
    LimitNews,
    MemberNews,
)

LARGE_QUEUE = 64
LARGE_QUEUE_FACTOR = 3


def is_config_news(own: ConfigFreshness, heard: ConfigFreshness) -> bool:
    """Say whether a peer has a newer configuration or confirmation.

    >>> own = ConfigFreshness(version=3, as_of_offset=20, age_ms=900)
    >>> is_config_news(own, ConfigFreshness(4, 21, 5000))
    True
    >>> is_config_news(own, ConfigFreshness(3, 20, 100))
    True
    >>> is_config_news(own, ConfigFreshness(2, 20, 100))
    False
    """
    if heard.version != own.version:
        return heard.version > own.version
    if heard.as_of_offset != own.as_of_offset:
        return heard.as_of_offset > own.as_of_offset
    return heard.age_ms < own.age_ms


class HeardLimit(NamedTuple):
    """Hold a replica's limit, when it was named and when it was told."""

    news: LimitNews
    heard_s: float
    told_s: float

    def aged(self, at_s: float) -> LimitNews:
        """Give the news with its age then, a hop's time added.

        The replica stays cold for what is left, without a hop's time: it must
        not count as warm too early.

        >>> heard = HeardLimit(LimitNews("v1", 1, 2.0, 500, 3000), 9.5, 10.0)
        >>> heard.aged(11.0).cold_ms, heard.aged(11.0).age_ms >= 1500
        (2000, True)
        """
        age_ms = int((at_s - self.heard_s) * MS_PER_S) + HOP_ALLOWANCE_MS
        passed_ms = int((at_s - self.told_s) * MS_PER_S)
        cold_ms = max(0, self.news.cold_ms - passed_ms)
        return self.news._replace(age_ms=age_ms, cold_ms=cold_ms)


class Gossiper:
    """Join what this daemon knows to what it hears."""

    def __init__(
        self,
        me: Member,
        settings: MembershipSettings,
        hooks: MembershipHooks,
        guard: PauseGuard,
        rng: Random,
    ) -> None:
        self._guard = guard
        self.roster = Roster(me, settings, self._on_change)
        self.marks = LeavingMarks(settings.max_marks)
        self.demand = DemandTable(settings.demand_keep_ms)
        self._settings = settings
        self._hooks = hooks
        self._rng = rng
        self._mark_rumours: RumourQueue[LeavingMark] = RumourQueue()
        self._config_version = 0
        self._config_sends_left = 0
        self._differing_peer = ""
        self.on_news: Callable[[], None] = lambda: None
        self.roster.rumours.on_add = self._note_news
        self._mark_rumours.on_add = self._note_news
        self._limits: dict[str, HeardLimit] = {}
        self._limit_rumours: RumourQueue[str] = RumourQueue()
        self._limit_rumours.on_add = self._note_news
        self._evacuation_sends_left = 0

    def _note_news(self) -> None:
        self.on_news()

    def _on_change(self, member: Member) -> None:
        events.info(
            "membership.changed",
            daemon=member.daemon_id,
            incarnation=member.incarnation,
            state=member.state.name.lower(),
            is_leaving=member.is_leaving,
            place=member.place,
        )
        self._hooks.on_change(member)

    def mark(self, mark: LeavingMark) -> None:
        """Add a leaving mark and pass it on if it is new."""
        if self.marks.add(mark):
            self._mark_rumours.add(mark, self.roster.transmissions())
            self._hooks.on_leaving(mark)

    def tell_limit(self, news: LimitNews) -> None:
        """Pass on what a replica takes."""
        told_s = now_s()
        heard_s = told_s - news.age_ms / MS_PER_S
        if len(self._limits) < self._settings.max_marks:
            self._limits[news.vm_id] = HeardLimit(news, heard_s, told_s)
            transmissions = self.roster.transmissions()
            self._limit_rumours.add(news.vm_id, transmissions)

    def _pick_limits(self) -> list[LimitNews]:
        names = self._limit_rumours.take(self._settings.limits_per_message)
        picked = [self._limits[name].aged(now_s()) for name in names]
        for name in names:
            if name not in self._limit_rumours:
                del self._limits[name]
        return picked

    def tell_evacuations(self) -> None:
        """Pass on that what is known of evacuated places has changed.

        Every message has all of it; this sends messages sooner.
        """
        self._evacuation_sends_left = self.roster.transmissions()
        self._note_news()

    def has_rumours(self) -> bool:
        """Say whether anything waits to be passed on."""
        self._note_config()
        queues = (self.roster.rumours, self._mark_rumours, self._limit_rumours)
        waiting = sum(len(queue) for queue in queues)
        sends_left = self._config_sends_left + self._evacuation_sends_left
        return waiting + sends_left > 0

    def _note_config(self) -> ConfigFreshness:
        """Make a risen version of the own configuration a rumour."""
        config = self._hooks.config()
        if config.version > self._config_version:
            self._config_version = config.version
            self._config_sends_left = self.roster.transmissions()
        return config

    def _report_me(self, config: ConfigFreshness) -> Member:
        self.roster.update_me(
            load=self._hooks.load(),
            config_version=config.version,
            config_offset=config.as_of_offset,
        )
        return self.roster.report_me()

    def compose(self, target_id: str) -> Gossip:
        """Compose a bounded message for one member."""
        settings = self._settings
        config = self._note_config()
        self._config_sends_left = max(0, self._config_sends_left - 1)
        self._evacuation_sends_left = max(0, self._evacuation_sends_left - 1)
        marks = self._mark_rumours.take(settings.marks_per_message)
        return Gossip(
            sender=self._report_me(config),
            members=tuple(self._pick_news(target_id)),
            leaving=tuple(marks),
            demand=tuple(self._pick_demand()),
            config=config,
            vitals=self.roster.vitals.sample(
                self.roster.live_ids(),
                settings.vitals_per_message,
                self._rng,
                now_s(),
            ),
            view_digest=self.roster.view_digest(),
            limits=tuple(self._pick_limits()),
            evacuations=tuple(self._hooks.evacuations()),
        )

    def compose_all(self) -> Gossip:
        """Compose a message with every member and the newest marks."""
        now = now_s()
        config = self._note_config()
        marks = list(self.marks)[-self._settings.marks_per_exchange :]
        return Gossip(
            sender=self._report_me(config),
            members=tuple(self.roster.all_news(now)),
            leaving=tuple(marks),
            demand=tuple(self._pick_demand()),
            config=config,
            view_digest=self.roster.view_digest(),
            evacuations=tuple(self._hooks.evacuations()),
        )

    def _pick_news(self, target_id: str) -> list[MemberNews]:
        now = now_s()
        limit = self._settings.members_per_message
        if len(self.roster.rumours) > LARGE_QUEUE:
            limit *= LARGE_QUEUE_FACTOR
        names = self.roster.rumours.take(limit)
        news = self.roster.charges_against(target_id, now)
        for name in names:
            report = self.roster.news_of(name, now)
            if report is not None:
                news.append(report)
        return news

    def _pick_demand(self) -> list[Demand]:
        limit = self._settings.demand_per_message
        own = list(self._hooks.demand())[:limit]
        now = now_s()
        return own + list(self.demand.newest(limit - len(own), now))

    def absorb(self, gossip: Gossip) -> None:
        """Take in a message, be it bounded or whole."""
        sender = gossip.sender
        roster = self.roster
        if sender.daemon_id == roster.me.daemon_id:
            return
        now = self._guard.arrival_time(now_s())
        is_joining = not roster.live_ids()
        roster.hear(sender, now)
        for news in gossip.members:
            roster.absorb(news, now, is_passed_on=not is_joining)
        roster.vitals.absorb(gossip.vitals, now)
        for mark in gossip.leaving:
            self.mark(mark)
        for limit in gossip.limits:
            self._hooks.on_limit(limit)
        if gossip.evacuations:
            self._hooks.on_evacuations(sender.daemon_id, gossip.evacuations)
        own_id = roster.me.daemon_id
        self.demand.add(
            (item for item in gossip.demand if item.daemon_id != own_id), now
        )
        self._compare_views(gossip)
        if is_config_news(self._hooks.config(), gossip.config):
            self._hooks.on_config(sender.peer_address, gossip.config)

    def _compare_views(self, gossip: Gossip) -> None:
        """Note a peer whose view differs although no rumour is under way."""
        if gossip.view_digest == self.roster.view_digest():
            self._differing_peer = ""
        elif not self.roster.rumours:
            self._differing_peer = gossip.sender.peer_address

    def take_differing_peer(self) -> str:
        """Give the address of such a peer once, or nothing."""
        address, self._differing_peer = self._differing_peer, ""
        return address

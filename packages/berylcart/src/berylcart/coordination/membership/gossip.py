"""Compose and merge the gossip that is piggybacked on peer calls."""

from collections.abc import Callable
from random import Random
from typing import NamedTuple

from berylcart import events
from berylcart.clock import now_s
from berylcart.coordination.membership.broadcast_queue import BroadcastQueue
from berylcart.coordination.membership.demand import DemandTable
from berylcart.coordination.membership.hooks import MembershipHooks
from berylcart.coordination.membership.probe import PauseDetector
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
    LimitReport,
    MemberReport,
)

LARGE_QUEUE_LENGTH = 64
LARGE_QUEUE_MEMBERS_FACTOR = 3


def is_newer_config(own: ConfigFreshness, received: ConfigFreshness) -> bool:
    """Return whether a peer's configuration or confirmation is newer.

    >>> own = ConfigFreshness(version=3, as_of_offset=20, age_ms=900)
    >>> is_newer_config(own, ConfigFreshness(4, 21, 5000))
    True
    >>> is_newer_config(own, ConfigFreshness(3, 20, 100))
    True
    >>> is_newer_config(own, ConfigFreshness(2, 20, 100))
    False
    >>> is_newer_config(own, ConfigFreshness(3, 7, 100, era=1))
    True
    """
    if received.version != own.version:
        return received.version > own.version
    if received.position != own.position:
        return received.position > own.position
    return received.age_ms < own.age_ms


class ReceivedLimit(NamedTuple):
    """Hold a replica's limit with its issue and receive times."""

    limit: LimitReport
    issued_s: float
    received_s: float

    def aged(self, at_s: float) -> LimitReport:
        """Return the limit to send at a time, with updated ages.

        HOP_ALLOWANCE_MS is added to age_ms. It is not subtracted from
        cold_ms, so that the replica does not count as warm too early.

        >>> limit = LimitReport("v1", 1, 2.0, 500, 3000)
        >>> received = ReceivedLimit(limit, issued_s=9.5, received_s=10.0)
        >>> aged = received.aged(11.0)
        >>> aged.cold_ms, aged.age_ms >= 1500
        (2000, True)
        """
        age_ms = int((at_s - self.issued_s) * MS_PER_S) + HOP_ALLOWANCE_MS
        elapsed_ms = int((at_s - self.received_s) * MS_PER_S)
        cold_ms = max(0, self.limit.cold_ms - elapsed_ms)
        return self.limit._replace(age_ms=age_ms, cold_ms=cold_ms)


class Gossiper:
    """Merge received gossip into local state and compose messages of it."""

    def __init__(
        self,
        local_member: Member,
        settings: MembershipSettings,
        hooks: MembershipHooks,
        pause_detector: PauseDetector,
        rng: Random,
    ) -> None:
        self._pause_detector = pause_detector
        self.roster = Roster(local_member, settings, self._on_change)
        self.marks = LeavingMarks(settings.max_marks)
        self.demand = DemandTable(settings.demand_retention_ms)
        self._settings = settings
        self._hooks = hooks
        self._rng = rng
        self._leaving_mark_broadcasts: BroadcastQueue[LeavingMark] = (
            BroadcastQueue()
        )
        self._config_version = 0
        self._config_sends_left = 0
        self._differing_peer_address = ""
        self.on_broadcast_queued: Callable[[], None] = lambda: None
        self.roster.broadcasts.on_add = self._signal_broadcast_queued
        self._leaving_mark_broadcasts.on_add = self._signal_broadcast_queued
        self._limits: dict[str, ReceivedLimit] = {}
        self._limit_broadcasts: BroadcastQueue[str] = BroadcastQueue()
        self._limit_broadcasts.on_add = self._signal_broadcast_queued
        self._hooks_data_sends_left = 0

    def _signal_broadcast_queued(self) -> None:
        self.on_broadcast_queued()

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
        """Add a leaving mark and broadcast it if it is new."""
        if self.marks.add(mark):
            self._leaving_mark_broadcasts.add(
                mark, self.roster.transmissions()
            )
            self._hooks.on_leaving(mark)

    def broadcast_limit(self, limit: LimitReport) -> None:
        """Broadcast a replica's limit."""
        received_s = now_s()
        issued_s = received_s - limit.age_ms / MS_PER_S
        if len(self._limits) < self._settings.max_marks:
            self._limits[limit.vm_id] = ReceivedLimit(
                limit, issued_s, received_s
            )
            transmissions = self.roster.transmissions()
            self._limit_broadcasts.add(limit.vm_id, transmissions)

    def _pick_limit_reports(self) -> list[LimitReport]:
        names = self._limit_broadcasts.next_keys(
            self._settings.limits_per_message
        )
        picked = [self._limits[name].aged(now_s()) for name in names]
        for name in names:
            if name not in self._limit_broadcasts:
                del self._limits[name]
        return picked

    def broadcast_hooks_data(self) -> None:
        """Send evacuations and suspected parts sooner, after a change.

        Every message includes all of them, so nothing is queued.
        """
        self._hooks_data_sends_left = self.roster.transmissions()
        self._signal_broadcast_queued()

    def has_broadcasts(self) -> bool:
        """Return whether any broadcast is pending."""
        self._broadcast_config_change()
        queues = (
            self.roster.broadcasts,
            self._leaving_mark_broadcasts,
            self._limit_broadcasts,
        )
        queued = sum(len(queue) for queue in queues)
        sends_left = self._config_sends_left + self._hooks_data_sends_left
        return queued + sends_left > 0

    def _broadcast_config_change(self) -> ConfigFreshness:
        """Schedule the broadcast of a newer local configuration version."""
        config = self._hooks.config()
        if config.version > self._config_version:
            self._config_version = config.version
            self._config_sends_left = self.roster.transmissions()
        return config

    def _report_self(self, config: ConfigFreshness) -> Member:
        self.roster.update_self(
            load=self._hooks.load(),
            config_version=config.version,
            config_offset=config.as_of_offset,
        )
        return self.roster.next_self_report()

    def compose(self, target_id: str) -> Gossip:
        """Compose a message of bounded size for one member."""
        settings = self._settings
        config = self._broadcast_config_change()
        self._config_sends_left = max(0, self._config_sends_left - 1)
        self._hooks_data_sends_left = max(0, self._hooks_data_sends_left - 1)
        marks = self._leaving_mark_broadcasts.next_keys(
            settings.marks_per_message
        )
        return Gossip(
            sender=self._report_self(config),
            members=tuple(self._pick_member_reports(target_id)),
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
            limits=tuple(self._pick_limit_reports()),
            evacuations=tuple(self._hooks.evacuations()),
            parts=tuple(self._hooks.parts()),
            ages=self.roster.vitals.ages(settings.vitals_per_message, now_s()),
        )

    def compose_all(self) -> Gossip:
        """Compose a full-state message with all members and newest marks."""
        now = now_s()
        config = self._broadcast_config_change()
        marks = list(self.marks)[-self._settings.marks_per_exchange :]
        return Gossip(
            sender=self._report_self(config),
            members=tuple(self.roster.all_reports(now)),
            leaving=tuple(marks),
            demand=tuple(self._pick_demand()),
            config=config,
            view_digest=self.roster.view_digest(),
            evacuations=tuple(self._hooks.evacuations()),
            parts=tuple(self._hooks.parts()),
        )

    def _pick_member_reports(self, target_id: str) -> list[MemberReport]:
        now = now_s()
        limit = self._settings.members_per_message
        if len(self.roster.broadcasts) > LARGE_QUEUE_LENGTH:
            limit *= LARGE_QUEUE_MEMBERS_FACTOR
        names = self.roster.broadcasts.next_keys(limit)
        reports = self.roster.reports_to_refute(target_id, now)
        for name in names:
            report = self.roster.report_of(name, now)
            if report is not None:
                reports.append(report)
        return reports

    def _pick_demand(self) -> list[Demand]:
        limit = self._settings.demand_per_message
        own = list(self._hooks.demand())[:limit]
        now = now_s()
        return own + list(self.demand.newest(limit - len(own), now))

    def merge_message(self, gossip: Gossip) -> None:
        """Merge a bounded or full-state message."""
        sender = gossip.sender
        roster = self.roster
        if sender.daemon_id == roster.local_member.daemon_id:
            return
        now = self._pause_detector.arrival_time(now_s())
        is_joining = not roster.live_ids()
        roster.merge_own_report(sender, now)
        for report in gossip.members:
            roster.merge_report(report, now, is_broadcast=not is_joining)
        roster.vitals.merge_samples(gossip.vitals, now)
        roster.vitals.merge_ages(gossip.ages, now)
        for mark in gossip.leaving:
            self.mark(mark)
        for limit in gossip.limits:
            self._hooks.on_limit(limit)
        if gossip.evacuations:
            self._hooks.on_evacuations(sender.daemon_id, gossip.evacuations)
        if gossip.parts:
            self._hooks.on_parts(sender.daemon_id, gossip.parts)
        own_id = roster.local_member.daemon_id
        self.demand.add(
            (item for item in gossip.demand if item.daemon_id != own_id), now
        )
        self._compare_views(gossip)
        if is_newer_config(self._hooks.config(), gossip.config):
            self._hooks.on_config(sender.peer_address, gossip.config)

    def _compare_views(self, gossip: Gossip) -> None:
        """Record a peer whose view differs while no broadcast is pending."""
        if gossip.view_digest == self.roster.view_digest():
            self._differing_peer_address = ""
        elif not self.roster.broadcasts:
            self._differing_peer_address = gossip.sender.peer_address

    def take_differing_peer(self) -> str:
        """Return and clear the address of the differing peer, "" if none."""
        address, self._differing_peer_address = (
            self._differing_peer_address,
            "",
        )
        return address

"""Test how the roster merges single reports about members."""

from random import Random

import anyio
import trio
from berylcart.coordination.membership.gossip import (
    LARGE_QUEUE_MEMBERS_FACTOR,
    Gossiper,
)
from berylcart.coordination.membership.hooks import MembershipHooks
from berylcart.coordination.membership.probe import PauseDetector
from berylcart.coordination.membership.roster import Roster
from berylcart.coordination.membership.settings import DEFAULT_SETTINGS
from berylcart.coordination.membership.vitals import VitalsTable
from berylcart.state.member_table import Member, MemberState, member_digest
from berylcart.state.peer_messages import HeartbeatSummary, MemberReport
from trio.testing import MockClock

ME = Member("d0", 1, "a0", "h0", "p")
OTHER = Member("d1", 1, "a1", "h1", "p")
DEAD = OTHER._replace(state=MemberState.DEAD)
SUSPECT = OTHER._replace(state=MemberState.SUSPECT)
OLD_REPORT_AGE_MS = 60_000
SUSPICION_TIMEOUT_S = 4.0
NOW = 1000.0


def roster_of(*members):
    """Return a roster that has just merged reports of some members."""
    roster = Roster(ME, DEFAULT_SETTINGS, lambda member: None)
    for member in members:
        roster.merge_own_report(member, NOW)
    return roster


def state_of(roster, member=OTHER):
    return roster.get(member.daemon_id).state


def test_death_report_on_a_recently_heard_member_is_disputed():
    roster = roster_of(OTHER)
    roster.merge_report(MemberReport(DEAD, OLD_REPORT_AGE_MS), NOW + 1)
    assert state_of(roster) is MemberState.ALIVE
    reports = roster.reports_to_refute("d1", NOW + 1)
    assert [report.member for report in reports] == [DEAD]


def test_dispute_ends_with_a_refutation():
    roster = roster_of(OTHER)
    roster.merge_report(MemberReport(DEAD, OLD_REPORT_AGE_MS), NOW + 1)
    roster.merge_own_report(OTHER, NOW + 2)
    assert roster.reports_to_refute("d1", NOW + 2)
    roster.merge_own_report(OTHER._replace(incarnation=2), NOW + 3)
    assert roster.reports_to_refute("d1", NOW + 3) == []


def test_death_report_on_a_silent_member_starts_suspicion():
    roster = roster_of(OTHER)
    later = NOW + 2 * SUSPICION_TIMEOUT_S
    for _ in range(2):
        roster.merge_report(MemberReport(DEAD, OLD_REPORT_AGE_MS), later)
        assert state_of(roster) is MemberState.SUSPECT
    roster.expire(later + SUSPICION_TIMEOUT_S - 0.1)
    assert state_of(roster) is MemberState.SUSPECT
    roster.expire(later + SUSPICION_TIMEOUT_S)
    assert state_of(roster) is MemberState.DEAD


def test_suspicion_is_reported_to_the_suspect():
    roster = roster_of(OTHER)
    roster.suspect("d1", NOW)
    reports = roster.reports_to_refute("d1", NOW)
    assert [report.member for report in reports] == [SUSPECT]


def test_pause_extends_suspicion_timeouts():
    roster = roster_of(OTHER)
    roster.suspect("d1", NOW)
    roster.postpone_suspicions(50.0)
    roster.expire(NOW + 49)
    assert state_of(roster) is MemberState.SUSPECT
    roster.expire(NOW + 50 + SUSPICION_TIMEOUT_S)
    assert state_of(roster) is MemberState.DEAD


def test_signs_of_life_postpone_death_by_one_timeout():
    roster = roster_of(OTHER)
    roster.suspect("d1", NOW)
    sign = HeartbeatSummary(member_digest("d1"), 0)
    roster.vitals.merge_samples([sign], NOW + SUSPICION_TIMEOUT_S - 1)
    roster.expire(NOW + SUSPICION_TIMEOUT_S)
    assert state_of(roster) is MemberState.SUSPECT
    roster.vitals.merge_samples([sign], NOW + 2 * SUSPICION_TIMEOUT_S - 1)
    roster.expire(NOW + 2 * SUSPICION_TIMEOUT_S)
    assert state_of(roster) is MemberState.DEAD


def test_dead_members_are_removed_after_retention():
    roster = roster_of()
    roster.merge_report(MemberReport(DEAD, OLD_REPORT_AGE_MS), NOW)
    assert state_of(roster) is MemberState.DEAD
    roster.expire(NOW + DEFAULT_SETTINGS.dead_retention_ms / 1000 + 1)
    assert roster.get("d1") is None


def test_member_count_is_bounded():
    settings = DEFAULT_SETTINGS._replace(max_members=3)
    roster = Roster(ME, settings, lambda member: None)
    for index in range(9):
        roster.merge_own_report(OTHER._replace(daemon_id=f"d{index + 1}"), NOW)
    assert len(roster.live_ids()) == 3


def test_relayed_ages_never_shrink():
    tables = [VitalsTable(max_age_s=3600), VitalsTable(max_age_s=3600)]
    for table in tables:
        table.record(OTHER, NOW)
    now = NOW
    for turn in range(2000):
        source, target = tables[turn % 2], tables[1 - turn % 2]
        signs = source.sample(["d1"], 9, Random(1), now)
        now += 0.04
        target.merge_samples(signs, now)
    assert tables[0].get("d1").heard_at == NOW


def test_message_is_bounded_with_many_pending_updates():
    async def scenario():
        gossiper = Gossiper(
            ME,
            DEFAULT_SETTINGS,
            MembershipHooks(),
            PauseDetector(0.5),
            Random(1),
        )
        gossiper.roster.merge_own_report(OTHER, anyio.current_time())
        for index in range(2, 400):
            member = OTHER._replace(daemon_id=f"d{index}")
            gossiper.roster.merge_own_report(member, anyio.current_time())
        gossip = gossiper.compose("d1")
        limit = (
            DEFAULT_SETTINGS.members_per_message * LARGE_QUEUE_MEMBERS_FACTOR
        )
        assert LARGE_QUEUE_MEMBERS_FACTOR == 3
        assert len(gossip.members) <= limit
        assert len(gossip.vitals) <= DEFAULT_SETTINGS.vitals_per_message

    trio.run(scenario, clock=MockClock())

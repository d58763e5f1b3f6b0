"""Check how single reports about members are judged."""

from random import Random

import anyio
import trio
from berylcart.coordination.membership.gossip import (
    LARGE_QUEUE_FACTOR,
    Gossiper,
)
from berylcart.coordination.membership.hooks import MembershipHooks
from berylcart.coordination.membership.probe import PauseGuard
from berylcart.coordination.membership.roster import Roster
from berylcart.coordination.membership.settings import DEFAULT_SETTINGS
from berylcart.coordination.membership.vitals import VitalsTable
from berylcart.state.member_table import Member, MemberState, member_digest
from berylcart.state.peer_messages import MemberNews, VitalSign
from trio.testing import MockClock

ME = Member("d0", 1, "a0", "h0", "p")
OTHER = Member("d1", 1, "a1", "h1", "p")
DEAD = OTHER._replace(state=MemberState.DEAD)
SUSPECT = OTHER._replace(state=MemberState.SUSPECT)
LONG_MS = 60_000
SUSPICION_S = 4.0
NOW = 1000.0


def roster_with(*members):
    """Make a roster that has just heard some members."""
    roster = Roster(ME, DEFAULT_SETTINGS, lambda member: None)
    for member in members:
        roster.hear(member, NOW)
    return roster


def state_of(roster, member=OTHER):
    return roster.get(member.daemon_id).state


def test_reported_death_of_one_heard_lately_is_not_believed():
    roster = roster_with(OTHER)
    roster.absorb(MemberNews(DEAD, LONG_MS), NOW + 1)
    assert state_of(roster) is MemberState.ALIVE
    charges = roster.charges_against("d1", NOW + 1)
    assert [news.member for news in charges] == [DEAD]


def test_dispute_ends_when_the_member_refutes():
    roster = roster_with(OTHER)
    roster.absorb(MemberNews(DEAD, LONG_MS), NOW + 1)
    roster.hear(OTHER, NOW + 2)
    assert roster.charges_against("d1", NOW + 2)
    roster.hear(OTHER._replace(incarnation=2), NOW + 3)
    assert roster.charges_against("d1", NOW + 3) == []


def test_reported_death_of_a_silent_member_starts_a_suspicion():
    roster = roster_with(OTHER)
    later = NOW + 2 * SUSPICION_S
    for _ in range(2):
        roster.absorb(MemberNews(DEAD, LONG_MS), later)
        assert state_of(roster) is MemberState.SUSPECT
    roster.expire(later + SUSPICION_S - 0.1)
    assert state_of(roster) is MemberState.SUSPECT
    roster.expire(later + SUSPICION_S)
    assert state_of(roster) is MemberState.DEAD


def test_suspect_is_told_of_the_suspicion():
    roster = roster_with(OTHER)
    roster.suspect("d1", NOW)
    charges = roster.charges_against("d1", NOW)
    assert [news.member for news in charges] == [SUSPECT]


def test_pause_gives_suspects_the_time_back():
    roster = roster_with(OTHER)
    roster.suspect("d1", NOW)
    roster.postpone_suspicions(50.0)
    roster.expire(NOW + 49)
    assert state_of(roster) is MemberState.SUSPECT
    roster.expire(NOW + 50 + SUSPICION_S)
    assert state_of(roster) is MemberState.DEAD


def test_signs_of_life_postpone_a_death_once():
    roster = roster_with(OTHER)
    roster.suspect("d1", NOW)
    sign = VitalSign(member_digest("d1"), 0)
    roster.vitals.absorb([sign], NOW + SUSPICION_S - 1)
    roster.expire(NOW + SUSPICION_S)
    assert state_of(roster) is MemberState.SUSPECT
    roster.vitals.absorb([sign], NOW + 2 * SUSPICION_S - 1)
    roster.expire(NOW + 2 * SUSPICION_S)
    assert state_of(roster) is MemberState.DEAD


def test_the_dead_are_forgotten_in_the_end():
    roster = roster_with()
    roster.absorb(MemberNews(DEAD, LONG_MS), NOW)
    assert state_of(roster) is MemberState.DEAD
    roster.expire(NOW + DEFAULT_SETTINGS.dead_keep_ms / 1000 + 1)
    assert roster.get("d1") is None


def test_members_are_bounded():
    settings = DEFAULT_SETTINGS._replace(max_members=3)
    roster = Roster(ME, settings, lambda member: None)
    for index in range(9):
        roster.hear(OTHER._replace(daemon_id=f"d{index + 1}"), NOW)
    assert len(roster.live_ids()) == 3


def test_ages_never_shrink_under_way():
    tables = [VitalsTable(max_age_s=3600), VitalsTable(max_age_s=3600)]
    for table in tables:
        table.note(OTHER, NOW)
    now = NOW
    for turn in range(2000):
        source, target = tables[turn % 2], tables[1 - turn % 2]
        signs = source.sample(["d1"], 9, Random(1), now)
        now += 0.04
        target.absorb(signs, now)
    assert tables[0].of("d1").heard_at == NOW


def test_message_is_bounded_however_many_rumours_wait():
    async def scenario():
        gossiper = Gossiper(
            ME, DEFAULT_SETTINGS, MembershipHooks(), PauseGuard(0.5), Random(1)
        )
        gossiper.roster.hear(OTHER, anyio.current_time())
        for index in range(2, 400):
            member = OTHER._replace(daemon_id=f"d{index}")
            gossiper.roster.hear(member, anyio.current_time())
        gossip = gossiper.compose("d1")
        limit = DEFAULT_SETTINGS.members_per_message * LARGE_QUEUE_FACTOR
        assert LARGE_QUEUE_FACTOR == 3
        assert len(gossip.members) <= limit
        assert len(gossip.vitals) <= DEFAULT_SETTINGS.vitals_per_message

    trio.run(scenario, clock=MockClock())

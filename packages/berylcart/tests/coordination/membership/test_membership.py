"""Test membership under failures of daemons and of the network."""

import anyio
import pytest
from berylcart.coordination.membership.settings import (
    DEFAULT_SETTINGS,
    suspicion_timeout_ms,
)
from berylcart.state.member_table import MemberState
from berylcart.state.peer_messages import Demand, EvacuationReport, Ping

SEEDS = (1, 2, 3)
SUSPICION_TIMEOUT_S = suspicion_timeout_ms(7, DEFAULT_SETTINGS) / 1000
CONFIG_TARGET_S = 8
LEAVING_TARGET_S = 3
EVACUATION_TARGET_S = 5
DETECTION_TARGET_S = 15
FORMATION_TARGET_S = 15
RECOVERY_TARGET_S = 60


@pytest.mark.parametrize("seed", SEEDS)
def test_daemons_join_and_agree(run_fleet, seed):
    async def scenario(fleet):
        nodes = await fleet.start_all(7)
        joined = fleet.add(7)
        await fleet.until(lambda: fleet.views_agree([*nodes, joined]), 5)

    run_fleet(scenario, seed)


@pytest.mark.parametrize("seed", SEEDS)
def test_daemons_started_together_agree(run_fleet, seed):
    async def scenario(fleet):
        nodes = [fleet.add(index) for index in range(40)]
        await fleet.until(lambda: fleet.views_agree(nodes), FORMATION_TARGET_S)

    run_fleet(scenario, seed)


@pytest.mark.parametrize("seed", SEEDS)
def test_killed_daemon_is_declared_dead_by_all(run_fleet, seed):
    async def scenario(fleet):
        nodes = await fleet.start_all(7)
        nodes[3].kill()
        rest = [node for node in nodes if node is not nodes[3]]
        await fleet.until(lambda: fleet.views_agree(rest), DETECTION_TARGET_S)
        assert fleet.false_deaths({node.name for node in rest}) == 0

    run_fleet(scenario, seed)


def test_network_delay_does_not_keep_dead_members_alive(run_fleet):
    async def scenario(fleet):
        fleet.network.delay_s = 0.1
        nodes = await fleet.start_all(25)
        nodes[3].kill()
        rest = [node for node in nodes if node is not nodes[3]]
        await fleet.until(
            lambda: fleet.views_agree(rest), 2 * DETECTION_TARGET_S
        )

    run_fleet(scenario)


@pytest.mark.parametrize("seed", SEEDS)
def test_message_loss_causes_no_false_death(run_fleet, seed):
    async def scenario(fleet):
        nodes = await fleet.start_all(12)
        fleet.network.loss = 0.1
        await anyio.sleep(120)
        assert fleet.false_deaths({node.name for node in nodes}) == 0
        fleet.network.loss = 0.0
        await fleet.until(lambda: fleet.views_agree(nodes), RECOVERY_TARGET_S)

    run_fleet(scenario, seed)


def test_lost_targets_do_not_prolong_probe_timeouts(run_fleet):
    async def scenario(fleet):
        nodes = await fleet.start_all(7)
        for node in nodes[4:]:
            node.kill()
        for _ in range(50):
            factors = [node.membership._health.factor for node in nodes[:4]]
            assert factors == [1, 1, 1, 1]
            await anyio.sleep(0.1)

    run_fleet(scenario)


def test_false_suspicion_is_refuted(run_fleet):
    async def scenario(fleet):
        nodes = await fleet.start_all(7)
        nodes[5].freeze()
        await fleet.until(
            lambda: nodes[0].state_of("d5") is MemberState.SUSPECT, 10
        )
        nodes[5].start()
        await fleet.until(
            lambda: all(
                node.state_of("d5") is MemberState.ALIVE for node in nodes
            ),
            SUSPICION_TIMEOUT_S,
        )
        assert nodes[5].membership.local_member.incarnation > 1
        assert fleet.false_deaths({"d5"}) == 0

    run_fleet(scenario)


def test_resumed_daemon_suspects_nobody(run_fleet):
    async def scenario(fleet):
        nodes = await fleet.start_all(7)
        nodes[5].freeze()
        await anyio.sleep(120)
        assert "d5" not in nodes[0].live()
        nodes[5].hooks.states.clear()
        nodes[5].start()
        await fleet.until(lambda: fleet.views_agree(nodes), RECOVERY_TARGET_S)
        assert nodes[5].hooks.states == []

    run_fleet(scenario)


def test_frozen_daemon_counts_nobody_as_heard(run_fleet):
    async def scenario(fleet):
        nodes = await fleet.start_all(7)
        names = [node.name for node in nodes]
        await anyio.sleep(10)
        assert nodes[5].membership.count_heard(names, 5000).heard == 7
        nodes[5].freeze()
        await anyio.sleep(60)
        count = nodes[5].membership.count_heard(names, 5000)
        assert (count.heard, count.is_majority) == (1, False)

    run_fleet(scenario)


def test_messages_from_before_a_pause_do_not_count_as_heard(run_fleet):
    async def scenario(fleet):
        nodes = await fleet.start_all(7)
        names = [node.name for node in nodes]
        frozen = nodes[5]
        old = [n.membership._gossiper.compose("d5") for n in nodes[:5]]
        frozen.freeze()
        await anyio.sleep(60)
        for gossip in old:
            await frozen.membership.on_ping(Ping("d5", gossip))
        assert frozen.membership.count_heard(names, 10_000).heard == 1

    run_fleet(scenario)


def test_leave_notice_reaches_all(run_fleet):
    async def scenario(fleet):
        nodes = await fleet.start_all(12)
        await nodes[4].membership.leave()
        nodes[4].kill()
        rest = [node for node in nodes if node is not nodes[4]]
        await fleet.until(lambda: fleet.views_agree(rest), 3)
        states = {node.state_of("d4") for node in rest}
        assert states == {MemberState.LEFT}

    run_fleet(scenario)


def test_draining_daemon_is_not_an_entry_but_stays_a_member(run_fleet):
    async def scenario(fleet):
        nodes = await fleet.start_all(7)
        nodes[4].membership.announce(takes_callers=False)

        def is_listed(node):
            places = ("lahore-1", "lahore-2", "lahore-3")
            listed = node.membership.entries_for(places, 10).entries
            return "d4" in {entry.daemon_id for entry in listed}

        assert not is_listed(nodes[4])
        await fleet.until(lambda: not any(map(is_listed, nodes)), 3)
        assert fleet.views_agree(nodes)

    run_fleet(scenario)


def test_daemon_returns_with_the_same_incarnation(run_fleet):
    async def scenario(fleet):
        nodes = await fleet.start_all(7)
        nodes[3].kill()
        await anyio.sleep(2)
        replacement = fleet.add(3, incarnation=1, address="a33")
        current = [*nodes[:3], replacement, *nodes[4:]]
        await fleet.until(
            lambda: fleet.views_agree(current), DETECTION_TARGET_S
        )
        await fleet.until(
            lambda: all(
                member.peer_address == "a33"
                for node in current
                for member in node.membership.members()
                if member.daemon_id == "d3"
            ),
            DETECTION_TARGET_S,
        )

    run_fleet(scenario)


def test_outdated_report_does_not_revive_a_dead_member(run_fleet):
    async def scenario(fleet):
        nodes = await fleet.start_all(7)
        nodes[6].freeze()
        await anyio.sleep(30)
        nodes[3].kill()
        await anyio.sleep(30)
        nodes[6].start()
        rest = [node for node in nodes if node is not nodes[3]]
        await fleet.until(lambda: fleet.views_agree(rest), RECOVERY_TARGET_S)
        await anyio.sleep(60)
        assert all("d3" not in node.live() for node in rest)

    run_fleet(scenario)


def test_leaving_marks_reach_all_and_persist(run_fleet):
    async def scenario(fleet):
        nodes = await fleet.start_all(7)
        nodes[1].membership.mark_leaving("vm-9", 4)
        await fleet.until(
            lambda: all(n.membership.is_leaving("vm-9", 4) for n in nodes), 3
        )
        nodes[2].membership.mark_leaving("vm-9", 2)
        late = fleet.add(7)
        await anyio.sleep(5)
        for node in [*nodes, late]:
            assert node.membership.is_leaving("vm-9", 4)
            assert not node.membership.is_leaving("vm-9", 5)

    run_fleet(scenario)


def test_leaving_mark_reaches_forty_daemons_in_time(run_fleet):
    async def scenario(fleet):
        nodes = await fleet.start_all(40)
        await anyio.sleep(20)
        nodes[1].membership.mark_leaving("vm-9", 4)
        await fleet.until(
            lambda: all(n.membership.is_leaving("vm-9", 4) for n in nodes),
            LEAVING_TARGET_S,
        )

    run_fleet(scenario)


def test_updates_do_not_wait_for_the_next_probe(run_fleet):
    async def scenario(fleet):
        nodes = await fleet.start_all(7)
        nodes[1].membership.mark_leaving("vm-9", 4)
        await fleet.until(
            lambda: all(n.membership.is_leaving("vm-9", 4) for n in nodes),
            LEAVING_TARGET_S,
        )

    settings = DEFAULT_SETTINGS._replace(probe_period_ms=15_000)
    run_fleet(scenario, settings=settings)


def test_daemon_that_missed_a_join_reconciles(run_fleet):
    async def scenario(fleet):
        nodes = await fleet.start_all(40)
        await anyio.sleep(20)
        rest = [node for node in nodes if node is not nodes[9]]
        fleet.network.cut_both([nodes[9]], rest)
        joined = fleet.add(40)
        fleet.network.cut_both([nodes[9]], [joined])
        await fleet.until(
            lambda: all("d40" in node.live() for node in rest), 5
        )
        await anyio.sleep(2)
        assert "d40" not in nodes[9].live()
        fleet.network.heal()
        await fleet.until(
            lambda: fleet.views_agree([*nodes, joined]), CONFIG_TARGET_S
        )

    run_fleet(scenario)


def test_configuration_version_reaches_all(run_fleet):
    async def scenario(fleet):
        nodes = await fleet.start_all(30)
        await anyio.sleep(10)
        nodes[11].hooks.version = 5
        await fleet.until(
            lambda: all(node.hooks.version == 5 for node in nodes),
            CONFIG_TARGET_S,
        )

    run_fleet(scenario)


def test_load_and_demand_reach_other_daemons(run_fleet):
    async def scenario(fleet):
        nodes = await fleet.start_all(7)
        nodes[0].hooks.current_load = 0.9
        nodes[0].hooks.in_flight = (Demand("d0", "w1", 40),)
        nodes[3].hooks.in_flight = (Demand("d3", "w1", 2),)
        await anyio.sleep(10)
        entries = nodes[5].membership.entries_for(["lahore-1"], 3).entries
        assert entries[-1].daemon_id == "d0"
        assert nodes[5].membership.demand_for("w1") == 42
        nodes[0].hooks.in_flight = nodes[3].hooks.in_flight = ()
        await anyio.sleep(25)
        assert nodes[5].membership.demand_for("w1") == 0

    run_fleet(scenario)


@pytest.mark.parametrize("seed", SEEDS)
def test_isolated_place_rejoins(run_fleet, seed):
    async def scenario(fleet):
        nodes = await fleet.start_all(9)
        lost = [node for node in nodes if node.place == "lahore-2"]
        rest = [node for node in nodes if node.place != "lahore-2"]
        names = [node.name for node in nodes]
        fleet.network.cut_both(lost, rest)
        cut_at = anyio.current_time()
        await fleet.until(
            lambda: fleet.views_agree(rest) and fleet.views_agree(lost),
            DETECTION_TARGET_S * 2,
        )
        await anyio.sleep_until(cut_at + 10.1)
        assert rest[0].membership.count_heard(names, 10_000).is_majority
        assert not lost[0].membership.count_heard(names, 10_000).is_majority
        fleet.network.heal()
        await fleet.until(lambda: fleet.views_agree(nodes), RECOVERY_TARGET_S)

    run_fleet(scenario, seed)


@pytest.mark.parametrize("seed", [*SEEDS, 11])
def test_partitioned_halves_rejoin_without_false_death(run_fleet, seed):
    async def scenario(fleet):
        nodes = await fleet.start_all(12)
        fleet.seeds = []
        left, right = nodes[:6], nodes[6:]
        fleet.network.cut_both(left, right)
        await fleet.until(
            lambda: fleet.views_agree(left) and fleet.views_agree(right),
            DETECTION_TARGET_S * 2,
        )
        for node in nodes:
            node.hooks.states.clear()
        fleet.network.heal()
        await fleet.until(lambda: fleet.views_agree(nodes), RECOVERY_TARGET_S)
        await anyio.sleep(30)
        assert fleet.views_agree(nodes)
        assert fleet.false_deaths({node.name for node in nodes}) == 0

    run_fleet(scenario, seed)


def test_halves_rejoin_after_dead_members_were_removed(run_fleet):
    async def scenario(fleet):
        nodes = await fleet.start_all(8)
        left, right = nodes[:4], nodes[4:]
        fleet.network.cut_both(left, right)
        await anyio.sleep(300)
        assert nodes[0].state_of("d7") is None
        fleet.network.heal()
        await fleet.until(lambda: fleet.views_agree(nodes), RECOVERY_TARGET_S)

    run_fleet(
        scenario, settings=DEFAULT_SETTINGS._replace(dead_retention_ms=60000)
    )


@pytest.mark.parametrize("seed", SEEDS)
def test_indirect_probes_bypass_a_one_way_cut(run_fleet, seed):
    async def scenario(fleet):
        nodes = await fleet.start_all(9)
        fleet.network.cut(nodes[:1], nodes[4:5])
        for node in nodes:
            node.hooks.states.clear()
        await anyio.sleep(120)
        assert fleet.views_agree(nodes)
        assert [node.hooks.states for node in nodes] == [[]] * len(nodes)

    run_fleet(scenario, seed)


def test_daemon_that_receives_but_cannot_send_is_detected(run_fleet):
    async def scenario(fleet):
        nodes = await fleet.start_all(7)
        rest = [node for node in nodes if node is not nodes[4]]
        fleet.network.cut(nodes[4:5], rest)
        await fleet.until(lambda: fleet.views_agree(rest), DETECTION_TARGET_S)
        names = [node.name for node in nodes]
        await anyio.sleep(20)
        fleet.network.heal()
        await fleet.until(lambda: fleet.views_agree(nodes), RECOVERY_TARGET_S)
        assert nodes[4].membership.count_heard(names, 10_000).is_majority

    run_fleet(scenario)


def test_forty_daemons_replaced_in_a_minute(run_fleet):
    async def scenario(fleet):
        fleet.seeds = [f"a{index}" for index in range(48)]
        nodes = await fleet.start_all(48)
        for index in range(40):
            nodes[index].kill()
            fleet.seeds[index] = f"a{100 + index}"
            fleet.add(100 + index)
            await anyio.sleep(1.5)
        current = nodes[40:] + fleet.nodes[48:]
        await fleet.until(
            lambda: fleet.views_agree(current), RECOVERY_TARGET_S
        )
        assert fleet.false_deaths({node.name for node in current}) == 0

    run_fleet(scenario)


def test_reply_from_a_reused_address_is_not_accepted(run_fleet):
    async def scenario(fleet):
        nodes = await fleet.start_all(7)
        nodes[3].kill()
        replacement = fleet.add(9, address="a3")
        rest = [node for node in nodes if node is not nodes[3]]
        await fleet.until(
            lambda: fleet.views_agree([*rest, replacement]), DETECTION_TARGET_S
        )

    run_fleet(scenario)


def test_message_size_is_bounded(run_fleet):
    async def scenario(fleet):
        nodes = await fleet.start_all(40)
        for node in nodes[20:]:
            node.kill()
        await fleet.until(
            lambda: fleet.views_agree(nodes[:20]), RECOVERY_TARGET_S
        )
        limit = DEFAULT_SETTINGS.members_per_message * 3
        assert fleet.network.largest_message <= limit + 2

    run_fleet(scenario)


def read_evacuation(node, is_active, offset):
    """Make a node learn of an evacuation record from the store."""
    report = EvacuationReport("lahore-1", is_active, offset)
    node.hooks.evacuated.apply_store_reports(
        [report], offset + 1, is_all=False
    )


@pytest.mark.parametrize("size", [7, 65, 300])
def test_evacuation_reaches_daemons_without_store_access(run_fleet, size):
    """Guards against gossip that is slower than evacuate_ms."""

    async def scenario(fleet):
        nodes = await fleet.start_with_full_views(size)
        for is_active in (True, False):
            expected = {"lahore-1"} if is_active else set()

            def evacuations_agree(expected=expected):
                return all(
                    node.hooks.evacuated.places == expected for node in nodes
                )

            read_evacuation(nodes[-1], is_active, 4 + (not is_active))
            await fleet.until(evacuations_agree, EVACUATION_TARGET_S)

    run_fleet(scenario)


def test_evacuation_reaches_new_and_isolated_daemons(run_fleet):
    """Guards against peers that send a change only once."""

    async def scenario(fleet):
        nodes = await fleet.start_all(7)
        fleet.network.cut_both(nodes[:1], nodes[1:])
        read_evacuation(nodes[3], True, 4)
        await anyio.sleep(60)
        assert nodes[0].hooks.evacuated.places == set()
        new = fleet.add(7)
        fleet.network.cut_both(nodes[:1], [new])
        await fleet.until(
            lambda: new.hooks.evacuated.places, EVACUATION_TARGET_S
        )
        read_evacuation(nodes[3], False, 6)
        nodes[0].hooks.evacuated.apply_peer_reports(
            "old", [EvacuationReport("lahore-1", True, 4)]
        )
        await anyio.sleep(60)
        fleet.network.heal()
        await fleet.until(
            lambda: (
                not any(node.hooks.evacuated.places for node in fleet.nodes)
            ),
            RECOVERY_TARGET_S,
        )

    run_fleet(scenario)

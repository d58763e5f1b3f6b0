"""Test that entry lists name only the daemons that are in contact."""

from random import Random

import anyio
import pytest

CONTACT_S = 3.0
SAMPLE_S = 0.1
# Lists to check at each sample.
MAX_LISTS = 20
# A call makes two messages, so one call in five fails.
LOSS = 0.1
SEEDS = (1, 2, 3)
SIZES = [(7, 1), (7, 2), (7, 3), (300, 1)]


def named(node):
    """Return the ids of the daemons that a node names to callers."""
    places = [member.place for member in node.membership.members()]
    entries = node.membership.entries_for(places, len(places)).entries
    return {entry.daemon_id for entry in entries}


async def watch(nodes, for_s, off_since, share=0.9):
    """Check the entry lists of running nodes for some time.

    off_since maps the names of nodes that were lost to the time of the loss.
    """
    rng = Random(len(nodes))
    up = [node for node in nodes if node.name not in off_since]
    running = {node.name for node in up}
    end_s = anyio.current_time() + for_s
    while anyio.current_time() < end_s:
        now = anyio.current_time()
        long_off = {n for n, at in off_since.items() if now - at > CONTACT_S}
        for node in rng.sample(up, min(MAX_LISTS, len(up))):
            names = named(node)
            assert not names & long_off
            assert len(names & running) >= share * len(running)
        await anyio.sleep(SAMPLE_S)


@pytest.mark.parametrize(("size", "seed"), SIZES)
def test_half_lost_at_once_are_not_named_beyond_contact(run_fleet, size, seed):
    async def scenario(fleet):
        nodes = await fleet.start_with_full_views(size)
        await anyio.sleep(CONTACT_S)
        lost = Random(seed).sample(nodes, size // 2)
        for node in lost:
            node.kill()
        off_at = anyio.current_time()
        await watch(nodes, 2 * CONTACT_S, {n.name: off_at for n in lost})

    run_fleet(scenario, seed)


@pytest.mark.parametrize("seed", SEEDS)
def test_daemons_lost_in_turn_are_not_named_beyond_contact(run_fleet, seed):
    async def scenario(fleet):
        nodes = await fleet.start_with_full_views(7)
        off_since = {}
        for node in nodes[2:6]:
            await watch(nodes, CONTACT_S, off_since)
            node.kill()
            off_since[node.name] = anyio.current_time()
        await watch(nodes, 3 * CONTACT_S, off_since)

    run_fleet(scenario, seed)


@pytest.mark.parametrize("seed", SEEDS)
def test_isolated_daemon_names_only_itself(run_fleet, seed):
    async def scenario(fleet):
        nodes = await fleet.start_with_full_views(7)
        await anyio.sleep(CONTACT_S)
        fleet.network.cut_both([nodes[0]], nodes[1:])
        await anyio.sleep(CONTACT_S)
        assert named(nodes[0]) == {nodes[0].name}
        for node in nodes[1:]:
            assert nodes[0].name not in named(node)

    run_fleet(scenario, seed)


@pytest.mark.parametrize("seed", SEEDS)
def test_daemons_that_answer_again_are_named_again(run_fleet, seed):
    async def scenario(fleet):
        nodes = await fleet.start_with_full_views(7)
        await anyio.sleep(CONTACT_S)
        for node in nodes[:3]:
            node.freeze()
        await anyio.sleep(4 * CONTACT_S)
        for node in nodes[:3]:
            node.start()
        names = {node.name for node in nodes}
        await fleet.until(
            lambda: all(named(node) == names for node in nodes), CONTACT_S
        )

    run_fleet(scenario, seed)


@pytest.mark.parametrize("seed", SEEDS)
def test_daemon_that_paused_goes_on_naming_the_others(run_fleet, seed):
    async def scenario(fleet):
        nodes = await fleet.start_with_full_views(7)
        await anyio.sleep(CONTACT_S)
        nodes[0].freeze()
        nodes[6].kill()
        off_since = {nodes[6].name: anyio.current_time()}
        await anyio.sleep(2 * CONTACT_S)
        nodes[0].start()
        end_s = anyio.current_time() + CONTACT_S
        while anyio.current_time() < end_s:
            assert len(named(nodes[0])) >= len(nodes) - 1
            await anyio.sleep(SAMPLE_S)
        await watch(nodes, CONTACT_S, off_since)

    run_fleet(scenario, seed)


@pytest.mark.parametrize(("size", "seed"), SIZES)
def test_lossy_links_do_not_shrink_entry_lists(run_fleet, size, seed):
    async def scenario(fleet):
        nodes = await fleet.start_with_full_views(size)
        fleet.network.loss = LOSS
        await watch(nodes, 2 * CONTACT_S, {})

    run_fleet(scenario, seed)

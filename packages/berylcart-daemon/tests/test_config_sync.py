"""Test configuration pulls from peers and the lease that depends on them."""

from contextlib import asynccontextmanager

import anyio
import pytest
import trio
from berylcart.coordination.config.follower import ConfigFollower
from berylcart.coordination.policy.vm_directory import VmDirectory
from berylcart.state.errors import BerylcartError, Code
from berylcart.state.member_table import Member
from berylcart.state.peer_messages import ConfigFreshness, ConfigQuery
from berylcart.state.records import CONFIG_STREAM, Publication
from berylcart.state.vm import Vm, VmListSnapshot, VmRole, VmState
from berylcart.transport.memory_log import MemoryLog
from berylcart_daemon.config_sync import ConfigSync
from trio.testing import MockClock

LEASE_S = 10.0
TEXT = """
format = 1
[place.p1]
region = "r"
[service.s]
kind = "plain"
places = ["p1"]
[workspace.w]
places = ["p1"]
"""


def run(scenario):
    """Run a scenario on a mock clock that skips every sleep."""
    trio.run(scenario, clock=MockClock(autojump_threshold=0))


class FakeVmList:
    """Give an empty VM list."""

    async def fetch(self):
        """Give a page without VMs."""
        return VmListSnapshot(1, ())


class Node:
    """Hold the configuration parts of one daemon."""

    def __init__(self, log, peers):
        self.configs = ConfigFollower(log, lease_s=LEASE_S, seed=1)
        self.directory = VmDirectory(FakeVmList())
        self.sync = ConfigSync(self.configs, self.directory, peers)

    def list_daemons(self, *names):
        """Apply a VM list that contains the named daemons."""
        vms = tuple(
            Vm(
                name,
                1,
                "127.0.0.1:1",
                "p1",
                VmRole.ENTRY,
                "",
                VmState.LIVE,
                name,
            )
            for name in names
        )
        self.directory.apply(VmListSnapshot(2, vms))


class FakePeers:
    """Answer pulls from one other node unless it is disconnected."""

    def __init__(self):
        self.node = None
        self.is_disconnected = False
        self.pulls = 0

    async def pull_config(self, address, query, *, timeout_ms):
        """Give the offer of the node."""
        self.pulls += 1
        if self.is_disconnected:
            raise BerylcartError(Code.PEER_UNAVAILABLE, "disconnected")
        return self.node.sync.offer_for(query)


class FakeMembership:
    """Report members by the offset they have and when they were heard."""

    def __init__(self, heard):
        self.heard = heard
        self.local_member = Member("d1", 1, "127.0.0.1:1", "127.0.0.1:2", "p1")

    def live_members(self):
        """List this daemon and the others."""
        others = [
            self.local_member._replace(daemon_id=name, config_offset=offset)
            for name, (offset, _) in self.heard.items()
        ]
        return [self.local_member, *others]

    def heard_at(self, daemon_id):
        """Give the time at which a member was last heard."""
        return self.heard[daemon_id][1]


async def publish(log, publish_id):
    await log.append(CONFIG_STREAM, [Publication(publish_id, None, 1, TEXT)])


async def make_pair():
    """Make a node that reads the log and one without access to it."""
    log, unavailable_log, peers = MemoryLog(), MemoryLog(), FakePeers()
    unavailable_log.is_down = True
    reader, follower = Node(log, FakePeers()), Node(unavailable_log, peers)
    peers.node = reader
    await publish(log, "a")
    return log, peers, reader, follower


def test_daemon_without_log_access_follows_a_peer():
    async def scenario():
        log, _, reader, follower = await make_pair()
        async with anyio.create_task_group() as tasks:
            for node in (reader, follower):
                tasks.start_soon(node.configs.run)
                tasks.start_soon(node.sync.run_pulls)
            await reader.configs.wait_for(1)
            assert not follower.configs.is_ready
            follower.sync.on_config("a", reader.sync.freshness())
            await follower.configs.wait_for(1)
            assert follower.configs.is_current
            await publish(log, "b")
            await reader.configs.wait_for(2)
            follower.sync.on_config("a", reader.sync.freshness())
            await follower.configs.wait_for(2)
            tasks.cancel_scope.cancel()

    run(scenario)


def test_checkpoint_of_an_outdated_peer_is_not_adopted():
    async def scenario():
        log, _, reader, follower = await make_pair()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(reader.configs.run)
            await reader.configs.wait_for(1)
            old = reader.sync.offer_for(ConfigQuery(0, -1)).checkpoint
            await publish(log, "b")
            await reader.configs.wait_for(2)
            assert not reader.configs.offer(old)
            assert reader.configs.current.version == 2
            query = ConfigQuery(2, reader.configs.current.as_of_offset)
            assert reader.sync.offer_for(query).checkpoint is None
            tasks.cancel_scope.cancel()
        del follower

    run(scenario)


@asynccontextmanager
async def disconnected_follower(membership=None):
    """Give a daemon that lost its peer for longer than its lease."""
    _, peers, reader, follower = await make_pair()
    follower.list_daemons("d1", "d2", "d3")
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(reader.configs.run)
        if membership is None:
            tasks.start_soon(follower.sync.run_pulls)
        else:
            tasks.start_soon(follower.sync.run, membership)
        await reader.configs.wait_for(1)
        follower.sync.on_config("a", reader.sync.freshness())
        await follower.configs.wait_for(1)
        peers.is_disconnected = True
        assert follower.configs.is_current
        await anyio.sleep(LEASE_S + 2)
        yield follower, peers
        tasks.cancel_scope.cancel()


def test_disconnected_daemon_refuses_work_after_its_lease():
    async def scenario():
        async with disconnected_follower(FakeMembership({})) as (follower, _):
            with pytest.raises(BerylcartError) as caught:
                follower.configs.check_current()
            assert caught.value.code is Code.CONFIG_STALE

    run(scenario)


@pytest.mark.parametrize(("offset", "is_current"), [(1, True), (5, False)])
def test_majority_renews_the_lease_unless_it_knows_newer_records(
    offset, is_current
):
    async def scenario():
        async with disconnected_follower() as (follower, _):
            now_s = anyio.current_time()
            heard = {"d2": (offset, now_s), "d3": (offset, now_s)}
            follower.sync.renew(FakeMembership(heard))
            assert follower.configs.is_current is is_current

    run(scenario)


def test_gossip_alone_does_not_renew_the_lease():
    async def scenario():
        async with disconnected_follower() as (follower, peers):
            follower.sync.on_config("a", ConfigFreshness(1, 1, 0))
            await anyio.sleep(1)
            assert peers.pulls > 1
            assert not follower.configs.is_current

    run(scenario)

"""Run memberships over a simulated network on a mock clock."""

from random import Random

import anyio
import pytest
import trio
from berylcart.coordination.gateway.evacuations import Evacuations
from berylcart.coordination.membership.hooks import MembershipHooks
from berylcart.coordination.membership.membership import Membership
from berylcart.state.errors import BerylcartError, Code
from berylcart.state.member_table import Member, MemberState
from berylcart.state.peer_messages import (
    ConfigFreshness,
    Gossip,
    MemberReport,
)
from trio.testing import MockClock

MS_PER_S = 1000
POLL_S = 0.1
PLACES = ("lahore-1", "lahore-2", "lahore-3")


def peer_unavailable(address):
    return BerylcartError(Code.PEER_UNAVAILABLE, f"no answer from {address}")


class FakePeers:
    """Implement the Peers port of one node on the simulated network."""

    def __init__(self, network, source):
        self.network = network
        self.source = source

    async def ping(self, address, ping, *, timeout_ms):
        """Deliver a probe."""
        return await self.network.call(
            self.source, address, "on_ping", ping, timeout_ms
        )

    async def ping_request(self, address, request, *, timeout_ms):
        """Deliver a request for an indirect probe."""
        return await self.network.call(
            self.source, address, "on_ping_request", request, timeout_ms
        )

    async def exchange(self, address, gossip, *, timeout_ms):
        """Deliver an exchange."""
        return await self.network.call(
            self.source, address, "on_exchange", gossip, timeout_ms
        )


class Network:
    """Deliver calls with seeded delay, message loss and partitions."""

    def __init__(self, rng):
        self.rng = rng
        self.nodes = {}
        self.cuts = set()
        self.loss = 0.0
        self.delay_s = 0.002
        self.calls = 0
        self.largest_message = 0

    def cut(self, sources, targets):
        """Drop messages from one group of nodes to another."""
        for source in sources:
            for target in targets:
                self.cuts.add((source.address, target.address))

    def cut_both(self, left, right):
        """Drop messages between two groups of nodes, in both directions."""
        self.cut(left, right)
        self.cut(right, left)

    def heal(self):
        """Remove all partitions."""
        self.cuts.clear()

    async def deliver(self, source, target):
        """Delay one message; never return if it is lost."""
        await anyio.sleep(self.delay_s * self.rng.uniform(0.5, 1.5))
        is_lost = self.rng.random() < self.loss
        if is_lost or (source, target) in self.cuts:
            await anyio.sleep_forever()

    async def call(self, source, target, method, message, timeout_ms):
        """Deliver a request and its reply within a timeout."""
        self.calls += 1
        members = getattr(getattr(message, "gossip", message), "members", ())
        if method == "on_ping":
            self.largest_message = max(self.largest_message, len(members))
        with anyio.move_on_after(timeout_ms / MS_PER_S):
            await self.deliver(source, target)
            node = self.nodes.get(target)
            if node is None:
                await anyio.sleep_forever()
            await node.running.wait()
            reply = await getattr(node.membership, method)(message)
            await node.running.wait()
            await self.deliver(target, source)
            return reply
        raise peer_unavailable(target)


class FakeHooks(MembershipHooks):
    """Record changes, and adopt a newer configuration immediately."""

    def __init__(self):
        self.version = 0
        self.in_flight = ()
        self.current_load = 0.0
        self.states = []
        self.evacuated = Evacuations()

    def evacuations(self):
        """Return the known evacuations."""
        return self.evacuated.advertised_reports()

    def on_evacuations(self, sender_id, reports):
        """Merge the evacuations of a peer."""
        self.evacuated.apply_peer_reports(sender_id, reports)

    def config(self):
        """Return the current configuration version."""
        return ConfigFreshness(self.version, self.version)

    def on_config(self, address, config):
        """Adopt a newer version."""
        self.version = max(self.version, config.version)

    def load(self):
        """Return the load that the test set."""
        return self.current_load

    def demand(self):
        """Return the demand that the test set."""
        return self.in_flight

    def on_change(self, member):
        """Record the member's new state."""
        self.states.append((member.daemon_id, member.state))


class Node:
    """Run one daemon's membership; freezing preserves its state."""

    def __init__(self, fleet, name, address, place, incarnation):
        self.fleet = fleet
        self.name = name
        self.address = address
        self.place = place
        self.hooks = FakeHooks()
        self.running = anyio.Event()
        self.scope = None
        self.membership = Membership(
            Member(name, incarnation, address, f"http-{name}", place),
            FakePeers(fleet.network, address),
            lambda: fleet.seeds,
            fleet.settings,
            self.hooks,
            Random(f"{fleet.seed}/{name}/{incarnation}"),
        )
        broadcast = self.membership.broadcast_evacuations
        self.hooks.evacuated.on_update = broadcast

    async def _run(self):
        with anyio.CancelScope() as self.scope:
            await self.membership.run()

    def start(self):
        """Start the node, or resume it with the state it had when frozen."""
        self.fleet.network.nodes[self.address] = self
        self.running.set()
        self.fleet.tasks.start_soon(self._run)

    def freeze(self):
        """Stop running but preserve the state, as SIGSTOP does."""
        self.running = anyio.Event()
        self.scope.cancel()

    def kill(self):
        """Stop without a leave notice."""
        self.scope.cancel()
        self.fleet.network.nodes.pop(self.address, None)

    def live(self):
        """Return the ids of the members that are live in this node's view."""
        members = self.membership.live_members()
        return {member.daemon_id for member in members}

    def state_of(self, name):
        """Return a member's state in this node's view, None if unknown."""
        for member in self.membership.members():
            if member.daemon_id == name:
                return member.state
        return None


class Fleet:
    """Start nodes and wait for conditions on their views."""

    def __init__(self, seed, settings, tasks):
        self.seed = seed
        self.settings = settings
        self.tasks = tasks
        self.network = Network(Random(seed))
        self.seeds = ["a0", "a1", "a2"]
        self.nodes = []

    def add(self, index, incarnation=1, address=None):
        """Start the daemon dINDEX; places are assigned round robin."""
        place = PLACES[index % len(PLACES)]
        node = Node(
            self, f"d{index}", address or f"a{index}", place, incarnation
        )
        node.start()
        self.nodes.append(node)
        return node

    async def start_all(self, size):
        """Start size nodes and wait until their views agree."""
        nodes = [self.add(index) for index in range(size)]
        await self.until(lambda: self.views_agree(nodes), 60)
        return nodes

    async def start_with_full_views(self, size):
        """Start nodes with full views, without the cost of joining."""
        nodes = [self.add(index) for index in range(size)]
        members = [node.membership.local_member for node in nodes]
        reports = tuple(MemberReport(member, 0) for member in members)
        for node in nodes:
            sender = members[node is nodes[0]]
            await node.membership.on_exchange(Gossip(sender, reports))
        assert self.views_agree(nodes)
        return nodes

    def views_agree(self, nodes):
        """Return whether each node sees exactly these nodes as live."""
        names = {node.name for node in nodes}
        return all(node.live() == names for node in nodes)

    async def until(self, condition, within_s):
        """Wait until a condition holds; fail after within_s seconds."""
        for _ in range(round(within_s / POLL_S)):
            if condition():
                return
            await anyio.sleep(POLL_S)
        assert condition(), f"condition not met within {within_s} s"

    def false_deaths(self, names):
        """Count how often the named daemons were declared dead."""
        return sum(
            state is MemberState.DEAD and name in names
            for node in self.nodes
            for name, state in node.hooks.states
        )


@pytest.fixture
def run_fleet(monkeypatch):
    """Return a function that runs a scenario with a seeded fleet."""
    from berylcart.coordination.membership.settings import DEFAULT_SETTINGS

    def run(scenario, seed=1, settings=DEFAULT_SETTINGS):
        monkeypatch.setattr(
            trio._core._run, "_ALLOW_DETERMINISTIC_SCHEDULING", True
        )
        trio._core._run._r.seed(seed)

        async def main():
            async with anyio.create_task_group() as tasks:
                await scenario(Fleet(seed, settings, tasks))
                tasks.cancel_scope.cancel()

        trio.run(main, clock=MockClock(autojump_threshold=0))

    return run

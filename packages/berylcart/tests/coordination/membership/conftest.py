"""Run daemons' membership over an in-memory network on a paused clock."""

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
    MemberNews,
)
from trio.testing import MockClock

MS_PER_S = 1000
POLL_S = 0.1
PLACES = ("lahore-1", "lahore-2", "lahore-3")


def unavailable(address):
    return BerylcartError(Code.PEER_UNAVAILABLE, f"no answer from {address}")


class FakePeers:
    """Implement the Peers port of one node over the network."""

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
    """Deliver calls with delay, loss and cuts, all from one seed."""

    def __init__(self, rng):
        self.rng = rng
        self.nodes = {}
        self.cuts = set()
        self.loss = 0.0
        self.delay_s = 0.002
        self.calls = 0
        self.largest_message = 0

    def cut(self, sources, targets):
        """Stop what goes one way between two groups of nodes."""
        for source in sources:
            for target in targets:
                self.cuts.add((source.address, target.address))

    def cut_both(self, left, right):
        """Stop what goes either way between two groups of nodes."""
        self.cut(left, right)
        self.cut(right, left)

    def heal(self):
        """Let everything through again."""
        self.cuts.clear()

    async def hop(self, source, target):
        """Carry one message, or wait for ever when it is lost."""
        await anyio.sleep(self.delay_s * self.rng.uniform(0.5, 1.5))
        is_lost = self.rng.random() < self.loss
        if is_lost or (source, target) in self.cuts:
            await anyio.sleep_forever()

    async def call(self, source, target, method, message, timeout_ms):
        """Carry a call there and back within its timeout."""
        self.calls += 1
        members = getattr(getattr(message, "gossip", message), "members", ())
        if method == "on_ping":
            self.largest_message = max(self.largest_message, len(members))
        with anyio.move_on_after(timeout_ms / MS_PER_S):
            await self.hop(source, target)
            node = self.nodes.get(target)
            if node is None:
                await anyio.sleep_forever()
            await node.running.wait()
            reply = await getattr(node.membership, method)(message)
            await node.running.wait()
            await self.hop(target, source)
            return reply
        raise unavailable(target)


class FakeHooks(MembershipHooks):
    """Hold a configuration that is pulled as soon as it is heard of."""

    def __init__(self):
        self.version = 0
        self.in_flight = ()
        self.load_now = 0.0
        self.states = []
        self.evacuated = Evacuations()

    def evacuations(self):
        """Give what is known of evacuated places."""
        return self.evacuated.news()

    def on_evacuations(self, sender_id, news):
        """Take what a peer knows of evacuated places."""
        self.evacuated.hear(sender_id, news)

    def config(self):
        """Give the configuration in force."""
        return ConfigFreshness(self.version, self.version)

    def on_config(self, address, config):
        """Take over a newer version."""
        self.version = max(self.version, config.version)

    def load(self):
        """Give the set load."""
        return self.load_now

    def demand(self):
        """Give the set demand."""
        return self.in_flight

    def on_change(self, member):
        """Remember the change."""
        self.states.append((member.daemon_id, member.state))


class Node:
    """Run one daemon's membership; freezing keeps its memory."""

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
        tell = self.membership.tell_evacuations
        self.hooks.evacuated.on_news = tell

    async def _run(self):
        with anyio.CancelScope() as self.scope:
            await self.membership.run()

    def start(self):
        """Start, or wake a frozen node with its old memory."""
        self.fleet.network.nodes[self.address] = self
        self.running.set()
        self.fleet.tasks.start_soon(self._run)

    def freeze(self):
        """Stop running without losing memory, as SIGSTOP does."""
        self.running = anyio.Event()
        self.scope.cancel()

    def kill(self):
        """Go without a word."""
        self.scope.cancel()
        self.fleet.network.nodes.pop(self.address, None)

    def live(self):
        """Name the daemons that count as running here."""
        members = self.membership.live_members()
        return {member.daemon_id for member in members}

    def state_of(self, name):
        """Give the state held of a daemon, or None."""
        for member in self.membership.members():
            if member.daemon_id == name:
                return member.state
        return None


class Fleet:
    """Start nodes and wait for what they come to know."""

    def __init__(self, seed, settings, tasks):
        self.seed = seed
        self.settings = settings
        self.tasks = tasks
        self.network = Network(Random(seed))
        self.seeds = ["a0", "a1", "a2"]
        self.nodes = []

    def add(self, index, incarnation=1, address=None):
        """Start the daemon dINDEX, places taken in turn."""
        place = PLACES[index % len(PLACES)]
        node = Node(
            self, f"d{index}", address or f"a{index}", place, incarnation
        )
        node.start()
        self.nodes.append(node)
        return node

    async def grow(self, size):
        """Start a fleet and wait until all know all."""
        nodes = [self.add(index) for index in range(size)]
        await self.until(lambda: self.agree(nodes), 60)
        return nodes

    async def introduce(self, size):
        """Start a fleet in which all know all, at less cost than growing."""
        nodes = [self.add(index) for index in range(size)]
        members = [node.membership.me for node in nodes]
        news = tuple(MemberNews(member, 0) for member in members)
        for node in nodes:
            sender = members[node is nodes[0]]
            await node.membership.on_exchange(Gossip(sender, news))
        assert self.agree(nodes)
        return nodes

    def agree(self, nodes):
        """Say whether exactly these nodes count as running on each."""
        names = {node.name for node in nodes}
        return all(node.live() == names for node in nodes)

    async def until(self, is_true, within_s):
        """Wait until a condition holds; fail after a time."""
        for _ in range(round(within_s / POLL_S)):
            if is_true():
                return
            await anyio.sleep(POLL_S)
        assert is_true(), f"not within {within_s} s"

    def false_deaths(self, names):
        """Count how often running daemons were declared dead."""
        return sum(
            state is MemberState.DEAD and name in names
            for node in self.nodes
            for name, state in node.hooks.states
        )


@pytest.fixture
def run_fleet(monkeypatch):
    """Give a function that runs a scenario over a seeded fleet."""
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

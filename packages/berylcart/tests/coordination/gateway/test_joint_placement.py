"""Test joint placement, and its fallback if a home daemon fails."""

import anyio
from berylcart.coordination.gateway.joint_placement import (
    HOME_AVOIDANCE_S,
    MIN_DAEMONS,
    JointPlacement,
)
from berylcart.state.errors import BerylcartError, Code
from berylcart.state.member_table import Member
from berylcart.state.peer_messages import (
    AttemptReport,
    Placement,
    PlacementQuery,
)
from berylcart.state.routes import EngineLimits, GatewayService

from ..gateway_fakes import make_vm
from ..serving_fakes import outcome

HOME = Member("d1", 1, "d1:1", "d1:2", "lahore-1")
QUERY = PlacementQuery("model", (), 100, 10, 9000)


class FakePeers:
    """Return placements as another daemon would, or fail."""

    def __init__(self):
        self.calls = 0
        self.reports = []
        self.error = None

    async def place_request(self, address, query, *, timeout_ms):
        """Return a placement on one replica."""
        self.calls += 1
        if self.error is not None:
            raise self.error
        return Placement("v1", 1, 5)

    async def report_attempt(self, address, report, *, timeout_ms):
        """Record a report."""
        if self.error is not None:
            raise self.error
        self.reports.append(report)


class Background:
    """Collect functions started in the background and run them later."""

    def __init__(self):
        self.waiting = []

    def spawn(self, function, *args):
        """Keep a function for later."""
        self.waiting.append((function, args))

    async def run(self):
        """Run the collected functions in order."""
        while self.waiting:
            function, args = self.waiting.pop(0)
            await function(*args)


def make_home(peers, home=HOME, daemons=MIN_DAEMONS, spawn=None):
    services = {
        "model": GatewayService("model", 0, engine=EngineLimits(8, 1000)),
        "plain": GatewayService("plain", 0),
    }
    vms = {"model": [make_vm("v1"), make_vm("v2")]}
    return JointPlacement(
        peers,
        lambda service: home,
        lambda: daemons,
        lambda service: vms.get(service, []),
        services.get,
        spawn or Background().spawn,
    )


def test_joint_placement_is_used_only_for_engines_of_large_fleets():
    home = make_home(FakePeers())
    assert home.uses_joint_placement("model")
    assert not home.uses_joint_placement("plain")
    assert not home.uses_joint_placement("unknown")
    small = make_home(FakePeers(), daemons=MIN_DAEMONS - 1)
    assert not small.uses_joint_placement("model")


async def place_with_failing_home():
    peers = FakePeers()
    home = make_home(peers)
    peers.error = BerylcartError(Code.PEER_UNAVAILABLE, "timeout")
    results = [await home.place(QUERY), await home.place(QUERY)]
    calls = peers.calls
    peers.error = None
    await anyio.sleep(HOME_AVOIDANCE_S)
    results.append(await home.place(QUERY))
    return results, calls


def test_failed_home_is_not_called_for_a_while():
    results, calls = outcome(place_with_failing_home)
    assert results[:2] == [None, None]
    assert calls == 1
    assert results[2].placement.vm_id == "v1"


async def report_twice():
    peers = FakePeers()
    background = Background()
    home = make_home(peers, spawn=background.spawn)
    placed = await home.place(QUERY)
    await anyio.sleep(0.25)
    home.report_outcome(placed, is_begun=True)
    home.report_outcome(placed, is_begun=False)
    await background.run()
    return peers.reports


def test_outcome_of_a_request_is_reported_once():
    reports = outcome(report_twice)
    assert [(each.is_begun, each.latency_ms) for each in reports] == [
        (True, 250)
    ]


async def report_to_unreachable_home():
    peers = FakePeers()
    background = Background()
    home = make_home(peers, spawn=background.spawn)
    placed = await home.place(QUERY)
    peers.error = BerylcartError(Code.PEER_UNAVAILABLE, "reset")
    home.report_outcome(placed, is_begun=True)
    assert background.waiting
    await background.run()


def test_lost_report_fails_no_request():
    outcome(report_to_unreachable_home)


async def place_with_this_daemon_as_home():
    home = make_home(FakePeers(), home=None)
    chosen = []
    for _ in range(4):
        placed = await home.place(QUERY)
        chosen.append(placed.placement.vm_id)
    for_peer = await home.on_place_request(QUERY)
    home.report_outcome(placed, is_begun=False)
    home.on_attempt(cancellation_report(for_peer.number))
    return chosen, home.placement_of("model")


def cancellation_report(number):
    """Return a report that a request was cancelled."""
    return AttemptReport("model", number, False, 10)


def test_home_balances_requests_of_all_daemons():
    chosen, placement = outcome(place_with_this_daemon_as_home)
    assert sorted(chosen) == ["v1", "v1", "v2", "v2"]
    waiting = sum(len(e.pending) for e in placement.loads.values())
    assert waiting == 3


async def place_for_unknown_services():
    home = make_home(FakePeers(), home=None)
    names = ["plain", "unknown", "x" * 99]
    placed = [
        await home.on_place_request(QUERY._replace(service=name))
        for name in names
    ]
    return [each.vm_id for each in placed], len(home.placements)


def test_queries_for_unknown_services_leave_no_state():
    assert outcome(place_for_unknown_services) == (["", "", ""], 0)


class FailingPeers(FakePeers):
    """Fail for one address only."""

    async def place_request(self, address, query, *, timeout_ms):
        """Return a placement, or raise for the first home."""
        if address == HOME.peer_address:
            raise BerylcartError(Code.PEER_UNAVAILABLE, "timeout")
        return await super().place_request(
            address, query, timeout_ms=timeout_ms
        )


async def place_with_two_homes():
    other = HOME._replace(daemon_id="d2", peer_address="d2:1")
    home = make_home(FailingPeers())
    home.home_of = {"model": HOME, "model-b": other}.get
    first = await home.place(QUERY)
    second = await home.place(QUERY._replace(service="model-b"))
    return first, second


def test_failed_home_does_not_affect_other_homes():
    first, second = outcome(place_with_two_homes)
    assert first is None
    assert second.placement.vm_id == "v1"

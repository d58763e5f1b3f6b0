"""Test the choice of the home daemon, and its failure."""

import anyio
import pytest
from berylcart.coordination.gateway.batch_selection import PieceOrder
from berylcart.coordination.gateway.order_router import (
    OrderResult,
    OrderRouter,
)
from berylcart.state.errors import BerylcartError, Code
from berylcart.state.member_table import Member, MemberState

from ..serving_fakes import run

NAMES = ("d1", "d2", "d3")


def make_member(name, **fields):
    return Member(name, 1, f"{name}:1", f"{name}:2", "lahore-1", **fields)


def make_order(deadline_s=5.0):
    now_s = anyio.current_time()
    return PieceOrder(
        "r1", "sms", 0, 1, "k", (), 1, now_s + 1, now_s + deadline_s, "", 10
    )


class FakeBatcher:
    """Process the orders of this daemon."""

    def __init__(self):
        self.orders = []

    async def make_pieces(self, order):
        """Return one result."""
        self.orders.append(order)
        return ("own",)

    def backlog_s(self):
        """Return the queueing delay."""
        return 0.7


class FakePeers:
    """Reply as other daemons; some fail or do not answer."""

    def __init__(self):
        self.calls = []
        self.failing = set()
        self.hanging = set()
        self.error = None

    async def make_pieces(self, address, order, *, timeout_ms):
        """Return one result, named after the address."""
        self.calls.append(address)
        if address in self.failing:
            raise BerylcartError(Code.PEER_UNAVAILABLE, "reset")
        if address in self.hanging:
            await anyio.sleep(timeout_ms / 1000)
            raise BerylcartError(Code.PEER_UNAVAILABLE, "timeout")
        if self.error is not None:
            raise self.error
        return OrderResult((address,), 0.3)


class Rig:
    """Hold one daemon's view; it is not itself the home of the service."""

    def __init__(self):
        self.peers = FakePeers()
        self.batcher = FakeBatcher()
        self.members = {name: make_member(name) for name in NAMES}
        self.home = self.make_home("none")
        first = self.home.home_of("sms").daemon_id
        self.first = first
        second = [name for name in NAMES if name != first]
        self.others = second

    def make_home(self, name):
        """Build the view of a daemon."""
        return OrderRouter(
            name,
            self.peers,
            lambda: list(self.members.values()),
            lambda service: self.batcher,
        )


def test_all_daemons_agree_on_the_home():
    async def check():
        rig = Rig()
        views = [rig.make_home(name) for name in NAMES]
        homes = [view.home_of("sms") for view in views]
        named = {home.daemon_id for home in homes if home is not None}
        assert named == {rig.first}
        assert homes.count(None) == 1

    run(check)


def test_daemon_on_a_slow_link_is_home_only_without_faster_ones():
    async def check():
        rig = Rig()
        for name, capacity in zip(NAMES, (100, 1000, 600), strict=True):
            rig.members[name] = make_member(name, capacity_permille=capacity)
        view = rig.make_home("none")
        services = [f"s{number}" for number in range(40)]
        homes = {view.home_of(each).daemon_id for each in services}
        assert homes == {NAMES[1], NAMES[2]}
        for name in NAMES[1:]:
            del rig.members[name]
        assert view.home_of("s0").daemon_id == NAMES[0]

    run(check)


def test_home_processes_its_own_orders():
    async def check():
        rig = Rig()
        home = rig.make_home(rig.first)
        assert await home.make_pieces(make_order()) == ("own",)
        assert not rig.peers.calls

    run(check)


def test_failed_home_is_avoided():
    async def check():
        rig = Rig()
        rig.peers.failing.add(f"{rig.first}:1")
        (handle,) = await rig.home.make_pieces(make_order())
        assert handle != f"{rig.first}:1"
        rig.peers.failing.clear()
        await rig.home.make_pieces(make_order())
        assert rig.peers.calls.count(f"{rig.first}:1") == 1

    run(check)


def test_call_to_a_suspected_home_is_cancelled():
    async def check():
        rig = Rig()
        rig.peers.hanging.add(f"{rig.first}:1")

        async def suspect():
            await anyio.sleep(0.5)
            member = rig.members[rig.first]
            rig.members[rig.first] = member._replace(state=MemberState.SUSPECT)
            rig.home.update_members()

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(suspect)
            started_s = anyio.current_time()
            (handle,) = await rig.home.make_pieces(make_order())
        assert handle != f"{rig.first}:1"
        assert anyio.current_time() - started_s < 1.5

    run(check)


def test_home_that_exceeds_the_deadline_stays_the_home():
    async def check():
        rig = Rig()
        rig.peers.hanging.add(f"{rig.first}:1")
        with pytest.raises(BerylcartError) as raised:
            await rig.home.make_pieces(make_order(deadline_s=0.7))
        assert raised.value.code is Code.OVERLOADED
        assert rig.home.home_of("sms").daemon_id == rig.first

    run(check)


def test_error_returned_by_the_home_is_final():
    async def check():
        rig = Rig()
        rig.peers.error = BerylcartError(Code.OVERLOADED, "behind")
        with pytest.raises(BerylcartError) as raised:
            await rig.home.make_pieces(make_order())
        assert raised.value.code is Code.OVERLOADED
        assert len(rig.peers.calls) == 1

    run(check)


def test_leaving_daemon_is_not_the_home():
    async def check():
        rig = Rig()
        member = rig.members[rig.first]
        rig.members[rig.first] = member._replace(is_leaving=True)
        assert rig.home.home_of("sms").daemon_id in rig.others

    run(check)


def test_replies_update_the_backlog():
    async def check():
        rig = Rig()
        await rig.home.make_pieces(make_order())
        assert rig.home.backlogs.current_s("sms") == 0.3
        rig.peers.error = BerylcartError(
            Code.OVERLOADED, "behind", retry_after_ms=4000
        )
        with pytest.raises(BerylcartError):
            await rig.home.make_pieces(make_order())
        assert rig.home.backlogs.current_s("sms") == 4.0
        await anyio.sleep(1.1)
        assert rig.home.backlogs.current_s("sms") == 0.0

    run(check)


def test_lack_of_permitted_replicas_reports_no_backlog():
    async def check():
        rig = Rig()
        rig.peers.error = BerylcartError(
            Code.NO_UPSTREAM, "none", retry_after_ms=900
        )
        order = make_order()
        with pytest.raises(BerylcartError):
            await rig.home.make_pieces(order._replace(places=frozenset({"a"})))
        assert rig.home.backlogs.current_s("sms") == 0
        with pytest.raises(BerylcartError):
            await rig.home.make_pieces(order)
        assert rig.home.backlogs.current_s("sms") > 0

    run(check)

"""Check how requests go that the home of their service placed."""

from contextlib import suppress

import anyio
import anyio.lowlevel
from berylcart.coordination.gateway.engine_home import MIN_DAEMONS, EngineHome
from berylcart.state.errors import (
    Code,
    InputsGoneError,
    Ran,
    UpstreamError,
)
from berylcart.state.member_table import Member
from berylcart.state.peer_messages import Placement
from berylcart.state.routes import EngineLimits, GatewayService

from ..gateway_fakes import (
    FAILED,
    OK,
    RESUMABLE,
    STREAM,
    Forwarding,
    Script,
    make_vm,
)
from ..serving_fakes import outcome

HOME = Member("d1", 1, "d1:1", "d1:2", "lahore-1")
EVENTS = (b"id: 1\ndata: a\n\n",)
RESET = UpstreamError(Code.UPSTREAM_FAILED, "reset", ran=Ran.UNKNOWN)
# Longer than any caller here waits.
HANG_S = 3600.0


class HangingPeers:
    """Place requests, but take no notice before the end."""

    def __init__(self, placement):
        self.placement = placement
        self.asked = 0
        self.news = []

    async def place_request(self, address, query, *, timeout_ms):
        """Name the replica."""
        self.asked += 1
        return self.placement

    async def tell_attempt(self, address, news, *, timeout_ms):
        """Note what would be told, and hang."""
        self.news.append(news)
        await anyio.sleep(HANG_S)


async def forward(route, placement, *scripts, error=()):
    """Forward a request; give how it went, its time and the notices."""
    peers = HangingPeers(placement)
    info = GatewayService("counter", 0, engine=EngineLimits(8, 1000))
    async with anyio.create_task_group() as tasks:
        engines = EngineHome(
            peers,
            lambda service: HOME,
            lambda: MIN_DAEMONS,
            lambda service: [],
            lambda service: info,
            tasks.start_soon,
        )
        one = Forwarding(route, *scripts, engines=engines)
        started_s = anyio.current_time()
        with suppress(error):
            await one.forward()
        elapsed_s = anyio.current_time() - started_s
        await anyio.lowlevel.checkpoint()
        tasks.cancel_scope.cancel()
    return one, elapsed_s, peers


def play(route, placement, *scripts, error=()):
    """Forward a request on a paused clock."""
    return outcome(lambda: forward(route, placement, *scripts, error=error))


def placement_of(vm):
    """Name a replica."""
    return Placement(vm.vm_id, vm.incarnation, 5)


def test_notice_delays_no_first_event():
    placement = placement_of(make_vm("v2"))
    one, elapsed_s, peers = play(STREAM, placement, Script(chunks=EVENTS))
    assert one.relay.sent[-1].address == "v2:80"
    assert elapsed_s < 1.0
    assert [(each.number, each.is_begun) for each in peers.news] == [(5, True)]


def test_notice_delays_no_second_attempt():
    placement = placement_of(make_vm("v2"))
    one, elapsed_s, peers = play(
        RESUMABLE, placement, RESET, Script(chunks=EVENTS)
    )
    assert len(one.relay.sent) == 2
    assert one.relay.sent[-1].address != "v2:80"
    assert elapsed_s < 1.0
    # Only the first attempt is placed, and its end is told once.
    assert peers.asked == 1
    assert [each.is_begun for each in peers.news] == [False]
    assert peers.news[0].is_failed


def test_replica_that_is_not_permitted_here_is_not_sent_the_request():
    gone = placement_of(make_vm("v9"))
    one, _, peers = play(STREAM, gone, Script(chunks=EVENTS))
    assert one.relay.sent[-1].address in {"v1:80", "v2:80", "v3:80"}
    assert len(one.relay.sent) == 1
    assert [each.is_begun for each in peers.news] == [False]
    assert not peers.news[0].is_failed


def test_server_error_that_is_passed_on_is_a_failure_of_the_replica():
    placement = placement_of(make_vm("v2"))
    one, _, peers = play(STREAM, placement, Script(FAILED))
    assert one.exchange.status == 500
    assert [each.is_failed for each in peers.news] == [True]


def test_results_that_are_gone_are_no_failure_of_the_replica():
    placement = placement_of(make_vm("v2"))
    gone = Script(OK._replace(status=409, did_not_run=True))
    _, _, peers = play(STREAM, placement, gone, error=InputsGoneError)
    assert [each.is_failed for each in peers.news] == [False]

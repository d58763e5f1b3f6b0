"""Test how requests with a placement are forwarded and reported."""

from contextlib import suppress

import anyio
import anyio.lowlevel
from berylcart.coordination.gateway.joint_placement import (
    MIN_DAEMONS,
    JointPlacement,
)
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
    ScriptedResponse,
    make_vm,
)
from ..serving_fakes import outcome

HOME = Member("d1", 1, "d1:1", "d1:2", "lahore-1")
EVENTS = (b"id: 1\ndata: a\n\n",)
RESET = UpstreamError(Code.UPSTREAM_FAILED, "reset", ran=Ran.UNKNOWN)
# Longer than any caller here waits.
NEVER_S = 3600.0


class HangingPeers:
    """Return placements, but block on reports."""

    def __init__(self, placement):
        self.placement = placement
        self.calls = 0
        self.reports = []

    async def place_request(self, address, query, *, timeout_ms):
        """Return the placement."""
        self.calls += 1
        return self.placement

    async def report_attempt(self, address, report, *, timeout_ms):
        """Record the report, and block."""
        self.reports.append(report)
        await anyio.sleep(NEVER_S)


async def forward(route, placement, *scripts, error=()):
    """Forward a request; return its run, duration and reports."""
    peers = HangingPeers(placement)
    info = GatewayService("counter", 0, engine=EngineLimits(8, 1000))
    async with anyio.create_task_group() as tasks:
        engines = JointPlacement(
            peers,
            lambda service: HOME,
            lambda: MIN_DAEMONS,
            lambda service: [],
            lambda service: info,
            tasks.start_soon,
        )
        forwarding = Forwarding(route, *scripts, engines=engines)
        started_s = anyio.current_time()
        with suppress(error):
            await forwarding.forward()
        elapsed_s = anyio.current_time() - started_s
        await anyio.lowlevel.checkpoint()
        tasks.cancel_scope.cancel()
    return forwarding, elapsed_s, peers


def run_forward(route, placement, *scripts, error=()):
    """Forward a request with a simulated clock."""
    return outcome(lambda: forward(route, placement, *scripts, error=error))


def placement_of(vm):
    """Return a placement on a replica."""
    return Placement(vm.vm_id, vm.incarnation, 5)


def test_report_does_not_delay_the_first_event():
    placement = placement_of(make_vm("v2"))
    forwarding, elapsed_s, peers = run_forward(
        STREAM, placement, ScriptedResponse(chunks=EVENTS)
    )
    assert forwarding.relay.sent[-1].address == "v2:80"
    assert elapsed_s < 1.0
    assert [(each.number, each.is_begun) for each in peers.reports] == [
        (5, True)
    ]


def test_report_does_not_delay_the_second_attempt():
    placement = placement_of(make_vm("v2"))
    forwarding, elapsed_s, peers = run_forward(
        RESUMABLE, placement, RESET, ScriptedResponse(chunks=EVENTS)
    )
    assert len(forwarding.relay.sent) == 2
    assert forwarding.relay.sent[-1].address != "v2:80"
    assert elapsed_s < 1.0
    # Only the first attempt has a placement, and its end is reported once.
    assert peers.calls == 1
    assert [each.is_begun for each in peers.reports] == [False]
    assert peers.reports[0].is_failed


def test_placement_on_an_unknown_replica_is_not_used():
    gone = placement_of(make_vm("v9"))
    forwarding, _, peers = run_forward(
        STREAM, gone, ScriptedResponse(chunks=EVENTS)
    )
    assert forwarding.relay.sent[-1].address in {"v1:80", "v2:80", "v3:80"}
    assert len(forwarding.relay.sent) == 1
    assert [each.is_begun for each in peers.reports] == [False]
    assert not peers.reports[0].is_failed


def test_relayed_server_error_is_reported_as_a_replica_failure():
    placement = placement_of(make_vm("v2"))
    forwarding, _, peers = run_forward(
        STREAM, placement, ScriptedResponse(FAILED)
    )
    assert forwarding.exchange.status == 500
    assert [each.is_failed for each in peers.reports] == [True]


def test_missing_inputs_are_not_reported_as_a_replica_failure():
    placement = placement_of(make_vm("v2"))
    gone = ScriptedResponse(OK._replace(status=409, did_not_run=True))
    _, _, peers = run_forward(STREAM, placement, gone, error=InputsGoneError)
    assert [each.is_failed for each in peers.reports] == [False]

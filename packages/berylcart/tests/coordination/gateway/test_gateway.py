"""Test a gateway's responses, including stages and forwarding."""

import anyio
import pytest
from berylcart.coordination.gateway.backlogs import BacklogTable
from berylcart.coordination.gateway.batch_selection import MAX_PIECES
from berylcart.coordination.gateway.forwarder import (
    Forwarder,
)
from berylcart.coordination.gateway.gateway import Gateway
from berylcart.coordination.gateway.request_target import resolve_target
from berylcart.coordination.gateway.retry_window import RetryWindow
from berylcart.coordination.gateway.route_table_holder import RouteTableHolder
from berylcart.coordination.gateway.second_attempts import (
    HedgingPolicy,
    TimeKey,
)
from berylcart.coordination.gateway.stage_executor import StageExecutor
from berylcart.state.errors import BerylcartError, Code, Ran
from berylcart.state.routes import (
    BatchLimits,
    GatewayService,
    RouteKind,
    RouteStage,
    RouteTable,
)

from ..gateway_fakes import (
    BOOKING,
    GONE,
    IDEMPOTENT,
    REFUSED,
    SERVICE,
    STAGED,
    TIMES_MS,
    FakeExchange,
    FakeRelay,
    FakeWire,
    ScriptedResponse,
    make_keeper,
    make_policy,
    make_request,
    make_vm,
)
from ..serving_fakes import run

KEYED = make_request(api_key="k1", piece_counts=(2,), piece_key="key")
CHAIN = STAGED._replace(
    stages=(
        RouteStage("sms", (), 10),
        RouteStage("desk", (0,), 10),
        RouteStage("notes", (), 10),
    )
)


class FakeHome:
    """Process pieces after 0.1 s and record dropped results."""

    def __init__(self):
        self.orders = []
        self.dropped = []
        self.error = None
        self.backlogs = BacklogTable()

    async def free(self, service, handles):
        """Record dropped results."""
        self.dropped.extend(handles)

    async def make_pieces(self, order):
        """Process the pieces of an order."""
        self.orders.append(order)
        await anyio.sleep(0.1)
        if self.error is not None:
            raise self.error
        return tuple(
            f"{order.service}-{len(self.orders)}-{number}"
            for number in range(order.pieces)
        )


class KeyedWire(FakeWire):
    """Parse every request as one with an API key and pieces."""

    request = KEYED

    def parse_request(self, head, body):
        """Return the configured request with the given target."""
        return self.request._replace(target=head.target)


class Rig:
    """A gateway with scripted replicas and fake stages."""

    def __init__(self, route, *scripts, vms=("v1", "v2")):
        self.keeper = make_keeper(route)
        self.relay = FakeRelay(*scripts)
        self.home = FakeHome()
        self.tasks = None
        self.served = []
        self.wire = KeyedWire()
        policy = make_policy(self.keeper, vms)
        stages = StageExecutor(
            self.home,
            self.spawn,
            lambda handle: "lahore-1",
        )
        forwarder = Forwarder(self.relay, policy, self.wire)
        self.gateway = Gateway(
            self.keeper, self.wire, policy, forwarder, stages
        )
        self.gateway.on_completed = self.served.append

    @property
    def dropped(self):
        """Return the results that were dropped."""
        return self.home.dropped

    def spawn(self, function, *args):
        """Run a function in the background."""
        self.tasks.start_soon(function, *args)

    async def serve(self, target="/a/b"):
        """Serve one request."""
        exchange = FakeExchange(target)
        async with anyio.create_task_group() as self.tasks:
            await self.gateway.handle(exchange)
        return exchange


def expect_code(call, code):
    """Assert that a call raises an error with a code."""
    with pytest.raises(BerylcartError) as raised:
        call()
    assert raised.value.code is code


def test_resolves_route_and_workspace():
    table = make_keeper(BOOKING).table
    assert resolve_target(table, KEYED).owner.workspace == "counter"
    assert resolve_target(table, KEYED).rank == 0
    expect_code(
        lambda: resolve_target(table, KEYED._replace(api_key="other")),
        Code.KEY_UNKNOWN,
    )
    expect_code(
        lambda: resolve_target(table, KEYED._replace(target="/b/")),
        Code.UNKNOWN_ROUTE,
    )
    public = RouteTable(
        1, (BOOKING._replace(is_public=True),), has_workspaces=True
    )
    assert resolve_target(public, KEYED._replace(api_key=None)).owner is None


def test_request_before_the_first_route_table_gets_not_ready():
    async def check():
        rig = Rig(BOOKING)
        rig.gateway.tables = RouteTableHolder(lambda text: RouteTable(1))
        exchange = await rig.serve()
        assert exchange.status == Code.NOT_READY
        assert exchange.data == b"no"

    run(check)


def test_stage_results_are_dropped_once_read():
    async def check():
        rig = Rig(STAGED, ScriptedResponse())
        exchange = await rig.serve()
        assert exchange.status == 200
        headers = dict(rig.relay.sent[0].headers)
        assert headers[b"inputs"] == b"sms-1-0,sms-1-1"
        assert rig.dropped == ["sms-1-0", "sms-1-1"]
        assert rig.home.orders[0].key == "key"

    run(check)


def test_each_stage_reads_those_before_it():
    async def check():
        rig = Rig(CHAIN, ScriptedResponse())
        rig.wire.request = KEYED._replace(piece_counts=(2, 1, 0))
        assert (await rig.serve()).status == 200
        orders = {order.service: order for order in rig.home.orders}
        assert orders["desk"].inputs == ("sms-1-0", "sms-1-1")
        assert orders["desk"].key == ""
        assert "notes" not in orders
        headers = dict(rig.relay.sent[0].headers)
        assert headers[b"inputs"] == b"desk-2-0"
        # The home daemon of desk drops results that only desk reads.
        assert orders["desk"].is_only_reader
        assert rig.dropped == ["desk-2-0"]

    run(check)


def test_completed_request_tells_where_its_time_went():
    async def check():
        rig = Rig(CHAIN, ScriptedResponse())
        rig.wire.request = KEYED._replace(piece_counts=(2, 1, 0))
        await rig.serve()
        (served,) = rig.served
        assert served.timing.stages_ms == (100, 100, 0)
        assert served.timing.target_ms == CHAIN.target_ms
        assert served.timing.first_event_ms >= 200

    run(check)


def test_results_are_dropped_while_the_prompt_is_read():
    async def check():
        rig = Rig(STAGED, ScriptedResponse(starts_after_s=1.0))
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(rig.serve)
            await anyio.sleep(0.1 + 0.04)
            assert rig.dropped == []
            await anyio.sleep(0.3)
            assert rig.dropped == ["sms-1-0", "sms-1-1"]

    run(check)


def test_results_are_kept_if_a_replica_rejects_the_request():
    async def check():
        refusal = ScriptedResponse(REFUSED, starts_after_s=0.02)
        rig = Rig(STAGED, refusal, ScriptedResponse(starts_after_s=1.0))
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(rig.serve)
            # 0.1 s for the stage and 0.02 s for the refusal.
            await anyio.sleep(0.12 + 0.15)
            assert len(rig.relay.sent) == 2
            assert rig.dropped == []

    run(check)


def test_lost_inputs_are_recomputed():
    async def check():
        rig = Rig(STAGED, ScriptedResponse(GONE), ScriptedResponse())
        assert (await rig.serve()).status == 200
        assert len(rig.home.orders) == 2
        headers = dict(rig.relay.sent[1].headers)
        assert headers[b"inputs"] == b"sms-2-0,sms-2-1"

    run(check)


def test_resend_after_lost_inputs_uses_the_retry_budget():
    async def check():
        rig = Rig(STAGED, ScriptedResponse(GONE), ScriptedResponse())
        rig.gateway.policy.budget = RetryWindow(0.0, 10.0, 0, lambda: 1)
        exchange = await rig.serve()
        assert exchange.status != 200
        assert len(rig.relay.sent) == 1
        assert rig.served[0].ran is Ran.NO

    run(check)


def test_failed_stage_did_not_run_the_request():
    async def check():
        rig = Rig(STAGED)
        rig.home.error = BerylcartError(
            Code.OVERLOADED, "behind", retry_after_ms=700
        )
        exchange = await rig.serve()
        assert exchange.status == Code.OVERLOADED
        assert exchange.data == b"no"
        assert rig.served[0].ran is Ran.NO

    run(check)


def test_wrong_number_of_stages_is_refused():
    async def check():
        rig = Rig(STAGED)
        rig.wire.request = KEYED._replace(piece_counts=())
        assert (await rig.serve()).status == Code.BAD_REQUEST

    run(check)


def test_route_timeout_ends_a_request():
    async def check():
        route = BOOKING._replace(timeout_ms=800)
        rig = Rig(route, ScriptedResponse(chunks=(), hangs=True))
        started_s = anyio.current_time()
        exchange = await rig.serve()
        assert exchange.status == Code.DEADLINE_EXCEEDED
        assert exchange.data == b"unknown"
        assert 0.8 <= anyio.current_time() - started_s < 0.9

    run(check)


def allow_hedging(rig, route):
    """Allow second attempts after 100 ms, the quantile of TIMES_MS."""
    hedger = HedgingPolicy(0.2, rig.gateway.policy.budget)
    key = TimeKey(SERVICE, route.kind is RouteKind.STREAM, 0)
    for time_ms in TIMES_MS:
        hedger.add_latency(key, time_ms)
    rig.gateway.policy.budget.record_request(SERVICE, 100)
    rig.gateway.forwarder.hedger = hedger
    return hedger


def test_wait_idle_waits_for_a_second_attempt():
    async def check():
        hangs = ScriptedResponse(chunks=(), hangs=True)
        rig = Rig(IDEMPOTENT, hangs, ScriptedResponse(starts_after_s=0.5))
        allow_hedging(rig, IDEMPOTENT)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(rig.serve)
            await anyio.sleep(0.2)
            assert len(rig.relay.sent) == 2
            await rig.gateway.wait_idle()
            assert rig.served[0].status == 200
            assert rig.relay.closed == [rig.relay.sent[0].address]

    run(check)


def test_request_with_dropped_inputs_gets_no_second_attempt():
    """Guards against sends that any replica must reject."""

    async def check():
        route = STAGED._replace(is_resumable=True, max_attempts=2)
        chunks = (b"data: a\n\n",)
        rig = Rig(
            route,
            ScriptedResponse(chunks=chunks, starts_after_s=0.8),
            ScriptedResponse(chunks=chunks),
        )
        hedger = allow_hedging(rig, route)
        for _ in range(100):
            hedger.add_latency(TimeKey(SERVICE, True, 0), 500.0)
        assert (await rig.serve()).status == 200
        assert len(rig.relay.sent) == 1

    run(check)


def test_client_disconnect_cancels_the_request():
    async def check():
        rig = Rig(BOOKING, ScriptedResponse(chunks=(), hangs=True))
        with anyio.move_on_after(0.3):
            await rig.serve()
        assert rig.served[0].code == Code.CALLER_GONE
        assert rig.gateway.in_flight == 0

    run(check)


def test_request_without_a_replica_gets_no_upstream():
    async def check():
        rig = Rig(BOOKING, vms=())
        exchange = await rig.serve()
        assert exchange.status == Code.NO_UPSTREAM

    run(check)


def test_request_that_cannot_meet_its_deadline_is_rejected_at_arrival():
    async def check():
        rig = Rig(STAGED, ScriptedResponse())
        rig.home.backlogs.record("sms", 30.0)
        started_s = anyio.current_time()
        exchange = await rig.serve()
        assert exchange.status == Code.OVERLOADED
        assert exchange.data == b"no"
        assert anyio.current_time() == started_s
        assert not rig.home.orders

    run(check)


def test_retry_is_due_relative_to_the_first_request():
    async def check():
        rig = Rig(STAGED, ScriptedResponse(), ScriptedResponse())
        await rig.serve()
        rig.wire.request = KEYED._replace(deadline_ms=KEYED.deadline_ms - 2000)
        await rig.serve()
        first, second = rig.home.orders
        gap_s = second.due_s - first.due_s
        # The first request took 0.1 s.
        assert gap_s == pytest.approx(0.1 - 2.0)

    run(check)


def test_stage_deadline_allows_for_later_stages():
    async def check():
        rig = Rig(CHAIN, ScriptedResponse())
        batches = BatchLimits(1, 2, 8, 150.0, 10.0, 1e6, 4.0)
        services = {
            name: GatewayService(name, 0, batches) for name in ("sms", "desk")
        }
        rig.keeper.table.services.update(services)
        rig.wire.request = KEYED._replace(piece_counts=(2, 1, 0))
        await rig.serve()
        due_s = {order.service: order.due_s for order in rig.home.orders}
        # A call of two pieces takes 0.17 s; the wait for one of two replicas,
        # which are each busy for 0.23 s, takes 0.077 s.
        gap_s = due_s["desk"] - due_s["sms"]
        assert gap_s == pytest.approx(0.17 + 0.23 / 3)

    run(check)


def test_request_for_too_many_pieces_is_rejected():
    async def check():
        rig = Rig(STAGED)
        rig.wire.request = KEYED._replace(piece_counts=(MAX_PIECES + 1,))
        assert (await rig.serve()).status == Code.BAD_REQUEST
        assert not rig.home.orders

    run(check)


def test_request_is_rejected_at_once_if_a_stage_is_evacuated():
    async def check():
        rig = Rig(STAGED, ScriptedResponse())
        policy = rig.gateway.policy
        pool = policy.pool
        policy.pool = lambda name: () if name == "sms" else pool(name)
        policy.is_evacuated = lambda service: True
        exchange = await rig.serve()
        assert exchange.status == Code.NO_UPSTREAM
        assert exchange.data == b"no"
        assert not rig.home.orders
        assert not rig.relay.sent

    run(check)


REGIONS = {"lahore-1": "north", "south-1": "south"}


def as_regions(names):
    return None if names is None else frozenset(names)


@pytest.mark.parametrize(
    ("route_regions", "owner_regions", "place"),
    [
        (None, None, "any"),
        ({"south"}, None, "south-1"),
        (None, {"north"}, "lahore-1"),
        ({"south", "north"}, {"south"}, "south-1"),
        ({"north"}, {"south"}, ""),
        (set(), None, ""),
        ({"west"}, None, ""),
    ],
)
def test_request_and_its_pieces_run_only_in_permitted_places(
    route_regions, owner_regions, place
):
    """Guards against data leaving its permitted regions."""

    async def check():
        rig = Rig(
            STAGED._replace(regions=as_regions(route_regions)),
            ScriptedResponse(),
        )
        owner = rig.keeper.table.owners["k1"]
        rig.keeper.table.owners["k1"] = owner._replace(
            regions=as_regions(owner_regions)
        )
        vms = [
            make_vm("v1"),
            make_vm("v2")._replace(place="south-1"),
            make_vm("v3")._replace(place="west-1"),
        ]
        policy = rig.gateway.policy
        policy.regions = REGIONS
        policy.pool = lambda service: vms
        exchange = await rig.serve()
        if not place:
            assert exchange.status == Code.NO_UPSTREAM
            assert exchange.data == b"no"
            assert not rig.home.orders
            return
        assert exchange.status == 200
        places = {vm.address: vm.place for vm in vms}
        used = places[rig.relay.sent[0].address]
        assert place in ("any", used)
        permitted = None if place == "any" else frozenset({place})
        assert rig.home.orders[0].places == permitted

    run(check)


def test_stage_without_a_permitted_replica_refuses_the_request():
    async def check():
        rig = Rig(
            STAGED._replace(regions=frozenset({"north"})), ScriptedResponse()
        )
        policy = rig.gateway.policy
        policy.regions = REGIONS
        south = make_vm("v2")._replace(place="south-1")
        policy.pool = lambda name: [south if name == "sms" else make_vm("v1")]
        exchange = await rig.serve()
        assert exchange.status == Code.NO_UPSTREAM
        assert not rig.home.orders

    run(check)


def test_completed_request_names_the_version_that_handled_it():
    async def check():
        rig = Rig(BOOKING, ScriptedResponse(), ScriptedResponse())
        await rig.serve()
        newer = RouteTable(rig.keeper.version + 2, rig.keeper.table.routes)
        rig.keeper.parse = lambda text: newer
        rig.keeper.offer("", 9, "10.0.0.9:7700", 2)
        await rig.serve()
        assert [each.config_version for each in rig.served] == [
            newer.version - 2,
            newer.version,
        ]
        assert rig.served[1].config_origin.era == 2
        assert rig.served[1].config_origin.source == "10.0.0.9:7700"

    run(check)

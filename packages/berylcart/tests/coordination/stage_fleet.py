"""Simulate a load on a gateway with few replicas for its stages.

There is no network. The replicas follow the limits of their services: one call
at a time, memory for results until these are freed or expire, inputs read at
the start of a call.
"""

import random
from collections import Counter
from contextlib import asynccontextmanager, contextmanager
from typing import NamedTuple

import anyio
import trio
from berylcart.coordination.gateway.batch_selection import batch_duration_s
from berylcart.coordination.gateway.batcher import Batcher
from berylcart.coordination.gateway.forwarder import (
    Forwarder,
)
from berylcart.coordination.gateway.gateway import Gateway
from berylcart.coordination.gateway.gateway_policy import GatewayPolicy
from berylcart.coordination.gateway.order_router import OrderRouter
from berylcart.coordination.gateway.replica_pauses import ReplicaPauses
from berylcart.coordination.gateway.retry_window import RetryWindow
from berylcart.coordination.gateway.route_table_holder import RouteTableHolder
from berylcart.coordination.gateway.stage_executor import StageExecutor
from berylcart.state.relay_messages import PieceFailure, PieceResult
from berylcart.state.routes import (
    BatchLimits,
    EngineLimits,
    GatewayService,
    KeyOwner,
    Route,
    RouteTable,
)
from berylcart.state.vm import Vm, VmRole, VmState

from .gateway_fakes import (
    SERVICE,
    FakeExchange,
    FakeWire,
    ScriptedResponse,
    make_request,
    make_request_limits,
)

HOST = "host"
# Time to the first event of a lightly loaded engine, and of the rest of the
# stream.
FIRST_EVENT_S = 0.24
STREAM_S = 0.5


@contextmanager
def deterministic_scheduling(seed):
    """Make trio's scheduling order the same in each run.

    Trio has no public option for it; hypothesis sets the same two names.
    """
    scheduler = trio._core._run
    was_deterministic = scheduler._ALLOW_DETERMINISTIC_SCHEDULING
    scheduler._ALLOW_DETERMINISTIC_SCHEDULING = True
    scheduler._r.seed(seed)
    try:
        yield
    finally:
        scheduler._ALLOW_DETERMINISTIC_SCHEDULING = was_deterministic


class StageService(NamedTuple):
    """Describe a service that processes pieces."""

    limits: BatchLimits
    replicas: int


class Load(NamedTuple):
    """Describe the requests of one route."""

    route: Route
    per_s: float
    piece_counts: tuple[int, ...]


class Replica:
    """Process one call at a time and hold results."""

    def __init__(self, limits: BatchLimits) -> None:
        self.limits = limits
        self.turn = anyio.Lock()
        self.results: dict[str, tuple[int, float]] = {}

    def holds(self, handle: str) -> bool:
        """Return whether a result is held and has not expired."""
        held = self.results.get(handle)
        return held is not None and held[1] > anyio.current_time()

    def used_bytes(self) -> int:
        """Return the memory used by results."""
        now_s = anyio.current_time()
        return sum(
            size for size, end_s in self.results.values() if end_s > now_s
        )


class Fleet:
    """Run a gateway's stages on simulated replicas and a simulated clock."""

    def __init__(
        self,
        services: dict[str, StageService],
        loads,
        seed=1,
        places=("lahore-1",),
    ):
        self.services = services
        self.loads = loads
        self.random = random.Random(seed)
        self.replicas: dict[str, Replica] = {}
        self.vms: dict[str, list[Vm]] = {}
        self.result_bytes = {
            (index, stage.service): stage.result_bytes
            for load in loads
            for index, stage in enumerate(load.route.stages)
        }
        self.on_time: Counter[str] = Counter()
        self.sent: Counter[str] = Counter()
        self.completed: Counter[str] = Counter()
        self.missing_inputs = 0
        self.first_event_s = FIRST_EVENT_S
        for name, service in services.items():
            self.vms[name] = [
                make_replica(name, number, places[number % len(places)])
                for number in range(service.replicas)
            ]
            for vm in self.vms[name]:
                self.replicas[vm.address] = Replica(service.limits)
        self.vms[SERVICE] = [
            make_replica(SERVICE, number, places[number % len(places)])
            for number in range(5)
        ]
        self.place_by_address = {
            vm.address: vm.place for vms in self.vms.values() for vm in vms
        }
        self.keeper = make_route_keeper(services, loads)
        self.batchers: dict[str, Batcher] = {}
        self.budget = RetryWindow(0.2, 10.0, 54, lambda: 1)
        self.request_limits = make_request_limits()
        policy = GatewayPolicy(
            self.keeper,
            self.pool,
            self.budget,
            random.Random(1),
            self.request_limits,
        )
        self.home = OrderRouter("d1", None, list, self.batcher_of)
        stages = StageExecutor(self.home, self.spawn, self.place_of)
        wire = FleetWire()
        self.gateway = Gateway(
            self.keeper, wire, policy, Forwarder(self, policy, wire), stages
        )
        self.tasks = None

    def pool(self, service):
        """Return the replicas of a service."""
        return tuple(self.vms.get(service, ()))

    def place_of(self, handle):
        """Return the place of the replica that holds a result."""
        return self.place_by_address[self.holder_address(handle)]

    def limits(self, service):
        """Return a service's limits."""
        info = self.services.get(service)
        return None if info is None else info.limits

    def batcher_of(self, service):
        """Return a service's batcher, started at its first use."""
        if service not in self.batchers:
            batcher = Batcher(
                service,
                self,
                self.budget,
                self.pool,
                self.limits,
                self.request_limits,
                ReplicaPauses(),
                self.drop_inputs,
            )
            self.batchers[service] = batcher
            self.spawn(batcher.run)
        return self.batchers[service]

    def drop_inputs(self, handles, is_spare=False):
        """Free results of any stages."""
        groups = {}
        for handle in handles:
            service = handle.split("-")[0]
            groups.setdefault(service, []).append(handle)
        for service, group in groups.items():
            self.spawn(self.home.free, service, group, is_spare)

    def spawn(self, function, *args):
        """Run a function in a background task."""
        self.tasks.start_soon(function, *args)

    async def run_pieces(self, vm, pieces):
        """Process pieces once the replica is free."""
        replica = self.replicas[vm.address]
        async with replica.turn:
            results = [self.begin(vm, each.piece) for each in pieces]
            time_s = batch_duration_s(replica.limits, len(pieces))
            await anyio.sleep(time_s)
            end_s = anyio.current_time() + replica.limits.keep_s
            for result in results:
                if result.handle:
                    size, _ = replica.results[result.handle]
                    replica.results[result.handle] = (size, end_s)
        self.completed[vm.service] += sum(
            bool(each.handle) for each in results
        )
        return results

    def begin(self, vm, piece):
        """Reserve memory for a result if the piece's inputs exist."""
        replica = self.replicas[vm.address]
        for handle in piece.inputs:
            if not self.replicas[self.holder_address(handle)].holds(handle):
                self.missing_inputs += 1
                return PieceResult(failure=PieceFailure.GONE)
        size = self.result_bytes[piece.stage, vm.service]
        if replica.used_bytes() + size > replica.limits.room_bytes:
            return PieceResult(failure=PieceFailure.ROOM)
        handle = (
            f"{vm.address}/{piece.request_id}-{piece.stage}.{piece.number}"
        )
        replica.results[handle] = (size, float("inf"))
        return PieceResult(handle)

    def holder_address(self, handle):
        """Return the address in a handle."""
        return handle.partition("/")[0]

    async def free_results(self, vm, handles):
        """Free results."""
        for handle in handles:
            self.replicas[vm.address].results.pop(handle, None)

    @asynccontextmanager
    async def exchange(self, request, on_sent=lambda: None):
        """Stream an engine's answer."""
        on_sent()
        yield Engine(self.first_event_s)

    async def simulate(self, length_s, warm_up_s=0.0):
        """Send each route's requests at random times."""
        async with anyio.create_task_group() as self.tasks:
            async with anyio.create_task_group() as callers:
                for load in self.loads:
                    callers.start_soon(
                        self.send_all, load, length_s, warm_up_s
                    )
            self.tasks.cancel_scope.cancel()

    async def send_all(self, load, length_s, warm_up_s):
        """Send the requests of one route."""
        random_source = random.Random(self.random.random())
        start_s = anyio.current_time()
        async with anyio.create_task_group() as requests:
            number = 0
            while anyio.current_time() < start_s + length_s:
                await anyio.sleep(random_source.expovariate(load.per_s))
                number += 1
                is_counted = anyio.current_time() >= start_s + warm_up_s
                name = f"{load.route.name}{number}"
                requests.start_soon(self.send, load, name, is_counted)

    async def send(self, load, name, is_counted):
        """Send one request and record whether it was on time."""
        route = load.route
        exchange = FleetExchange(
            make_request(
                request_id=name,
                target=route.path_prefix,
                host=HOST,
                deadline_ms=route.timeout_ms,
                api_key="k1",
                piece_counts=load.piece_counts,
                piece_key="key",
            )
        )
        await self.gateway.handle(exchange)
        self.sent[route.name] += is_counted
        if exchange.first_s is not None:
            latency_s = exchange.first_s - exchange.received_at_s
            is_on_time = latency_s * 1000 <= route.target_ms
            self.on_time[route.name] += is_counted and is_on_time

    def on_time_share(self, name):
        """Return the share of a route's requests that were on time."""
        return self.on_time[name] / self.sent[name]


class Engine(ScriptedResponse):
    """Stream an answer."""

    def __init__(self, first_event_s):
        super().__init__()
        self.times_s = [first_event_s, STREAM_S]
        self.chunks = [b"first", b"last"]

    async def read(self):
        """Return the next event."""
        if self.times_s:
            await anyio.sleep(self.times_s.pop(0))
        return await super().read()


class FleetExchange(FakeExchange):
    """Record when the first event was sent."""

    def __init__(self, request):
        super().__init__(request.target)
        self.request = request
        self.head = request
        self.first_s = None

    async def send(self, data):
        """Record the first data of a successful answer."""
        if self.first_s is None and self.status == 200:
            self.first_s = anyio.current_time()


class FleetWire(FakeWire):
    """Return the request that the exchange holds."""

    def parse_request(self, head, body):
        """Return the request."""
        return head


def make_replica(service, number, place):
    """Describe a replica."""
    name = f"{service}-{number}"
    return Vm(
        name,
        1,
        name,
        place,
        VmRole.UPSTREAM,
        service,
        VmState.LIVE,
        name,
    )


def make_route_keeper(services, loads):
    """Build a route keeper with the loads' routes."""
    infos = {
        name: GatewayService(name, 0, service.limits)
        for name, service in services.items()
    }
    infos[SERVICE] = GatewayService(SERVICE, 0, None, EngineLimits(64, 10**6))
    table = RouteTable(
        1,
        tuple(load.route for load in loads),
        infos,
        {"k1": KeyOwner("counter", 1)},
        has_workspaces=True,
    )
    keeper = RouteTableHolder(lambda text: table)
    keeper.offer("text", 1, "test")
    return keeper

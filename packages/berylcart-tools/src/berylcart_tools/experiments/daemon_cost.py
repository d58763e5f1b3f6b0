"""Measure the overhead of one daemon against calling an upstream directly."""

import json
from functools import partial
from typing import NamedTuple, TypedDict

import anyio
from berylcart.transport.http_client import (
    HttpClient,
    HttpError,
    HttpRequest,
)

from berylcart_tools.experiments.deployments import AUTHORITY, Deployment
from berylcart_tools.experiments.fleet import (
    Fleet,
    find_service_upstreams,
    running_fleet,
)
from berylcart_tools.experiments.layout import entry_name
from berylcart_tools.experiments.outcomes import Quantiles, quantiles

MS_PER_S = 1000
SERVICE = "roster"
PACED_RATE = 50.0
PACED_CALLS = 400
CLOSED_LOOP_CALLERS = 32
SATURATED_S = 5.0
TIMEOUT_MS = 5000
STATUS_OK = 200


class PathCost(TypedDict):
    """Hold the latency and throughput measured on one path."""

    paced: Quantiles
    failed: int
    saturated_per_s: float


class DaemonCost(TypedDict):
    """Hold the results of direct calls and of calls through a daemon."""

    seed: int
    direct: PathCost
    daemon: PathCost
    added_p50_ms: float
    added_p99_ms: float
    daemon_cpu_ms_per_call: float
    daemon_memory_mb: float


class CallTemplate(NamedTuple):
    """Define the HTTP request that is repeated on one path."""

    address: str
    path: str
    body: bytes
    headers: tuple[tuple[str, str], ...] = ()

    def request(self) -> HttpRequest:
        """Build the HTTP request."""
        return HttpRequest(
            "POST",
            self.address,
            self.path,
            self.body,
            self.headers,
            TIMEOUT_MS,
        )


def single_place_deployment() -> Deployment:
    """Describe a deployment of one place with one replica per service."""
    services = tuple(s._replace(replicas=1) for s in AUTHORITY.services)
    return AUTHORITY._replace(places=AUTHORITY.places[:1], services=services)


def direct_call(fleet: Fleet) -> CallTemplate:
    """Define a call to an upstream in the form that daemons send."""
    upstream = find_service_upstreams(fleet.layout, SERVICE)[0]
    body = {
        "attempt_id": "a",
        "request_id": "r",
        "workspace": "counters",
        "service": SERVICE,
        "payload": {"slot": 1},
        "deadline_ms": TIMEOUT_MS,
        "stream": False,
        "start_offset": 0,
        "priority": 0,
        "idempotency_key": "",
    }
    return CallTemplate(upstream.address, "/v1/run", json.dumps(body).encode())


def daemon_call(fleet: Fleet) -> CallTemplate:
    """Define a call to the same service through the first daemon."""
    headers = (("Workspace", "counters"), ("Deadline-Ms", str(TIMEOUT_MS)))
    address = fleet.layout.entry_addresses[0]
    body = json.dumps({"slot": 1}).encode()
    return CallTemplate(address, f"/v1/services/{SERVICE}", body, headers)


class LatencyProbe:
    """Send calls on one path and record their latencies and failures."""

    def __init__(self, client: HttpClient, template: CallTemplate) -> None:
        self.client = client
        self.template = template
        self.latencies_ms: list[float] = []
        self.failed = 0

    async def call(self, scheduled_s: float) -> None:
        """Send one call; its latency counts from the scheduled time."""
        try:
            answer = await self.client.request(self.template.request())
        except HttpError:
            self.failed += 1
            return
        if answer.status != STATUS_OK:
            self.failed += 1
            return
        latency_s = anyio.current_time() - scheduled_s
        self.latencies_ms.append(latency_s * MS_PER_S)

    async def run_open_loop(self) -> None:
        """Send calls at a constant rate, regardless of earlier responses."""
        start_s = anyio.current_time()
        async with anyio.create_task_group() as tasks:
            for number in range(PACED_CALLS):
                due_s = start_s + number / PACED_RATE
                await anyio.sleep_until(due_s)
                tasks.start_soon(self.call, due_s)

    async def run_closed_loop(self) -> float:
        """Send calls back to back from several callers; return the rate."""
        before = len(self.latencies_ms)
        with anyio.move_on_after(SATURATED_S):
            async with anyio.create_task_group() as tasks:
                for _ in range(CLOSED_LOOP_CALLERS):
                    tasks.start_soon(self.call_repeatedly)
        return (len(self.latencies_ms) - before) / SATURATED_S

    async def call_repeatedly(self) -> None:
        """Send calls one after another until cancelled."""
        while True:
            await self.call(anyio.current_time())


async def measure_calls(template: CallTemplate) -> PathCost:
    """Measure one path in open and closed loop, after a warm-up."""
    async with HttpClient() as client:
        await LatencyProbe(client, template).run_open_loop()
        probe = LatencyProbe(client, template)
        await probe.run_open_loop()
        paced = quantiles(probe.latencies_ms)
        failed = probe.failed
        rate = await LatencyProbe(client, template).run_closed_loop()
    return PathCost(paced=paced, failed=failed, saturated_per_s=rate)


async def measure_direct_and_daemon(seed: int) -> DaemonCost:
    """Measure a direct path and one through a daemon on the same fleet."""
    async with running_fleet(
        single_place_deployment(), "berylcart", seed
    ) as fleet:
        await anyio.sleep(1.0)
        direct = await measure_calls(direct_call(fleet))
        before_s = fleet.group.cpu_s(entry_name(0))
        daemon = await measure_calls(daemon_call(fleet))
        cpu_s = fleet.group.cpu_s(entry_name(0)) - before_s
        memory_mb = fleet.group.memory_mb(entry_name(0))
    calls = 2 * PACED_CALLS + daemon["saturated_per_s"] * SATURATED_S
    added = {
        name: round(daemon["paced"][name] - direct["paced"][name], 2)
        for name in ("p50_ms", "p99_ms")
    }
    return DaemonCost(
        seed=seed,
        direct=direct,
        daemon=daemon,
        added_p50_ms=added["p50_ms"],
        added_p99_ms=added["p99_ms"],
        daemon_cpu_ms_per_call=round(cpu_s * MS_PER_S / calls, 3),
        daemon_memory_mb=round(memory_mb, 1),
    )


def run_daemon_cost(seed: int) -> DaemonCost:
    """Run the daemon overhead experiment."""
    return anyio.run(partial(measure_direct_and_daemon, seed))

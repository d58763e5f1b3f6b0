"""Measure what one daemon adds to a call, against a direct call."""

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
    find_upstreams,
    running_fleet,
)
from berylcart_tools.experiments.layout import entry_name
from berylcart_tools.experiments.outcomes import Quantiles, quantiles

MS_PER_S = 1000
SERVICE = "roster"
PACED_RATE = 50.0
PACED_CALLS = 400
CALLERS = 32
SATURATED_S = 5.0
TIMEOUT_MS = 5000
STATUS_OK = 200


class PathCost(TypedDict):
    """Hold what was measured on one path."""

    paced: Quantiles
    failed: int
    saturated_per_s: float


class DaemonCost(TypedDict):
    """Compare calls through one daemon with direct ones."""

    seed: int
    direct: PathCost
    daemon: PathCost
    added_p50_ms: float
    added_p99_ms: float
    daemon_cpu_ms_per_call: float
    daemon_memory_mb: float


class Path(NamedTuple):
    """Describe the call of one path."""

    address: str
    path: str
    body: bytes
    headers: tuple[tuple[str, str], ...] = ()

    def request(self) -> HttpRequest:
        """Write the call."""
        return HttpRequest(
            "POST",
            self.address,
            self.path,
            self.body,
            self.headers,
            TIMEOUT_MS,
        )


def one_place() -> Deployment:
    """Describe a deployment without distances or spare replicas."""
    services = tuple(s._replace(replicas=1) for s in AUTHORITY.services)
    return AUTHORITY._replace(places=AUTHORITY.places[:1], services=services)


def direct_path(fleet: Fleet) -> Path:
    """Call a stand-in as a daemon does."""
    upstream = find_upstreams(fleet.layout, SERVICE)[0]
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
    return Path(upstream.address, "/v1/run", json.dumps(body).encode())


def daemon_path(fleet: Fleet) -> Path:
    """Call the same service through the first entry."""
    headers = (("Workspace", "counters"), ("Deadline-Ms", str(TIMEOUT_MS)))
    address = fleet.layout.entry_addresses[0]
    body = json.dumps({"slot": 1}).encode()
    return Path(address, f"/v1/services/{SERVICE}", body, headers)


class Probe:
    """Call one path and keep the latencies."""

    def __init__(self, client: HttpClient, path: Path) -> None:
        self.client = client
        self.path = path
        self.latencies_ms: list[float] = []
        self.failed = 0

    async def call(self, intended_s: float) -> None:
        """Call once; the latency counts from the intended time."""
        try:
            answer = await self.client.request(self.path.request())
        except HttpError:
            self.failed += 1
            return
        if answer.status != STATUS_OK:
            self.failed += 1
            return
        latency_s = anyio.current_time() - intended_s
        self.latencies_ms.append(latency_s * MS_PER_S)

    async def pace(self) -> None:
        """Call at a steady rate, however the calls fare."""
        start_s = anyio.current_time()
        async with anyio.create_task_group() as tasks:
            for number in range(PACED_CALLS):
                due_s = start_s + number / PACED_RATE
                await anyio.sleep_until(due_s)
                tasks.start_soon(self.call, due_s)

    async def saturate(self) -> float:
        """Call without pause from several callers; give the rate."""
        before = len(self.latencies_ms)
        with anyio.move_on_after(SATURATED_S):
            async with anyio.create_task_group() as tasks:
                for _ in range(CALLERS):
                    tasks.start_soon(self.repeat)
        return (len(self.latencies_ms) - before) / SATURATED_S

    async def repeat(self) -> None:
        """Call again and again."""
        while True:
            await self.call(anyio.current_time())


async def measure(path: Path) -> PathCost:
    """Measure one path, paced and saturated."""
    async with HttpClient() as client:
        await Probe(client, path).pace()
        probe = Probe(client, path)
        await probe.pace()
        paced = quantiles(probe.latencies_ms)
        failed = probe.failed
        rate = await Probe(client, path).saturate()
    return PathCost(paced=paced, failed=failed, saturated_per_s=rate)


async def measure_both(seed: int) -> DaemonCost:
    """Measure a direct path and one through a daemon, in one run."""
    async with running_fleet(one_place(), "berylcart", seed) as fleet:
        await anyio.sleep(1.0)
        direct = await measure(direct_path(fleet))
        before_s = fleet.group.cpu_s(entry_name(0))
        daemon = await measure(daemon_path(fleet))
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
    """Run the measurement."""
    return anyio.run(partial(measure_both, seed))

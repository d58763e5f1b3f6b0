"""Run one deployment as real processes on loopback."""

import json
import secrets
import tempfile
from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any, NamedTuple

import anyio
from berylcart.protocol.vm_messages import write_vm
from berylcart.state.config import FORMAT_VERSION, ServiceKind
from berylcart.state.records import CONFIG_STREAM, Publication
from berylcart.state.vm import Vm, VmRole, VmState
from berylcart.transport.http_client import (
    HttpClient,
    HttpError,
    HttpRequest,
)
from berylcart.transport.log_client import HttpLog
from pydantic_core import from_json

from berylcart_tools.experiments.delay_relay import Route
from berylcart_tools.experiments.deployments import (
    ENTRY_COUNT,
    Deployment,
    ServiceSpec,
    config_text,
)
from berylcart_tools.experiments.processes import ProcessGroup, free_ports

READY_TIMEOUT_S = 30.0
POLL_S = 0.1
ADMIN_TIMEOUT_MS = 5000
STATUS_OK = 200
TOOLS = "berylcart_tools.main"
DAEMON = "berylcart_daemon.main"
RELAY = "berylcart_tools.experiments.delay_relay"
POOL_KINDS = (
    ServiceKind.ENCODER,
    ServiceKind.RETRIEVER,
    ServiceKind.RERANKER,
)


class Upstream(NamedTuple):
    """Locate one stand-in upstream."""

    vm_id: str
    spec: ServiceSpec
    place: str
    port: int

    @property
    def address(self) -> str:
        """Give the address without any delay."""
        return f"127.0.0.1:{self.port}"


class Layout(NamedTuple):
    """Hold every address of a running deployment.

    Each place has its own VM list, which shows the addresses of the relays
    that stand for the distance from that place.
    """

    deployment: Deployment
    log_address: str
    vm_lists: dict[str, str]
    upstreams: tuple[Upstream, ...]
    entry_ports: tuple[int, ...]
    peer_ports: tuple[int, ...]
    relay_ports: dict[tuple[str, str], int]

    def entry_place(self, number: int) -> str:
        """Give an entry's place."""
        places = self.deployment.places
        return places[number % len(places)]

    @property
    def entry_addresses(self) -> tuple[str, ...]:
        """Give the addresses of all entries."""
        return tuple(f"127.0.0.1:{port}" for port in self.entry_ports)


def entry_name(number: int) -> str:
    """Name an entry's process.

    >>> entry_name(0)
    'entry-1'
    """
    return f"entry-{number + 1}"


def make_layout(deployment: Deployment) -> Layout:
    """Take a free port for every process and relay."""
    places = deployment.places
    specs = [
        (spec, number)
        for spec in deployment.services
        for number in range(spec.replicas)
    ]
    count = 1 + len(places) + len(specs) * (1 + len(places)) + 2 * ENTRY_COUNT
    ports = iter(free_ports(count))
    upstreams = tuple(
        Upstream(
            f"{spec.name}-{number + 1}",
            spec,
            places[number % len(places)],
            next(ports),
        )
        for spec, number in specs
    )
    return Layout(
        deployment,
        f"127.0.0.1:{next(ports)}",
        {place: f"127.0.0.1:{next(ports)}" for place in places},
        upstreams,
        tuple(next(ports) for _ in range(ENTRY_COUNT)),
        tuple(next(ports) for _ in range(ENTRY_COUNT)),
        {
            (place, one.vm_id): next(ports)
            for place in places
            for one in upstreams
            if one.place != place
        },
    )


def settings_text(layout: Layout, number: int, policy: str, seed: int) -> str:
    """Write one daemon's settings."""
    place = layout.entry_place(number)
    seeds = ", ".join(f'"127.0.0.1:{port}"' for port in layout.peer_ports[:3])
    return f"""
[daemon]
id = "{entry_name(number)}"
place = "{place}"
http_address = "127.0.0.1:{layout.entry_ports[number]}"
peer_address = "127.0.0.1:{layout.peer_ports[number]}"

[platform]
log_address = "{layout.log_address}"
vm_list_address = "{layout.vm_lists[place]}"

[peers]
seeds = [{seeds}]

[policy]
name = "{policy}"
seed = {seed + number}
"""


def upstream_arguments(upstream: Upstream) -> list[str]:
    """Write the command line of one upstream stand-in."""
    spec = upstream.spec
    if spec.kind is ServiceKind.ENGINE:
        kind = ["engine"]
    elif spec.kind in POOL_KINDS:
        kind = ["pool", "--kind", spec.kind.value]
    else:
        kind = ["plain"]
    return [
        "standin",
        *kind,
        "--service",
        spec.name,
        "--place",
        upstream.place,
        "--vm-id",
        upstream.vm_id,
        "--incarnation",
        "1",
        "--address",
        upstream.address,
        "--capacity",
        str(spec.capacity),
        "--step-ms",
        str(spec.step_ms),
    ]


def relay_routes(layout: Layout, place: str) -> list[Route]:
    """List the relays from one place to the others."""
    return [
        Route(
            layout.relay_ports[place, one.vm_id],
            one.address,
            layout.deployment.delay_ms,
        )
        for one in layout.upstreams
        if one.place != place
    ]


def vm_seen_from(layout: Layout, upstream: Upstream, place: str) -> Vm:
    """Describe an upstream at the address that a place reaches it by."""
    port = layout.relay_ports.get((place, upstream.vm_id), upstream.port)
    return Vm(
        upstream.vm_id,
        1,
        f"127.0.0.1:{port}",
        upstream.place,
        VmRole.UPSTREAM,
        upstream.spec.name,
        VmState.LIVE,
        f"{upstream.vm_id}/1",
    )


def entry_vm(layout: Layout, number: int) -> Vm:
    """Describe the VM of one daemon."""
    name = entry_name(number)
    return Vm(
        name,
        1,
        layout.entry_addresses[number],
        layout.entry_place(number),
        VmRole.ENTRY,
        "",
        VmState.LIVE,
        name,
    )


class Fleet:
    """Control one running deployment."""

    def __init__(
        self, layout: Layout, group: ProcessGroup, client: HttpClient
    ) -> None:
        self.layout = layout
        self.group = group
        self.client = client

    async def set_faults(self, address: str, faults: dict[str, Any]) -> None:
        """Switch a stand-in's failures."""
        body = json.dumps(faults).encode()
        await self.client.request(
            HttpRequest(
                "PUT",
                address,
                "/admin/faults",
                body,
                timeout_ms=ADMIN_TIMEOUT_MS,
            )
        )

    async def witness(self, upstream: Upstream) -> list[dict[str, Any]]:
        """Fetch what one upstream ran; nothing when it is gone."""
        request = HttpRequest(
            "GET",
            upstream.address,
            "/admin/witness",
            timeout_ms=ADMIN_TIMEOUT_MS,
        )
        try:
            answer = await self.client.request(request)
        except HttpError:
            return []
        runs: list[dict[str, Any]] = from_json(answer.body)["runs"]
        return runs

    async def runs_by_service(self) -> dict[str, int]:
        """Count the attempts that the stand-ins ran, by service."""
        counts: dict[str, int] = {}
        for upstream in self.layout.upstreams:
            runs = await self.witness(upstream)
            name = upstream.spec.name
            counts[name] = counts.get(name, 0) + len(runs)
        return counts

    async def cpu_by_entry(self) -> list[float]:
        """Read the processor time of each daemon in seconds."""
        return [
            self.group.cpu_s(entry_name(number))
            for number in range(ENTRY_COUNT)
        ]

    async def register_vms(self) -> None:
        """Put every upstream and entry into the VM list of every place."""
        for place, address in self.layout.vm_lists.items():
            for upstream in self.layout.upstreams:
                vm = vm_seen_from(self.layout, upstream, place)
                await self.register(address, vm)
            for number in range(ENTRY_COUNT):
                await self.register(address, entry_vm(self.layout, number))

    async def register(self, vm_list: str, vm: Vm) -> None:
        """Put one VM into one VM list."""
        await self.client.request(
            HttpRequest(
                "PUT",
                vm_list,
                f"/v1/vms/{vm.vm_id}",
                write_vm(vm),
                timeout_ms=ADMIN_TIMEOUT_MS,
            )
        )

    async def publish(self) -> None:
        """Append the deployment's configuration to the log."""
        log = HttpLog(self.layout.log_address, self.client)
        text = config_text(self.layout.deployment)
        publication = Publication(
            secrets.token_hex(8), None, FORMAT_VERSION, text
        )
        await log.append(CONFIG_STREAM, [publication])

    async def wait_for(self, address: str, path: str) -> None:
        """Wait until an address answers 200."""
        request = HttpRequest("GET", address, path, timeout_ms=1000)
        with anyio.fail_after(READY_TIMEOUT_S):
            while not await self.answers(request):
                self.group.check_alive()
                await anyio.sleep(POLL_S)

    async def read_status(self, address: str) -> dict[str, Any]:
        """Fetch what a daemon knows; raises HttpError."""
        request = HttpRequest(
            "GET", address, "/v1/status", timeout_ms=ADMIN_TIMEOUT_MS
        )
        answer = await self.client.request(request)
        status: dict[str, Any] = from_json(answer.body)
        return status

    async def wait_for_pools(self, address: str) -> None:
        """Wait until a daemon knows every upstream and every daemon."""
        with anyio.fail_after(READY_TIMEOUT_S):
            while True:
                if self.is_complete(await self.read_status(address)):
                    return
                await anyio.sleep(POLL_S)

    def is_complete(self, status: dict[str, Any]) -> bool:
        """Say whether a status shows the whole deployment."""
        replicas = sum(len(pool) for pool in status["pools"].values())
        daemons = sum(member["takes_callers"] for member in status["members"])
        has_replicas = replicas == len(self.layout.upstreams)
        return has_replicas and daemons == ENTRY_COUNT

    async def answers(self, request: HttpRequest) -> bool:
        """Say whether a request is answered with 200."""
        try:
            answer = await self.client.request(request)
        except HttpError:
            return False
        return answer.status == STATUS_OK


def start_platform(group: ProcessGroup, layout: Layout) -> None:
    """Start the log and the VM lists."""
    group.start(
        "log", TOOLS, ["standin", "log", "--address", layout.log_address]
    )
    for place, address in layout.vm_lists.items():
        group.start(
            f"vm-list-{place}",
            TOOLS,
            ["standin", "vm-list", "--address", address],
        )


def start_upstreams(group: ProcessGroup, layout: Layout) -> None:
    """Start the upstreams and the relays between places."""
    for upstream in layout.upstreams:
        group.start(upstream.vm_id, TOOLS, upstream_arguments(upstream))
    for place in layout.deployment.places:
        routes = relay_routes(layout, place)
        if routes:
            group.start(f"relay-{place}", RELAY, [json.dumps(routes)])


def start_entries(
    group: ProcessGroup, layout: Layout, policy: str, seed: int
) -> None:
    """Start the daemons."""
    for number in range(ENTRY_COUNT):
        path = group.directory / f"{entry_name(number)}.toml"
        path.write_text(settings_text(layout, number, policy, seed))
        group.start(entry_name(number), DAEMON, ["--settings", str(path)])


async def start_all(fleet: Fleet, policy: str, seed: int) -> None:
    """Start everything and wait until every daemon is ready."""
    layout, group = fleet.layout, fleet.group
    start_platform(group, layout)
    start_upstreams(group, layout)
    start_entries(group, layout, policy, seed)
    await fleet.wait_for(
        layout.log_address, f"/v1/streams/{CONFIG_STREAM}/records?offset=-1"
    )
    for address in layout.vm_lists.values():
        await fleet.wait_for(address, "/v1/vms")
    await fleet.publish()
    await fleet.register_vms()
    for upstream in layout.upstreams:
        await fleet.wait_for(upstream.address, "/v1/load")
    for address in layout.entry_addresses:
        await fleet.wait_for(address, "/readyz")
        await fleet.wait_for_pools(address)


@asynccontextmanager
async def running_fleet(
    deployment: Deployment, policy: str, seed: int
) -> AsyncIterator[Fleet]:
    """Run a deployment while the block runs, and stop all of it."""
    layout = make_layout(deployment)
    with tempfile.TemporaryDirectory(prefix="berylcart-") as directory:
        group = ProcessGroup(Path(directory))
        async with HttpClient() as client:
            fleet = Fleet(layout, group, client)
            try:
                await start_all(fleet, policy, seed)
                yield fleet
            finally:
                with anyio.CancelScope(shield=True):
                    await group.stop()


def find_upstreams(layout: Layout, service: str) -> Sequence[Upstream]:
    """List the upstreams of one service."""
    return [one for one in layout.upstreams if one.spec.name == service]

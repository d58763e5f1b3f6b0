"""Run a deployment as real processes on the loopback interface."""

import json
import secrets
import tempfile
from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import anyio
from berylcart.protocol.vm_messages import write_vm
from berylcart.state.config import FORMAT_VERSION
from berylcart.state.records import CONFIG_STREAM, Publication
from berylcart.state.vm import Vm
from berylcart.transport.http_client import (
    HttpClient,
    HttpError,
    HttpRequest,
)
from berylcart.transport.log_client import HttpLog
from pydantic_core import from_json

from berylcart_tools.experiments.deployments import (
    ENTRY_COUNT,
    Deployment,
    config_text,
)
from berylcart_tools.experiments.layout import (
    Layout,
    Upstream,
    allocate_layout,
    daemon_settings_text,
    entry_name,
    entry_vm,
    relay_routes,
    upstream_arguments,
    upstream_vm,
)
from berylcart_tools.experiments.processes import ProcessGroup

READY_TIMEOUT_S = 30.0
POLL_INTERVAL_S = 0.1
ADMIN_TIMEOUT_MS = 5000
STATUS_OK = 200
TOOLS_MODULE = "berylcart_tools.main"
DAEMON_MODULE = "berylcart_daemon.main"
RELAY_MODULE = "berylcart_tools.experiments.delay_relay"


class Fleet:
    """Control a running deployment."""

    def __init__(
        self, layout: Layout, group: ProcessGroup, client: HttpClient
    ) -> None:
        self.layout = layout
        self.group = group
        self.client = client

    async def set_faults(self, address: str, faults: dict[str, Any]) -> None:
        """Set the faults that a stand-in injects."""
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

    async def fetch_executions(
        self, upstream: Upstream
    ) -> list[dict[str, Any]]:
        """Fetch the executions of an upstream; empty if it does not answer."""
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

    async def count_attempts_by_service(self) -> dict[str, int]:
        """Count the attempts that upstreams executed, by service."""
        counts: dict[str, int] = {}
        for upstream in self.layout.upstreams:
            runs = await self.fetch_executions(upstream)
            name = upstream.spec.name
            counts[name] = counts.get(name, 0) + len(runs)
        return counts

    async def cpu_s_by_entry(self) -> list[float]:
        """Read the CPU time of each entry daemon in seconds."""
        return [
            self.group.cpu_s(entry_name(number))
            for number in range(ENTRY_COUNT)
        ]

    async def register_vms(self) -> None:
        """Register every upstream and entry daemon in each place's VM list."""
        for place, address in self.layout.vm_lists.items():
            for upstream in self.layout.upstreams:
                vm = upstream_vm(self.layout, upstream, place)
                await self.register_vm(address, vm)
            for number in range(ENTRY_COUNT):
                await self.register_vm(address, entry_vm(self.layout, number))

    async def register_vm(self, vm_list: str, vm: Vm) -> None:
        """Register a VM in the VM list at an address."""
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
        """Publish the configuration of the deployment to the log."""
        log = HttpLog(self.layout.log_address, self.client)
        text = config_text(self.layout.deployment)
        publication = Publication(
            secrets.token_hex(8), None, FORMAT_VERSION, text
        )
        await log.append(CONFIG_STREAM, [publication])

    async def wait_for(self, address: str, path: str) -> None:
        """Poll until a path answers with status 200; raise TimeoutError."""
        request = HttpRequest("GET", address, path, timeout_ms=1000)
        with anyio.fail_after(READY_TIMEOUT_S):
            while not await self.responds_ok(request):
                self.group.check_unexpected_exits()
                await anyio.sleep(POLL_INTERVAL_S)

    async def read_status(self, address: str) -> dict[str, Any]:
        """Fetch the status of a daemon; raise HttpError."""
        request = HttpRequest(
            "GET", address, "/v1/status", timeout_ms=ADMIN_TIMEOUT_MS
        )
        answer = await self.client.request(request)
        status: dict[str, Any] = from_json(answer.body)
        return status

    async def wait_for_members(self, address: str) -> None:
        """Poll until a daemon lists all upstreams and daemons."""
        with anyio.fail_after(READY_TIMEOUT_S):
            while True:
                if self.lists_whole_deployment(
                    await self.read_status(address)
                ):
                    return
                await anyio.sleep(POLL_INTERVAL_S)

    def lists_whole_deployment(self, status: dict[str, Any]) -> bool:
        """Tell whether a status lists all upstreams and entry daemons."""
        replicas = sum(len(pool) for pool in status["pools"].values())
        daemons = sum(member["takes_callers"] for member in status["members"])
        has_replicas = replicas == len(self.layout.upstreams)
        return has_replicas and daemons == ENTRY_COUNT

    async def responds_ok(self, request: HttpRequest) -> bool:
        """Tell whether a request is answered with status 200."""
        try:
            answer = await self.client.request(request)
        except HttpError:
            return False
        return answer.status == STATUS_OK


def start_platform(group: ProcessGroup, layout: Layout) -> None:
    """Start the log and one VM list per place."""
    group.start(
        "log",
        TOOLS_MODULE,
        ["standin", "log", "--address", layout.log_address],
    )
    for place, address in layout.vm_lists.items():
        group.start(
            f"vm-list-{place}",
            TOOLS_MODULE,
            ["standin", "vm-list", "--address", address],
        )


def start_upstreams(group: ProcessGroup, layout: Layout) -> None:
    """Start the upstreams and the delay relays between places."""
    for upstream in layout.upstreams:
        group.start(upstream.vm_id, TOOLS_MODULE, upstream_arguments(upstream))
    for place in layout.deployment.places:
        routes = relay_routes(layout, place)
        if routes:
            group.start(f"relay-{place}", RELAY_MODULE, [json.dumps(routes)])


def start_entries(
    group: ProcessGroup, layout: Layout, policy: str, seed: int
) -> None:
    """Write the settings of the entry daemons and start them."""
    for number in range(ENTRY_COUNT):
        path = group.directory / f"{entry_name(number)}.toml"
        path.write_text(daemon_settings_text(layout, number, policy, seed))
        group.start(
            entry_name(number), DAEMON_MODULE, ["--settings", str(path)]
        )


async def start_fleet_processes(fleet: Fleet, policy: str, seed: int) -> None:
    """Start all processes and wait until every daemon is ready."""
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
        await fleet.wait_for_members(address)


@asynccontextmanager
async def running_fleet(
    deployment: Deployment, policy: str, seed: int
) -> AsyncIterator[Fleet]:
    """Run a deployment for the duration of the context."""
    layout = allocate_layout(deployment)
    with tempfile.TemporaryDirectory(prefix="berylcart-") as directory:
        group = ProcessGroup(Path(directory))
        async with HttpClient() as client:
            fleet = Fleet(layout, group, client)
            try:
                await start_fleet_processes(fleet, policy, seed)
                yield fleet
            finally:
                with anyio.CancelScope(shield=True):
                    await group.stop()


def find_service_upstreams(layout: Layout, service: str) -> Sequence[Upstream]:
    """Return the upstreams of a service."""
    return [
        upstream
        for upstream in layout.upstreams
        if upstream.spec.name == service
    ]

"""A system of stand-ins and daemons, run as tasks of one process."""

import secrets
from collections.abc import AsyncIterator, Callable, Coroutine
from contextlib import asynccontextmanager
from functools import partial
from typing import Any

import anyio
from anyio.abc import TaskGroup
from berylcart.state.config import FORMAT_VERSION, ServiceKind
from berylcart.state.records import CONFIG_STREAM, Publication
from berylcart.state.vm import Vm, VmRole, VmState
from berylcart.transport.http_client import HttpClient
from berylcart.transport.log_client import HttpLog
from berylcart.transport.vm_list_client import HttpVmList
from berylcart_daemon.daemon import Daemon
from berylcart_daemon.settings import (
    DaemonSettings,
    PeerSettings,
    PlatformSettings,
    Settings,
    TimingSettings,
)

from berylcart_tools.experiments.deployments import (
    Deployment,
    ServiceSpec,
    config_text,
)
from berylcart_tools.experiments.processes import free_ports
from berylcart_tools.standins.continuous_batching import StepCostModel
from berylcart_tools.standins.engine import EngineSettings, serve_engine
from berylcart_tools.standins.log import LogSettings, serve_log
from berylcart_tools.standins.plain import PlainSettings, serve_plain
from berylcart_tools.standins.pool import PoolSettings, serve_pool
from berylcart_tools.standins.registration import UpstreamSettings
from berylcart_tools.standins.vm_list import VmListSettings, serve_vm_list

DAEMON_COUNT = 3
READY_TIMEOUT_S = 20.0
POLL_INTERVAL_S = 0.02
ANY_PORT_ADDRESS = "127.0.0.1:0"
DRAIN_PHASE_S = 0.2

ServeStandin = Callable[..., Coroutine[Any, Any, None]]


class DemoSystem:
    """Start the components of a deployment as tasks."""

    def __init__(self, deployment: Deployment, client: HttpClient) -> None:
        self.deployment = deployment
        self.client = client
        self.log_address = ""
        self.vm_list_address = ""
        self.daemons: list[Daemon] = []
        self.stop_daemons = anyio.Event()
        self.stop_upstreams = anyio.Event()
        self.stop_platform = anyio.Event()

    async def start_platform(self, tasks: TaskGroup) -> None:
        """Start the stand-ins of the log and the VM list."""
        self.log_address = await self.start_standin(
            tasks, serve_log, LogSettings(ANY_PORT_ADDRESS), self.stop_platform
        )
        self.vm_list_address = await self.start_standin(
            tasks,
            serve_vm_list,
            VmListSettings(ANY_PORT_ADDRESS),
            self.stop_platform,
        )

    async def start_upstreams(self, tasks: TaskGroup) -> None:
        """Start all replicas of all services."""
        for spec in self.deployment.services:
            for number in range(spec.replicas):
                await self.start_upstream(tasks, spec, number)

    async def start_standin(
        self,
        tasks: TaskGroup,
        serve: ServeStandin,
        settings: Any,
        stop: anyio.Event,
    ) -> str:
        """Start one stand-in and return its address."""
        run = partial(serve, stop=stop)
        address: str = await tasks.start(run, settings)
        return address

    async def start_daemons(self, tasks: TaskGroup) -> None:
        """Start the daemons, publish the configuration and await readiness."""
        ports = free_ports(2 * DAEMON_COUNT)
        for number in range(DAEMON_COUNT):
            await self.start_daemon(tasks, number, ports)
        await self.publish()
        await self.wait_until_ready()

    async def start_upstream(
        self, tasks: TaskGroup, spec: ServiceSpec, number: int
    ) -> None:
        """Start one upstream stand-in, which registers in the VM list."""
        places = self.deployment.places
        upstream = UpstreamSettings(
            spec.name,
            places[number % len(places)],
            f"{spec.name}-{number + 1}",
            ANY_PORT_ADDRESS,
            self.vm_list_address,
            capacity=spec.capacity,
        )
        serve, settings = standin_for(spec, upstream)
        await self.start_standin(tasks, serve, settings, self.stop_upstreams)

    async def start_daemon(
        self, tasks: TaskGroup, number: int, ports: list[int]
    ) -> None:
        """Start one daemon and register its VM, as the platform would."""
        settings = self.daemon_settings(number, ports)
        daemon = Daemon(settings)
        await tasks.start(daemon.run, self.stop_daemons)
        self.daemons.append(daemon)
        vm = Vm(
            settings.daemon.id,
            1,
            daemon.http_address,
            settings.daemon.place,
            VmRole.ENTRY,
            "",
            VmState.LIVE,
            settings.daemon.id,
        )
        await HttpVmList(self.vm_list_address, self.client).put(vm)

    def daemon_settings(self, number: int, ports: list[int]) -> Settings:
        """Build the settings of one daemon with its place and ports."""
        places = self.deployment.places
        peer_ports = ports[DAEMON_COUNT:]
        return Settings(
            DaemonSettings(
                id=f"entry-{number + 1}",
                place=places[number % len(places)],
                http_address=f"127.0.0.1:{ports[number]}",
                peer_address=f"127.0.0.1:{peer_ports[number]}",
            ),
            PlatformSettings(self.log_address, self.vm_list_address),
            PeerSettings((f"127.0.0.1:{peer_ports[0]}",)),
            timing=TimingSettings(
                entries_keep_s=DRAIN_PHASE_S, drain_margin_s=DRAIN_PHASE_S
            ),
        )

    async def publish(self) -> None:
        """Publish the configuration of the deployment to the log."""
        publication = Publication(
            secrets.token_hex(8),
            None,
            FORMAT_VERSION,
            config_text(self.deployment),
        )
        log = HttpLog(self.log_address, self.client)
        await log.append(CONFIG_STREAM, [publication])

    async def wait_until_ready(self) -> None:
        """Wait until all daemons can serve every service."""
        expected = {spec.name for spec in self.deployment.services}
        with anyio.fail_after(READY_TIMEOUT_S):
            for daemon in self.daemons:
                await self.wait_for_daemon(daemon, expected)

    async def wait_for_daemon(
        self, daemon: Daemon, services: set[str]
    ) -> None:
        """Poll until a daemon has the configuration and is ready."""
        await daemon.configs.wait_for(1)
        while True:
            if self.is_ready(daemon, services):
                return
            await anyio.sleep(POLL_INTERVAL_S)

    def is_ready(self, daemon: Daemon, services: set[str]) -> bool:
        """Tell whether a daemon knows all services and all daemons."""
        has_services = services <= set(daemon.directory.pools)
        serving_members = [
            member
            for member in daemon.membership.live_members()
            if not member.is_leaving
        ]
        return has_services and len(serving_members) == DAEMON_COUNT


def standin_for(
    spec: ServiceSpec, upstream: UpstreamSettings
) -> tuple[ServeStandin, Any]:
    """Return the serve function and the settings of a service's stand-in."""
    match spec.kind:
        case ServiceKind.ENGINE:
            cost = StepCostModel(step_ms=spec.step_ms)
            return serve_engine, EngineSettings(upstream, cost)
        case ServiceKind.PLAIN:
            return serve_plain, PlainSettings(upstream, spec.step_ms)
        case _:
            return serve_pool, PoolSettings(upstream, spec.kind, spec.step_ms)


@asynccontextmanager
async def running_system(deployment: Deployment) -> AsyncIterator[DemoSystem]:
    """Run a system for the duration of the context.

    Daemons stop first, then the upstreams, which deregister from the VM list,
    then the VM list and the log.
    """
    async with HttpClient() as client, anyio.create_task_group() as platform:
        system = DemoSystem(deployment, client)
        await system.start_platform(platform)
        async with anyio.create_task_group() as upstreams:
            await system.start_upstreams(upstreams)
            async with anyio.create_task_group() as daemons:
                await system.start_daemons(daemons)
                yield system
                system.stop_daemons.set()
            system.stop_upstreams.set()
        system.stop_platform.set()

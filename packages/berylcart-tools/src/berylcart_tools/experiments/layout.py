"""Addresses and start parameters of the processes of a deployment."""

from typing import NamedTuple

from berylcart.state.config import ServiceKind
from berylcart.state.vm import Vm, VmRole, VmState

from berylcart_tools.experiments.delay_relay import Route
from berylcart_tools.experiments.deployments import (
    ENTRY_COUNT,
    Deployment,
    ServiceSpec,
)
from berylcart_tools.experiments.processes import free_ports

POOL_KINDS = (
    ServiceKind.ENCODER,
    ServiceKind.RETRIEVER,
    ServiceKind.RERANKER,
)


class Upstream(NamedTuple):
    """Hold the identity, place and port of a stand-in upstream."""

    vm_id: str
    spec: ServiceSpec
    place: str
    port: int

    @property
    def address(self) -> str:
        """Return the direct address, which bypasses the delay relays."""
        return f"127.0.0.1:{self.port}"


class Layout(NamedTuple):
    """Hold every address of a running deployment.

    Each place has its own VM list. It gives upstreams in other places by the
    addresses of the relays that emulate the distance from that place.
    """

    deployment: Deployment
    log_address: str
    vm_lists: dict[str, str]
    upstreams: tuple[Upstream, ...]
    entry_ports: tuple[int, ...]
    peer_ports: tuple[int, ...]
    relay_ports: dict[tuple[str, str], int]

    def entry_place(self, number: int) -> str:
        """Return the place of an entry daemon."""
        places = self.deployment.places
        return places[number % len(places)]

    @property
    def entry_addresses(self) -> tuple[str, ...]:
        """Return the HTTP addresses of all entry daemons."""
        return tuple(f"127.0.0.1:{port}" for port in self.entry_ports)


def entry_name(number: int) -> str:
    """Return the process name of an entry daemon.

    >>> entry_name(0)
    'entry-1'
    """
    return f"entry-{number + 1}"


def allocate_layout(deployment: Deployment) -> Layout:
    """Assign a free port to every process and relay."""
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
            (place, upstream.vm_id): next(ports)
            for place in places
            for upstream in upstreams
            if upstream.place != place
        },
    )


def daemon_settings_text(
    layout: Layout, number: int, policy: str, seed: int
) -> str:
    """Generate the TOML settings of an entry daemon."""
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
    """Return the command-line arguments of an upstream stand-in."""
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
    """Return the relay routes from a place to upstreams in other places."""
    return [
        Route(
            layout.relay_ports[place, upstream.vm_id],
            upstream.address,
            layout.deployment.delay_ms,
        )
        for upstream in layout.upstreams
        if upstream.place != place
    ]


def upstream_vm(layout: Layout, upstream: Upstream, place: str) -> Vm:
    """Build an upstream's VM record with its address as seen from a place."""
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
    """Build the VM record of an entry daemon."""
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

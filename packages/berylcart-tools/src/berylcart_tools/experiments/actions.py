"""Carry out the failures of a scenario on a running fleet."""

import signal
from functools import singledispatch

from berylcart_tools.experiments.deployments import ENTRY_COUNT
from berylcart_tools.experiments.fleet import DAEMON, Fleet, find_upstreams
from berylcart_tools.experiments.layout import Upstream, entry_name
from berylcart_tools.experiments.scenarios import (
    Action,
    KillPlace,
    KillUpstream,
    LogOutage,
    RefuseUpstream,
    SlowUpstream,
    StartEntry,
    StopEntry,
)


def find(fleet: Fleet, service: str, number: int) -> Upstream:
    """Find one upstream of a service."""
    return find_upstreams(fleet.layout, service)[number]


@singledispatch
async def perform(action: Action, fleet: Fleet) -> None:
    """Carry out one action."""
    raise TypeError(type(action))


@perform.register
async def perform_slow(action: SlowUpstream, fleet: Fleet) -> None:
    """Slow an upstream down."""
    upstream = find(fleet, action.service, action.number)
    await fleet.set_faults(upstream.address, {"slow_factor": action.factor})


@perform.register
async def perform_kill(action: KillUpstream, fleet: Fleet) -> None:
    """Kill an upstream."""
    upstream = find(fleet, action.service, action.number)
    fleet.group.send(upstream.vm_id, signal.SIGKILL)


@perform.register
async def perform_refuse(action: RefuseUpstream, fleet: Fleet) -> None:
    """Let an upstream refuse its work."""
    upstream = find(fleet, action.service, action.number)
    await fleet.set_faults(upstream.address, {"refuse": action.reason})


@perform.register
async def perform_log(action: LogOutage, fleet: Fleet) -> None:
    """Switch the log's outage."""
    await fleet.set_faults(
        fleet.layout.log_address, {"outage": action.is_down}
    )


@perform.register
async def perform_place(action: KillPlace, fleet: Fleet) -> None:
    """Kill everything at a place."""
    place = fleet.layout.deployment.places[action.number]
    for upstream in fleet.layout.upstreams:
        if upstream.place == place:
            fleet.group.send(upstream.vm_id, signal.SIGKILL)
    for number in range(ENTRY_COUNT):
        if fleet.layout.entry_place(number) == place:
            fleet.group.send(entry_name(number), signal.SIGKILL)


@perform.register
async def perform_stop(action: StopEntry, fleet: Fleet) -> None:
    """Stop a daemon gracefully."""
    fleet.group.send(entry_name(action.number), signal.SIGTERM)


@perform.register
async def perform_start(action: StartEntry, fleet: Fleet) -> None:
    """Start a daemon again."""
    name = entry_name(action.number)
    path = fleet.group.directory / f"{name}.toml"
    fleet.group.restart(name, DAEMON, ["--settings", str(path)])

"""Execute the fault-injection actions of a scenario on a running fleet."""

import signal
from functools import singledispatch

from berylcart_tools.experiments.deployments import ENTRY_COUNT
from berylcart_tools.experiments.fleet import (
    DAEMON_MODULE,
    Fleet,
    find_service_upstreams,
)
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


def find_upstream(fleet: Fleet, service: str, number: int) -> Upstream:
    """Return the upstream with this index among those of a service."""
    return find_service_upstreams(fleet.layout, service)[number]


@singledispatch
async def execute_action(action: Action, fleet: Fleet) -> None:
    """Execute one action; raise TypeError for an unknown type."""
    raise TypeError(type(action))


@execute_action.register
async def slow_upstream(action: SlowUpstream, fleet: Fleet) -> None:
    """Multiply the processing time of an upstream by the given factor."""
    upstream = find_upstream(fleet, action.service, action.number)
    await fleet.set_faults(upstream.address, {"slow_factor": action.factor})


@execute_action.register
async def kill_upstream(action: KillUpstream, fleet: Fleet) -> None:
    """Kill an upstream process with SIGKILL."""
    upstream = find_upstream(fleet, action.service, action.number)
    fleet.group.send(upstream.vm_id, signal.SIGKILL)


@execute_action.register
async def set_upstream_refusal(action: RefuseUpstream, fleet: Fleet) -> None:
    """Make an upstream refuse requests, or accept them again."""
    upstream = find_upstream(fleet, action.service, action.number)
    await fleet.set_faults(upstream.address, {"refuse": action.reason})


@execute_action.register
async def set_log_outage(action: LogOutage, fleet: Fleet) -> None:
    """Start or end an outage of the log."""
    await fleet.set_faults(
        fleet.layout.log_address, {"outage": action.is_down}
    )


@execute_action.register
async def kill_place(action: KillPlace, fleet: Fleet) -> None:
    """Kill every upstream and entry daemon of a place with SIGKILL."""
    place = fleet.layout.deployment.places[action.number]
    for upstream in fleet.layout.upstreams:
        if upstream.place == place:
            fleet.group.send(upstream.vm_id, signal.SIGKILL)
    for number in range(ENTRY_COUNT):
        if fleet.layout.entry_place(number) == place:
            fleet.group.send(entry_name(number), signal.SIGKILL)


@execute_action.register
async def stop_entry(action: StopEntry, fleet: Fleet) -> None:
    """Stop an entry daemon gracefully with SIGTERM."""
    fleet.group.send(entry_name(action.number), signal.SIGTERM)


@execute_action.register
async def start_entry(action: StartEntry, fleet: Fleet) -> None:
    """Restart an entry daemon with its existing settings file."""
    name = entry_name(action.number)
    path = fleet.group.directory / f"{name}.toml"
    fleet.group.restart(name, DAEMON_MODULE, ["--settings", str(path)])

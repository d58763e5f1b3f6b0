"""Inject the faults of a plan into a running fleet."""

import secrets
import signal
from functools import singledispatch

import anyio
from berylcart.state.config import FORMAT_VERSION
from berylcart.state.errors import BerylcartError
from berylcart.state.records import CONFIG_STREAM, Publication
from berylcart.transport.log_client import HttpLog

from berylcart_tools.experiments.deployments import config_text
from berylcart_tools.experiments.fleet import DAEMON_MODULE, Fleet
from berylcart_tools.faults.plans import (
    Action,
    ConcurrentPublish,
    RestartEntry,
    SendSignal,
    SetFaults,
)
from berylcart_tools.faults.recorder import Recorder, monotonic_ms
from berylcart_tools.history.events import (
    DiedEvent,
    InForceEvent,
    JoinedEvent,
    LeavingEvent,
    StopPlannedEvent,
    UnreachableEvent,
)

CONTENDED_WORKSPACE = "reports"


class FaultContext:
    """Provide the fleet to act on and the recorder for its events."""

    def __init__(self, fleet: Fleet, recorder: Recorder) -> None:
        self.fleet = fleet
        self.recorder = recorder
        self.entries = {f"entry-{index + 1}" for index in range(7)}

    def bound_address(self, process: str) -> str:
        """Return the address of an entry or a stand-in."""
        layout = self.fleet.layout
        if process in self.entries:
            number = int(process.removeprefix("entry-")) - 1
            return layout.entry_addresses[number]
        if process == "log":
            return layout.log_address
        if process.startswith("vm-list-"):
            return layout.vm_lists[process.removeprefix("vm-list-")]
        matches = [
            upstream
            for upstream in layout.upstreams
            if upstream.vm_id == process
        ]
        return matches[0].address


@singledispatch
async def execute(action: Action, context: FaultContext) -> None:
    """Execute one action of a plan."""
    raise TypeError(type(action))


@execute.register
async def execute_signal(action: SendSignal, context: FaultContext) -> None:
    """Send a signal to a process and record its effect."""
    if action.process in context.entries:
        record_entry_signal(action, context.recorder)
    elif action.signal is signal.SIGTERM:
        context.recorder.add(
            LeavingEvent(
                kind="leaving",
                at_ms=monotonic_ms(),
                vm_id=action.process,
                instance=f"{action.process}/1",
            )
        )
    context.fleet.group.send(action.process, action.signal)
    is_resumed = action.signal is signal.SIGCONT
    if is_resumed and action.process in context.entries:
        await record_applied_version(action.process, context)


async def record_applied_version(entry: str, context: FaultContext) -> None:
    """Record the version in force on a resumed daemon, 0 if not ready."""
    status = await context.fleet.read_status(context.bound_address(entry))
    version = status["config_version"] if status["is_ready"] else 0
    context.recorder.add(
        InForceEvent(
            kind="in_force",
            at_ms=monotonic_ms(),
            daemon=entry,
            version=version,
        )
    )


def record_entry_signal(action: SendSignal, recorder: Recorder) -> None:
    """Record the effect of a signal on an entry."""
    at_ms, name = monotonic_ms(), action.process
    if action.signal is signal.SIGCONT:
        recorder.add(JoinedEvent(kind="joined", at_ms=at_ms, daemon=name))
        return
    if action.signal is signal.SIGKILL:
        recorder.add(DiedEvent(kind="died", at_ms=at_ms, entry=name))
    if action.signal is signal.SIGTERM:
        recorder.add(
            StopPlannedEvent(kind="stop_planned", at_ms=at_ms, entry=name)
        )
    recorder.add(
        UnreachableEvent(kind="unreachable", at_ms=at_ms, daemon=name)
    )


@execute.register
async def execute_set_faults(action: SetFaults, context: FaultContext) -> None:
    """Set the faults of a stand-in; ignored if it does not answer."""
    address = context.bound_address(action.process)
    try:
        await context.fleet.set_faults(address, action.faults)
    except BerylcartError:
        return


@execute.register
async def execute_restart(action: RestartEntry, context: FaultContext) -> None:
    """Restart a daemon with its settings file."""
    group = context.fleet.group
    path = group.directory / f"{action.entry}.toml"
    group.restart(action.entry, DAEMON_MODULE, ["--settings", str(path)])


@execute.register
async def execute_concurrent_publish(
    action: ConcurrentPublish, context: FaultContext
) -> None:
    """Publish concurrently: once unconditionally, else on base version 1."""
    log = HttpLog(context.fleet.layout.log_address, context.fleet.client)
    async with anyio.create_task_group() as tasks:
        for number in range(action.publishers):
            tasks.start_soon(try_publish, log, context.fleet, number)


async def try_publish(log: HttpLog, fleet: Fleet, number: int) -> None:
    """Publish a text that restricts one workspace; ignore log failures."""
    deployment = fleet.layout.deployment
    place = deployment.places[number % len(deployment.places)]
    text = restrict_to_place(config_text(deployment), place)
    base = None if number == 0 else 1
    publication = Publication(secrets.token_hex(8), base, FORMAT_VERSION, text)
    try:
        await log.append(CONFIG_STREAM, [publication])
    except BerylcartError:
        return


def restrict_to_place(text: str, place: str) -> str:
    """Permit the contended workspace in one place only."""
    before, header, after = text.partition(
        f"[workspace.{CONTENDED_WORKSPACE}]\n"
    )
    _, _, remaining = after.partition("\n")
    return f'{before}{header}places = ["{place}"]\n{remaining}'

"""Carry out the actions of a plan on a running fleet."""

import secrets
import signal
from functools import singledispatch

import anyio
from berylcart.state.config import FORMAT_VERSION
from berylcart.state.errors import BerylcartError
from berylcart.state.records import CONFIG_STREAM, Publication
from berylcart.transport.log_client import HttpLog

from berylcart_tools.experiments.deployments import config_text
from berylcart_tools.experiments.fleet import DAEMON, Fleet
from berylcart_tools.faults.plans import (
    Action,
    Race,
    SendSignal,
    SetFaults,
    StartEntry,
)
from berylcart_tools.faults.recorder import Recorder, now_ms
from berylcart_tools.history.events import (
    Died,
    InForce,
    Joined,
    Leaving,
    StopPlanned,
    Unreachable,
)

RACED_WORKSPACE = "reports"


class Stage:
    """Hold what actions work on."""

    def __init__(self, fleet: Fleet, recorder: Recorder) -> None:
        self.fleet = fleet
        self.recorder = recorder
        self.entries = {f"entry-{n + 1}" for n in range(7)}

    def address_of(self, process: str) -> str:
        """Find a stand-in's address."""
        layout = self.fleet.layout
        if process in self.entries:
            number = int(process.removeprefix("entry-")) - 1
            return layout.entry_addresses[number]
        if process == "log":
            return layout.log_address
        if process.startswith("vm-list-"):
            return layout.vm_lists[process.removeprefix("vm-list-")]
        found = [one for one in layout.upstreams if one.vm_id == process]
        return found[0].address


@singledispatch
async def perform(action: Action, stage: Stage) -> None:
    """Carry out one action."""
    raise TypeError(type(action))


@perform.register
async def perform_signal(action: SendSignal, stage: Stage) -> None:
    """Send a signal and record what it means."""
    if action.process in stage.entries:
        note_entry_signal(action, stage.recorder)
    elif action.signal is signal.SIGTERM:
        stage.recorder.add(
            Leaving(
                kind="leaving",
                at_ms=now_ms(),
                vm_id=action.process,
                instance=f"{action.process}/1",
            )
        )
    stage.fleet.group.send(action.process, action.signal)
    is_woken = action.signal is signal.SIGCONT
    if is_woken and action.process in stage.entries:
        await note_version(action.process, stage)


async def note_version(entry: str, stage: Stage) -> None:
    """Record the version that a woken daemon acts upon, 0 if on none."""
    status = await stage.fleet.read_status(stage.address_of(entry))
    version = status["config_version"] if status["is_ready"] else 0
    stage.recorder.add(
        InForce(kind="in_force", at_ms=now_ms(), daemon=entry, version=version)
    )


def note_entry_signal(action: SendSignal, recorder: Recorder) -> None:
    """Record what a signal does to an entry."""
    at_ms, name = now_ms(), action.process
    if action.signal is signal.SIGCONT:
        recorder.add(Joined(kind="joined", at_ms=at_ms, daemon=name))
        return
    if action.signal is signal.SIGKILL:
        recorder.add(Died(kind="died", at_ms=at_ms, entry=name))
    if action.signal is signal.SIGTERM:
        recorder.add(StopPlanned(kind="stop_planned", at_ms=at_ms, entry=name))
    recorder.add(Unreachable(kind="unreachable", at_ms=at_ms, daemon=name))


@perform.register
async def perform_faults(action: SetFaults, stage: Stage) -> None:
    """Switch a stand-in's failures; a dead one has none to switch."""
    address = stage.address_of(action.process)
    try:
        await stage.fleet.set_faults(address, action.faults)
    except BerylcartError:
        return


@perform.register
async def perform_start(action: StartEntry, stage: Stage) -> None:
    """Start a daemon again."""
    group = stage.fleet.group
    path = group.directory / f"{action.entry}.toml"
    group.restart(action.entry, DAEMON, ["--settings", str(path)])


@perform.register
async def perform_race(action: Race, stage: Stage) -> None:
    """Let operators publish on the same base; one of them can win."""
    log = HttpLog(stage.fleet.layout.log_address, stage.fleet.client)
    async with anyio.create_task_group() as tasks:
        for number in range(action.publishers):
            tasks.start_soon(publish, log, stage.fleet, number)


async def publish(log: HttpLog, fleet: Fleet, number: int) -> None:
    """Offer one text, which narrows one workspace's places."""
    deployment = fleet.layout.deployment
    place = deployment.places[number % len(deployment.places)]
    text = narrowed(config_text(deployment), place)
    base = None if number == 0 else 1
    publication = Publication(secrets.token_hex(8), base, FORMAT_VERSION, text)
    try:
        await log.append(CONFIG_STREAM, [publication])
    except BerylcartError:
        return


def narrowed(text: str, place: str) -> str:
    """Permit the raced workspace in one place only."""
    head, marker, tail = text.partition(f"[workspace.{RACED_WORKSPACE}]\n")
    _, _, rest = tail.partition("\n")
    return f'{head}{marker}places = ["{place}"]\n{rest}'

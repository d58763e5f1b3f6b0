"""Run a fault plan against real processes and check the history."""

import random
from collections import Counter
from pathlib import Path
from typing import NamedTuple

import anyio
from berylcart.transport.log_client import HttpLog

from berylcart_tools.experiments.deployments import AUTHORITY, ENTRY_COUNT
from berylcart_tools.experiments.fleet import Fleet, running_fleet
from berylcart_tools.experiments.layout import entry_name
from berylcart_tools.faults.callers import Client, Workload
from berylcart_tools.faults.collect import (
    record_accepted_versions,
    record_daemon_versions,
    record_runs,
    wall_clock_offset_ms,
)
from berylcart_tools.faults.injection import FaultContext, execute
from berylcart_tools.faults.plans import Plan
from berylcart_tools.faults.recorder import Recorder, monotonic_ms
from berylcart_tools.history.checkers import check_history
from berylcart_tools.history.events import HistoryEndEvent
from berylcart_tools.history.reading import Violation, read_history

POLICY = "berylcart"
CLIENTS = 8
DURATION_S = 7.0
SETTLE_S = 1.0
IN_FORCE_BOUND_MS = 2000
WORKLOAD = Workload(
    tuple(name for name, _ in AUTHORITY.mix.workspaces), "booking", 8, 0.05
)


class FaultRunOutcome(NamedTuple):
    """Summarise one run of a fault plan."""

    plan: str
    seed: int
    sends: int
    answers: dict[str, int]
    runs: int
    violations: list[Violation]


async def run_plan(plan: Plan, seed: int, path: Path) -> FaultRunOutcome:
    """Run one plan, write its history to a file, and check it."""
    recorder = Recorder()
    clock_offset_ms = wall_clock_offset_ms()
    async with running_fleet(AUTHORITY, POLICY, seed) as fleet:
        await run_under_faults(plan, seed, fleet, recorder)
        await anyio.sleep(SETTLE_S)
        # What processes log after their logs were read is unknown.
        ended_ms = monotonic_ms()
        await collect_events(fleet, recorder, clock_offset_ms)
    recorder.add(HistoryEndEvent(kind="end", at_ms=ended_ms))
    recorder.write(path)
    return evaluate_history(plan, seed, path)


async def run_under_faults(
    plan: Plan, seed: int, fleet: Fleet, recorder: Recorder
) -> None:
    """Run the clients while the actions of the plan are executed."""
    entry_names = {
        address: entry_name(number)
        for number, address in enumerate(fleet.layout.entry_addresses)
    }
    stop = anyio.Event()
    async with anyio.create_task_group() as tasks:
        for number in range(CLIENTS):
            rng = random.Random(f"{seed}/{number}")
            client = Client(f"c{number}", WORKLOAD, recorder, entry_names, rng)
            tasks.start_soon(client.run, stop)
        await execute_plan(plan, FaultContext(fleet, recorder))
        stop.set()


async def execute_plan(plan: Plan, context: FaultContext) -> None:
    """Execute the actions of a plan at their times, until DURATION_S."""
    start_s = anyio.current_time()
    for action in sorted(plan.actions, key=lambda action: action.at_s):
        await anyio.sleep_until(start_s + action.at_s)
        await execute(action, context)
    await anyio.sleep_until(start_s + DURATION_S)


async def collect_events(
    fleet: Fleet, recorder: Recorder, clock_offset_ms: int
) -> None:
    """Record the events found in the process logs and the log service."""
    child_processes = fleet.group.child_processes
    for upstream in fleet.layout.upstreams:
        path = child_processes[upstream.vm_id].log_path
        record_runs(recorder, AUTHORITY, upstream, path)
    for number in range(ENTRY_COUNT):
        name = entry_name(number)
        record_daemon_versions(
            recorder, name, child_processes[name].log_path, clock_offset_ms
        )
    await fleet.set_faults(fleet.layout.log_address, {})
    log = HttpLog(fleet.layout.log_address, fleet.client)
    await record_accepted_versions(recorder, log)


def evaluate_history(plan: Plan, seed: int, path: Path) -> FaultRunOutcome:
    """Read a history file, check it and summarise the run."""
    lines = path.read_text(encoding="utf-8").splitlines()
    history = read_history(lines, IN_FORCE_BOUND_MS)
    statuses = Counter[str](line.event["status"] for line in history.answers)
    return FaultRunOutcome(
        plan.name,
        seed,
        len(history.sends),
        dict(statuses),
        len(history.runs),
        check_history(history),
    )

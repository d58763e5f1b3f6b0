"""Run a plan against real processes and judge the history."""

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
    add_accepted,
    add_runs,
    add_versions,
    wall_offset_ms,
)
from berylcart_tools.faults.perform import Stage, perform
from berylcart_tools.faults.plans import Plan
from berylcart_tools.faults.recorder import Recorder, now_ms
from berylcart_tools.history.events import HistoryEnd
from berylcart_tools.history.judges import judge_history
from berylcart_tools.history.reading import Violation, read_history

POLICY = "berylcart"
CLIENTS = 8
DURATION_S = 7.0
SETTLE_S = 1.0
IN_FORCE_MS = 2000
WORKLOAD = Workload(
    tuple(name for name, _ in AUTHORITY.mix.workspaces), "booking", 8, 0.05
)


class Outcome(NamedTuple):
    """Sum up one run."""

    plan: str
    seed: int
    sends: int
    answers: dict[str, int]
    runs: int
    violations: list[Violation]


async def run_plan(plan: Plan, seed: int, path: Path) -> Outcome:
    """Run one plan, write its history to a file, and judge it."""
    recorder = Recorder()
    offset_ms = wall_offset_ms()
    async with running_fleet(AUTHORITY, POLICY, seed) as fleet:
        await call_and_break(plan, seed, fleet, recorder)
        await anyio.sleep(SETTLE_S)
        await collect(fleet, recorder, offset_ms)
    recorder.add(HistoryEnd(kind="end", at_ms=now_ms()))
    recorder.write(path)
    return sum_up(plan, seed, path)


async def call_and_break(
    plan: Plan, seed: int, fleet: Fleet, recorder: Recorder
) -> None:
    """Let clients call while the plan's actions are carried out."""
    names = {
        address: entry_name(number)
        for number, address in enumerate(fleet.layout.entry_addresses)
    }
    stop = anyio.Event()
    async with anyio.create_task_group() as tasks:
        for number in range(CLIENTS):
            rng = random.Random(f"{seed}/{number}")
            client = Client(f"c{number}", WORKLOAD, recorder, names, rng)
            tasks.start_soon(client.run, stop)
        await break_things(plan, Stage(fleet, recorder))
        stop.set()


async def break_things(plan: Plan, stage: Stage) -> None:
    """Carry out a plan's actions at their times."""
    start_s = anyio.current_time()
    for action in sorted(plan.actions, key=lambda action: action.at_s):
        await anyio.sleep_until(start_s + action.at_s)
        await perform(action, stage)
    await anyio.sleep_until(start_s + DURATION_S)


async def collect(fleet: Fleet, recorder: Recorder, offset_ms: int) -> None:
    """Add what the processes wrote."""
    started = fleet.group.started
    for upstream in fleet.layout.upstreams:
        path = started[upstream.vm_id].log_path
        add_runs(recorder, AUTHORITY, upstream, path)
    for number in range(ENTRY_COUNT):
        name = entry_name(number)
        add_versions(recorder, name, started[name].log_path, offset_ms)
    await fleet.set_faults(fleet.layout.log_address, {})
    log = HttpLog(fleet.layout.log_address, fleet.client)
    await add_accepted(recorder, log)


def sum_up(plan: Plan, seed: int, path: Path) -> Outcome:
    """Judge a written history."""
    lines = path.read_text(encoding="utf-8").splitlines()
    history = read_history(lines, IN_FORCE_MS)
    statuses = Counter[str](line.event["status"] for line in history.answers)
    return Outcome(
        plan.name,
        seed,
        len(history.sends),
        dict(statuses),
        len(history.runs),
        judge_history(history),
    )

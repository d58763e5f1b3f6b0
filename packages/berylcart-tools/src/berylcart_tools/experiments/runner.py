"""Run a scenario under several policies with identical arrivals."""

import json
import pickle
import sys
from collections.abc import Sequence
from functools import partial
from pathlib import Path
from typing import Any, NamedTuple, TypedDict

import anyio

from berylcart_tools.experiments.actions import execute_action
from berylcart_tools.experiments.arrivals import (
    Arrival,
    RatePhase,
    TrafficMix,
    generate_arrivals,
)
from berylcart_tools.experiments.deployments import Deployment
from berylcart_tools.experiments.fleet import Fleet, running_fleet
from berylcart_tools.experiments.load_worker import ArrivalSlice
from berylcart_tools.experiments.outcomes import (
    Outcome,
    StageSample,
    Summary,
    summarise,
)
from berylcart_tools.experiments.scenarios import (
    WARM_UP_S,
    KillPlace,
    KillUpstream,
    Scenario,
)

SMALLEST_WORKSPACE = "$smallest"
DEFAULT_POLICY_NAME = "berylcart"
BASELINES_MODULE = "berylcart_tools.experiments.baselines"
SETTLE_S = 1.0
WORKER_COUNT = 3
WORKER_START_DELAY_S = 1.5
LOAD_WORKER_MODULE = "berylcart_tools.experiments.load_worker"


class RunCost(TypedDict):
    """Hold the upstream work and daemon CPU time of a run.

    wasted is the fraction of attempts that did not contribute to an answer
    within its deadline. It is None if an upstream was killed, as its record of
    executed attempts is lost.
    """

    attempts: dict[str, int]
    useful: dict[str, int]
    wasted: float | None
    engine_seconds_per_answer: float
    daemon_cpu_s: float
    daemon_cpu_ms_per_call: float


class PolicyRun(TypedDict):
    """Hold the result of one policy."""

    policy: str
    summary: Summary
    cost: RunCost


class Experiment(TypedDict):
    """Hold the results of one scenario, with the same arrivals per policy."""

    scenario: str
    deployment: str
    seed: int
    rate: float
    duration_s: float
    runs: list[PolicyRun]


class ExperimentPlan(NamedTuple):
    """Define an experiment to run."""

    deployment: Deployment
    scenario: Scenario
    policies: tuple[str, ...]
    seed: int


def policy_path(name: str) -> str:
    """Return a policy's name in the daemon settings.

    >>> policy_path("berylcart")
    'berylcart'
    >>> policy_path("round_robin")
    'berylcart_tools.experiments.baselines:round_robin'
    """
    return (
        name if name == DEFAULT_POLICY_NAME else f"{BASELINES_MODULE}:{name}"
    )


def resolve_phase_workspaces(
    scenario: Scenario, mix: TrafficMix
) -> list[RatePhase]:
    """Replace the smallest-workspace placeholder with its real name."""
    smallest = min(mix.workspaces, key=lambda item: item[1])[0]
    return [
        phase._replace(workspace=smallest)
        if phase.workspace == SMALLEST_WORKSPACE
        else phase
        for phase in scenario.phases
    ]


def apply_scenario_to_mix(scenario: Scenario, mix: TrafficMix) -> TrafficMix:
    """Apply the call filter and prefix length of a scenario to a mix."""
    call_kinds = mix.kinds
    if scenario.streams_only:
        call_kinds = tuple(
            call_kind for call_kind in call_kinds if call_kind.is_stream
        )
    if scenario.prefix_words:
        call_kinds = tuple(
            call_kind._replace(prefix_words=scenario.prefix_words)
            if call_kind.prefix_count
            else call_kind
            for call_kind in call_kinds
        )
    return mix._replace(kinds=call_kinds)


def plan_arrivals(plan: ExperimentPlan) -> list[Arrival]:
    """Generate the arrivals that all policies of a plan receive."""
    scenario, deployment = plan.scenario, plan.deployment
    return generate_arrivals(
        plan.seed,
        apply_scenario_to_mix(scenario, deployment.mix),
        deployment.rate * scenario.rate_factor,
        WARM_UP_S + scenario.duration_s,
        resolve_phase_workspaces(scenario, deployment.mix),
    )


async def run_actions(
    fleet: Fleet, scenario: Scenario, start_s: float
) -> None:
    """Execute the actions of a scenario at their scheduled times."""
    for action in scenario.actions:
        await anyio.sleep_until(start_s + action.at_s)
        await execute_action(action, fleet)


async def run_load(fleet: Fleet, plan: ExperimentPlan) -> list[Outcome]:
    """Send the arrivals while executing the actions of the scenario."""
    start_s = anyio.current_time() + WORKER_START_DELAY_S
    worker_names = start_workers(fleet, plan, start_s)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(run_actions, fleet, plan.scenario, start_s)
        for name in worker_names:
            process = fleet.group.child_processes[name].process
            await anyio.to_thread.run_sync(process.wait)
    return read_outcomes(fleet, worker_names)


def start_workers(
    fleet: Fleet, plan: ExperimentPlan, start_s: float
) -> list[str]:
    """Start the load workers, each with a share of the arrivals."""
    arrivals = plan_arrivals(plan)
    worker_names = []
    for number in range(WORKER_COUNT):
        name = f"load-{number + 1}"
        arrival_slice = ArrivalSlice(
            arrivals[number::WORKER_COUNT],
            fleet.layout.entry_addresses,
            plan.deployment.client_delay_ms,
            start_s,
            plan.seed + number,
        )
        source = fleet.group.directory / f"{name}.pickle"
        target = fleet.group.directory / f"{name}.json"
        source.write_bytes(pickle.dumps(arrival_slice))
        fleet.group.start(name, LOAD_WORKER_MODULE, [str(source), str(target)])
        fleet.group.expected_exits.add(name)
        worker_names.append(name)
    return worker_names


def read_outcomes(fleet: Fleet, worker_names: Sequence[str]) -> list[Outcome]:
    """Load the outcomes of all workers, in order of arrival."""
    outcomes = []
    for name in worker_names:
        path = fleet.group.directory / f"{name}.json"
        outcomes += [read_outcome(row) for row in json.loads(path.read_text())]
    return sorted(outcomes, key=lambda outcome: outcome.at_s)


def read_outcome(row: Sequence[Any]) -> Outcome:
    """Decode one outcome from its JSON array."""
    outcome = Outcome(*row)
    samples = tuple(StageSample(*stage) for stage in outcome.stages)
    return outcome._replace(stages=samples)


def loses_execution_records(scenario: Scenario) -> bool:
    """Tell whether a scenario kills upstreams and loses their records.

    >>> loses_execution_records(Scenario("one", actions=(KillPlace(1.0, 0),)))
    True
    """
    kills = (KillUpstream, KillPlace)
    return any(isinstance(action, kills) for action in scenario.actions)


def compute_cost(
    outcomes: Sequence[Outcome],
    attempts: dict[str, int],
    daemon_cpu_s: float,
    *,
    has_all_executions: bool = True,
) -> RunCost:
    """Compare executed attempts with those that led to a timely answer."""
    useful = dict.fromkeys(attempts, 0)
    engine_s = 0.0
    answered = 0
    for outcome in outcomes:
        if not outcome.is_attained:
            continue
        answered += 1
        for sample in outcome.stages:
            useful[sample.service] = useful.get(sample.service, 0) + 1
            engine_s += sample.seconds
    executed = sum(attempts.values())
    wasted = 1 - sum(useful.values()) / executed if executed else 0.0
    return RunCost(
        attempts=attempts,
        useful=useful,
        wasted=round(wasted, 4) if has_all_executions else None,
        engine_seconds_per_answer=round(engine_s / max(1, answered), 5),
        daemon_cpu_s=round(daemon_cpu_s, 2),
        daemon_cpu_ms_per_call=round(
            daemon_cpu_s * 1000 / max(1, len(outcomes)), 3
        ),
    )


async def run_policy(plan: ExperimentPlan, policy: str) -> PolicyRun:
    """Run one policy on a new fleet and summarise it after the warm-up."""
    path = policy_path(policy)
    async with running_fleet(plan.deployment, path, plan.seed) as fleet:
        await anyio.sleep(SETTLE_S)
        cpu_before = sum(await fleet.cpu_s_by_entry())
        outcomes = await run_load(fleet, plan)
        fleet.group.check_unexpected_exits()
        cpu_s = sum(await fleet.cpu_s_by_entry()) - cpu_before
        attempts = await fleet.count_attempts_by_service()
    measured = [o for o in outcomes if o.at_s >= WARM_UP_S]
    return PolicyRun(
        policy=policy,
        summary=summarise(measured, plan.scenario.duration_s),
        cost=compute_cost(
            outcomes,
            attempts,
            cpu_s,
            has_all_executions=not loses_execution_records(plan.scenario),
        ),
    )


def write_progress(text: str) -> None:
    """Write a progress line to stderr if it is a terminal."""
    if sys.stderr.isatty():
        sys.stderr.write(f"{text}\n")


async def run_plan(plan: ExperimentPlan) -> Experiment:
    """Run the policies of a plan one after another."""
    runs = []
    for policy in plan.policies:
        write_progress(
            f"{plan.deployment.name} {plan.scenario.name}: {policy}"
        )
        runs.append(await run_policy(plan, policy))
    return Experiment(
        scenario=plan.scenario.name,
        deployment=plan.deployment.name,
        seed=plan.seed,
        rate=round(plan.deployment.rate * plan.scenario.rate_factor, 2),
        duration_s=plan.scenario.duration_s,
        runs=runs,
    )


def run_experiment(plan: ExperimentPlan, directory: Path | None) -> Experiment:
    """Run a plan and write its JSON to a directory, if given."""
    experiment = anyio.run(partial(run_plan, plan))
    if directory is not None:
        directory.mkdir(parents=True, exist_ok=True)
        name = f"{experiment['deployment']}-{experiment['scenario']}"
        path = directory / f"{name}-{plan.seed}.json"
        path.write_text(json.dumps(experiment, indent=1) + "\n")
    return experiment


def summarise_experiment(experiment: Experiment) -> dict[str, object]:
    """Return the main figures of each policy of an experiment."""
    return {
        "scenario": experiment["scenario"],
        "deployment": experiment["deployment"],
        "seed": experiment["seed"],
        "rate": experiment["rate"],
        "policies": {
            run["policy"]: {
                "calls": run["summary"]["calls"],
                "attainment": run["summary"]["attainment"],
                "goodput": run["summary"]["goodput"],
                "p99_ms": run["summary"]["latency"]["p99_ms"],
                "broken": run["summary"]["broken"],
                "wasted": run["cost"]["wasted"],
                "engine_seconds_per_answer": run["cost"][
                    "engine_seconds_per_answer"
                ],
                "codes": run["summary"]["codes"],
            }
            for run in experiment["runs"]
        },
    }

"""Run a scenario under several policies on the same arrivals."""

import json
import pickle
import sys
from collections.abc import Sequence
from functools import partial
from pathlib import Path
from typing import Any, NamedTuple, TypedDict

import anyio

from berylcart_tools.experiments.actions import perform
from berylcart_tools.experiments.arrivals import (
    Arrival,
    Mix,
    Phase,
    make_arrivals,
)
from berylcart_tools.experiments.deployments import Deployment
from berylcart_tools.experiments.fleet import Fleet, running_fleet
from berylcart_tools.experiments.load_worker import Slice
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

SMALLEST = "$smallest"
CANDIDATE = "berylcart"
BASELINES = "berylcart_tools.experiments.baselines"
SETTLE_S = 1.0
WORKERS = 3
WORKER_START_S = 1.5
LOAD_WORKER = "berylcart_tools.experiments.load_worker"


class Cost(TypedDict):
    """Give what a run cost the upstreams and the daemons.

    wasted is the share of attempts that ran for no answer, None where an
    upstream was killed and can't say what it ran.
    """

    attempts: dict[str, int]
    useful: dict[str, int]
    wasted: float | None
    engine_seconds_per_answer: float
    daemon_cpu_s: float
    daemon_cpu_ms_per_call: float


class PolicyRun(TypedDict):
    """Hold one policy's result."""

    policy: str
    summary: Summary
    cost: Cost


class Experiment(TypedDict):
    """Hold the results of one scenario on paired arrivals."""

    scenario: str
    deployment: str
    seed: int
    rate: float
    duration_s: float
    runs: list[PolicyRun]


class Plan(NamedTuple):
    """Say what to run."""

    deployment: Deployment
    scenario: Scenario
    policies: tuple[str, ...]
    seed: int


def policy_path(name: str) -> str:
    """Name a policy as the daemon's settings do.

    >>> policy_path("berylcart")
    'berylcart'
    >>> policy_path("round_robin")
    'berylcart_tools.experiments.baselines:round_robin'
    """
    return name if name == CANDIDATE else f"{BASELINES}:{name}"


def resolve_phases(scenario: Scenario, mix: Mix) -> list[Phase]:
    """Put the smallest workspace's name into phases that mean it."""
    smallest = min(mix.workspaces, key=lambda item: item[1])[0]
    return [
        phase._replace(workspace=smallest)
        if phase.workspace == SMALLEST
        else phase
        for phase in scenario.phases
    ]


def resolve_mix(scenario: Scenario, mix: Mix) -> Mix:
    """Change the mix as the scenario says."""
    kinds = mix.kinds
    if scenario.streams_only:
        kinds = tuple(kind for kind in kinds if kind.is_stream)
    if scenario.prefix_words:
        kinds = tuple(
            kind._replace(prefix_words=scenario.prefix_words)
            if kind.prefixes
            else kind
            for kind in kinds
        )
    return mix._replace(kinds=kinds)


def plan_arrivals(plan: Plan) -> list[Arrival]:
    """Draw the arrivals that every policy of a plan gets."""
    scenario, deployment = plan.scenario, plan.deployment
    return make_arrivals(
        plan.seed,
        resolve_mix(scenario, deployment.mix),
        deployment.rate * scenario.rate_factor,
        WARM_UP_S + scenario.duration_s,
        resolve_phases(scenario, deployment.mix),
    )


async def run_actions(
    fleet: Fleet, scenario: Scenario, start_s: float
) -> None:
    """Carry out a scenario's actions at their times."""
    for action in scenario.actions:
        await anyio.sleep_until(start_s + action.at_s)
        await perform(action, fleet)


async def drive(fleet: Fleet, plan: Plan) -> list[Outcome]:
    """Send the arrivals while the actions take place."""
    start_s = anyio.current_time() + WORKER_START_S
    names = start_workers(fleet, plan, start_s)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(run_actions, fleet, plan.scenario, start_s)
        for name in names:
            process = fleet.group.started[name].process
            await anyio.to_thread.run_sync(process.wait)
    return read_outcomes(fleet, names)


def start_workers(fleet: Fleet, plan: Plan, start_s: float) -> list[str]:
    """Divide the arrivals over processes that send them."""
    arrivals = plan_arrivals(plan)
    names = []
    for number in range(WORKERS):
        name = f"load-{number + 1}"
        part = Slice(
            arrivals[number::WORKERS],
            fleet.layout.entry_addresses,
            plan.deployment.client_delay_ms,
            start_s,
            plan.seed + number,
        )
        source = fleet.group.directory / f"{name}.pickle"
        target = fleet.group.directory / f"{name}.json"
        source.write_bytes(pickle.dumps(part))
        fleet.group.start(name, LOAD_WORKER, [str(source), str(target)])
        fleet.group.ended_by_us.add(name)
        names.append(name)
    return names


def read_outcomes(fleet: Fleet, names: Sequence[str]) -> list[Outcome]:
    """Read what the workers wrote, in the order of arrival."""
    outcomes = []
    for name in names:
        path = fleet.group.directory / f"{name}.json"
        outcomes += [read_outcome(row) for row in json.loads(path.read_text())]
    return sorted(outcomes, key=lambda outcome: outcome.at_s)


def read_outcome(row: Sequence[Any]) -> Outcome:
    """Read one outcome back from its JSON."""
    outcome = Outcome(*row)
    samples = tuple(StageSample(*stage) for stage in outcome.stages)
    return outcome._replace(stages=samples)


def kills_upstreams(scenario: Scenario) -> bool:
    """Say whether a scenario kills a witness of what ran.

    >>> kills_upstreams(Scenario("one", actions=(KillPlace(1.0, 0),)))
    True
    """
    kills = (KillUpstream, KillPlace)
    return any(isinstance(action, kills) for action in scenario.actions)


def count_cost(
    outcomes: Sequence[Outcome],
    attempts: dict[str, int],
    daemon_cpu_s: float,
    *,
    is_witnessed: bool = True,
) -> Cost:
    """Compare what ran with what was of use."""
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
    ran = sum(attempts.values())
    wasted = 1 - sum(useful.values()) / ran if ran else 0.0
    return Cost(
        attempts=attempts,
        useful=useful,
        wasted=round(wasted, 4) if is_witnessed else None,
        engine_seconds_per_answer=round(engine_s / max(1, answered), 5),
        daemon_cpu_s=round(daemon_cpu_s, 2),
        daemon_cpu_ms_per_call=round(
            daemon_cpu_s * 1000 / max(1, len(outcomes)), 3
        ),
    )


async def run_policy(plan: Plan, policy: str) -> PolicyRun:
    """Run one policy on a fleet of its own."""
    path = policy_path(policy)
    async with running_fleet(plan.deployment, path, plan.seed) as fleet:
        await anyio.sleep(SETTLE_S)
        cpu_before = sum(await fleet.cpu_by_entry())
        outcomes = await drive(fleet, plan)
        fleet.group.check_alive()
        cpu_s = sum(await fleet.cpu_by_entry()) - cpu_before
        attempts = await fleet.runs_by_service()
    measured = [o for o in outcomes if o.at_s >= WARM_UP_S]
    return PolicyRun(
        policy=policy,
        summary=summarise(measured, plan.scenario.duration_s),
        cost=count_cost(
            outcomes,
            attempts,
            cpu_s,
            is_witnessed=not kills_upstreams(plan.scenario),
        ),
    )


def show_progress(text: str) -> None:
    """Tell a person who waits what is going on."""
    if sys.stderr.isatty():
        sys.stderr.write(f"{text}\n")


async def run_plan(plan: Plan) -> Experiment:
    """Run every policy of a plan, one after another."""
    runs = []
    for policy in plan.policies:
        show_progress(f"{plan.deployment.name} {plan.scenario.name}: {policy}")
        runs.append(await run_policy(plan, policy))
    return Experiment(
        scenario=plan.scenario.name,
        deployment=plan.deployment.name,
        seed=plan.seed,
        rate=round(plan.deployment.rate * plan.scenario.rate_factor, 2),
        duration_s=plan.scenario.duration_s,
        runs=runs,
    )


def run_experiment(plan: Plan, directory: Path | None) -> Experiment:
    """Run a plan and keep its JSON in a directory, if there is one."""
    experiment = anyio.run(partial(run_plan, plan))
    if directory is not None:
        directory.mkdir(parents=True, exist_ok=True)
        name = f"{experiment['deployment']}-{experiment['scenario']}"
        path = directory / f"{name}-{plan.seed}.json"
        path.write_text(json.dumps(experiment, indent=1) + "\n")
    return experiment


def brief(experiment: Experiment) -> dict[str, object]:
    """Shorten an experiment to attainment and cost of each policy."""
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

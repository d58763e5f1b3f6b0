"""Run a scenario under several policies on the same arrivals."""

import json
import sys
from collections.abc import Sequence
from functools import partial
from pathlib import Path
from random import Random
from typing import NamedTuple, TypedDict

import anyio
from berylcart.transport.http_client import HttpClient

from berylcart_tools.experiments.actions import perform
from berylcart_tools.experiments.arrivals import (
    Arrival,
    Mix,
    Phase,
    make_arrivals,
)
from berylcart_tools.experiments.deployments import Deployment
from berylcart_tools.experiments.fleet import Fleet, running_fleet
from berylcart_tools.experiments.load_client import EntryList, LoadClient
from berylcart_tools.experiments.outcomes import (
    Outcome,
    Summary,
    summarise,
)
from berylcart_tools.experiments.scenarios import WARM_UP_S, Scenario

SMALLEST = "$smallest"
CANDIDATE = "berylcart"
BASELINES = "berylcart_tools.experiments.baselines"
SETTLE_S = 1.0


class Cost(TypedDict):
    """Give what a run cost the upstreams and the daemons.

    wasted is the share of attempts that ran for no answer.
    """

    attempts: dict[str, int]
    useful: dict[str, int]
    wasted: float
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


async def run_actions(fleet: Fleet, scenario: Scenario) -> None:
    """Carry out a scenario's actions at their times."""
    start_s = anyio.current_time()
    for action in scenario.actions:
        await anyio.sleep_until(start_s + action.at_s)
        await perform(action, fleet)


async def drive(fleet: Fleet, plan: Plan) -> list[Outcome]:
    """Send the arrivals while the actions take place."""
    delay_ms = plan.deployment.client_delay_ms
    async with HttpClient() as client, anyio.create_task_group() as tasks:
        entries = EntryList(
            client, fleet.layout.entry_addresses, Random(plan.seed)
        )
        load = LoadClient(client, entries, delay_ms)
        tasks.start_soon(run_actions, fleet, plan.scenario)
        await load.run(plan_arrivals(plan))
    return load.outcomes


def count_cost(
    outcomes: Sequence[Outcome],
    attempts: dict[str, int],
    daemon_cpu_s: float,
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
        wasted=round(wasted, 4),
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
        cpu_s = sum(await fleet.cpu_by_entry()) - cpu_before
        attempts = await fleet.runs_by_service()
    measured = [o for o in outcomes if o.at_s >= WARM_UP_S]
    return PolicyRun(
        policy=policy,
        summary=summarise(measured, plan.scenario.duration_s),
        cost=count_cost(outcomes, attempts, cpu_s),
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

"""Run experiments on real processes."""

import json
import sys
from dataclasses import dataclass, field
from pathlib import Path
from typing import Annotated, Any

import cappa

MEMBERSHIP = "membership"
DAEMON_COST = "daemon-cost"
BASELINE_POLICY = "least_in_flight"
DEFAULT_POLICIES = (BASELINE_POLICY, "berylcart")


@cappa.command(name="run", help="Run one experiment and print its JSON.")
@dataclass
class RunCommand:
    """Run one experiment and print its result."""

    name: Annotated[
        str, cappa.Arg(help="Scenario, membership or daemon-cost.")
    ]
    seed: Annotated[int, cappa.Arg(long=True)] = 1
    deployment: Annotated[
        str, cappa.Arg(long=True, help="authority or cooperative")
    ] = "authority"
    policies: Annotated[
        list[str],
        cappa.Arg(long="--policy", help="A policy to run; may be repeated."),
    ] = field(default_factory=list)
    daemons: Annotated[int, cappa.Arg(long=True)] = 7
    duration_s: Annotated[
        float,
        cappa.Arg(long=True, help="0 selects the duration of the scenario."),
    ] = 0.0
    out: Annotated[
        Path | None,
        cappa.Arg(long=True, help="Output directory for the JSON files."),
    ] = None

    def __call__(self) -> int:
        """Run the experiment and print its result as one line of JSON."""
        if self.name == MEMBERSHIP:
            result = run_membership(self.daemons, self.seed)
        elif self.name == DAEMON_COST:
            result = run_daemon_cost(self.seed)
        else:
            result = self.run_scenario()
        sys.stdout.write(json.dumps(result) + "\n")
        return 0

    def run_scenario(self) -> dict[str, object]:
        """Run one scenario under each selected policy."""
        from berylcart_tools.experiments.deployments import DEPLOYMENTS
        from berylcart_tools.experiments.runner import (
            ExperimentPlan,
            run_experiment,
            summarise_experiment,
        )
        from berylcart_tools.experiments.scenarios import SCENARIOS

        deployment = lookup(DEPLOYMENTS, self.deployment, "deployment")
        scenario = lookup(SCENARIOS, self.name, "experiment")
        if self.duration_s > 0:
            scenario = scenario._replace(duration_s=self.duration_s)
        policies = tuple(self.policies) or DEFAULT_POLICIES
        plan = ExperimentPlan(deployment, scenario, policies, self.seed)
        return summarise_experiment(run_experiment(plan, self.out))


@cappa.command(name="experiment", help="Measure policies under load.")
@dataclass
class Experiment:
    """Group the subcommands that run experiments."""

    command: cappa.Subcommands[RunCommand]

    def __call__(self) -> int:
        """Run the selected subcommand."""
        return self.command()


def run_membership(daemons: int, seed: int) -> Any:
    """Run the membership experiment."""
    from functools import partial

    import anyio

    from berylcart_tools.experiments import membership

    return anyio.run(partial(membership.run_membership, daemons, seed))


def run_daemon_cost(seed: int) -> Any:
    """Measure the processor and memory cost of a daemon."""
    from berylcart_tools.experiments import daemon_cost

    return daemon_cost.run_daemon_cost(seed)


def lookup(values: dict[str, Any], name: str, kind: str) -> Any:
    """Look up a value by name; raises BerylcartError BAD_REQUEST."""
    from berylcart.state.errors import BerylcartError, Code

    if name not in values:
        names = ", ".join(sorted(values))
        raise BerylcartError(
            Code.BAD_REQUEST,
            f"unknown {kind} {name!r}; expected one of: {names}",
        )
    return values[name]

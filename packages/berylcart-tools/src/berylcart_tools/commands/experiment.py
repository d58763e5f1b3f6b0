"""Measure policies on real processes."""

import json
import sys
from dataclasses import dataclass, field
from pathlib import Path
from typing import Annotated, Any

import cappa

MEMBERSHIP = "membership"
DAEMON_COST = "daemon-cost"
BEST_BASELINE = "least_in_flight"
DEFAULT_POLICIES = (BEST_BASELINE, "berylcart")


@cappa.command(name="run", help="Run one experiment and print its JSON.")
@dataclass
class RunCommand:
    """Run one experiment."""

    name: Annotated[
        str, cappa.Arg(help="Scenario, membership or daemon-cost.")
    ]
    seed: Annotated[int, cappa.Arg(long=True)] = 1
    deployment: Annotated[
        str, cappa.Arg(long=True, help="authority or cooperative")
    ] = "authority"
    policies: Annotated[
        list[str], cappa.Arg(long="--policy", help="May be repeated.")
    ] = field(default_factory=list)
    daemons: Annotated[int, cappa.Arg(long=True)] = 7
    duration_s: Annotated[
        float, cappa.Arg(long=True, help="0 takes the scenario's own.")
    ] = 0.0
    out: Annotated[
        Path | None, cappa.Arg(long=True, help="Directory for the JSON.")
    ] = None

    def __call__(self) -> int:
        """Run the experiment and print one line of JSON."""
        if self.name == MEMBERSHIP:
            result = run_membership(self.daemons, self.seed)
        elif self.name == DAEMON_COST:
            result = run_daemon_cost(self.seed)
        else:
            result = self.run_scenario()
        sys.stdout.write(json.dumps(result) + "\n")
        return 0

    def run_scenario(self) -> dict[str, object]:
        """Run one scenario under its policies."""
        from berylcart_tools.experiments.deployments import DEPLOYMENTS
        from berylcart_tools.experiments.runner import (
            Plan,
            brief,
            run_experiment,
        )
        from berylcart_tools.experiments.scenarios import SCENARIOS

        deployment = find_named(DEPLOYMENTS, self.deployment, "deployment")
        scenario = find_named(SCENARIOS, self.name, "experiment")
        if self.duration_s > 0:
            scenario = scenario._replace(duration_s=self.duration_s)
        policies = tuple(self.policies) or DEFAULT_POLICIES
        plan = Plan(deployment, scenario, policies, self.seed)
        return brief(run_experiment(plan, self.out))


@cappa.command(name="experiment", help="Measure policies under load.")
@dataclass
class Experiment:
    """Hold the commands on experiments."""

    command: cappa.Subcommands[RunCommand]

    def __call__(self) -> int:
        """Run the command."""
        return self.command()


def run_membership(daemons: int, seed: int) -> Any:
    """Run the experiment on membership."""
    from functools import partial

    import anyio

    from berylcart_tools.experiments import membership

    return anyio.run(partial(membership.run_membership, daemons, seed))


def run_daemon_cost(seed: int) -> Any:
    """Run the experiment on the daemon's own cost."""
    from berylcart_tools.experiments import daemon_cost

    return daemon_cost.run_daemon_cost(seed)


def find_named(table: dict[str, Any], name: str, kind: str) -> Any:
    """Find a value by its name; raises BerylcartError BAD_REQUEST."""
    from berylcart.state.errors import BerylcartError, Code

    if name not in table:
        names = ", ".join(sorted(table))
        raise BerylcartError(
            Code.BAD_REQUEST, f"no {kind} {name!r}; there are {names}"
        )
    return table[name]

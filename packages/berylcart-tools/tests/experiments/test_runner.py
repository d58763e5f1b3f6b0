"""Tests for planning experiments and computing their cost."""

import pytest
from berylcart_tools.experiments.deployments import AUTHORITY
from berylcart_tools.experiments.outcomes import Outcome, StageSample
from berylcart_tools.experiments.runner import (
    ExperimentPlan,
    compute_cost,
    plan_arrivals,
    resolve_phase_workspaces,
)
from berylcart_tools.experiments.scenarios import SCENARIOS


def test_flood_targets_the_smallest_workspace():
    phases = resolve_phase_workspaces(SCENARIOS["flood"], AUTHORITY.mix)
    assert {phase.workspace for phase in phases} == {"reports"}


@pytest.mark.parametrize("name", sorted(SCENARIOS))
def test_arrivals_are_independent_of_policy(name):
    scenario = SCENARIOS[name]
    plan = ExperimentPlan(AUTHORITY, scenario, ("round_robin",), 3)
    other_plan = plan._replace(policies=("berylcart",))
    arrivals = plan_arrivals(plan)
    assert arrivals
    assert arrivals == plan_arrivals(other_plan)


def test_attempts_without_timely_answer_are_wasted():
    base = Outcome("w", "model", 0.0, 10.0, 0.0, 100, 0, True)
    sample = StageSample("model", 5.0, 1, 0.25)
    outcomes = [
        base._replace(stages=(sample,)),
        base._replace(stages=(sample,), latency_ms=101.0),
    ]
    cost = compute_cost(outcomes, {"model": 4}, daemon_cpu_s=1.0)
    assert cost["useful"] == {"model": 1}
    assert cost["wasted"] == 0.75
    assert cost["engine_seconds_per_answer"] == 0.25


def test_wasted_is_unknown_without_all_execution_records():
    cost = compute_cost([], {"model": 1}, 0.0, has_all_executions=False)
    assert cost["wasted"] is None

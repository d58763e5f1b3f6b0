"""Check how experiments are planned and counted."""

import pytest
from berylcart_tools.experiments.deployments import AUTHORITY
from berylcart_tools.experiments.outcomes import Outcome, StageSample
from berylcart_tools.experiments.runner import (
    Plan,
    count_cost,
    plan_arrivals,
    resolve_phases,
)
from berylcart_tools.experiments.scenarios import SCENARIOS


def test_flood_is_of_the_smallest_workspace():
    phases = resolve_phases(SCENARIOS["flood"], AUTHORITY.mix)
    assert {phase.workspace for phase in phases} == {"reports"}


@pytest.mark.parametrize("name", sorted(SCENARIOS))
def test_every_policy_gets_the_same_arrivals(name):
    scenario = SCENARIOS[name]
    one = Plan(AUTHORITY, scenario, ("round_robin",), 3)
    other = one._replace(policies=("berylcart",))
    arrivals = plan_arrivals(one)
    assert arrivals
    assert arrivals == plan_arrivals(other)


def test_work_without_a_timely_answer_is_wasted():
    base = Outcome("w", "model", 0.0, 10.0, 0.0, 100, 0, True)
    sample = StageSample("model", 5.0, 1, 0.25)
    outcomes = [
        base._replace(stages=(sample,)),
        base._replace(stages=(sample,), latency_ms=101.0),
    ]
    cost = count_cost(outcomes, {"model": 4}, daemon_cpu_s=1.0)
    assert cost["useful"] == {"model": 1}
    assert cost["wasted"] == 0.75
    assert cost["engine_seconds_per_answer"] == 0.25


def test_waste_is_unknown_without_all_witnesses():
    cost = count_cost([], {"model": 1}, 0.0, is_witnessed=False)
    assert cost["wasted"] is None

"""Tests for the in-process simulation of an engine pool."""

import trio
from berylcart.coordination.policy.routing import DEFAULT_POLICY
from berylcart_tools.experiments.arrivals import (
    CallKind,
    TrafficMix,
    generate_arrivals,
)
from berylcart_tools.experiments.baselines import round_robin
from berylcart_tools.experiments.outcomes import attainment
from berylcart_tools.experiments.pool_simulation import (
    SimulationPlan,
    run_simulation,
)
from trio.testing import MockClock

MIX = TrafficMix((("clerks", 1.0),), (CallKind("model", 1.0, max_tokens=32),))


def simulate(plan, rate, seed=1):
    arrivals = generate_arrivals(seed, MIX, rate, 10)
    clock = MockClock(autojump_threshold=0)
    outcomes = trio.run(run_simulation, plan, arrivals, seed, clock=clock)
    assert len(outcomes) == len(arrivals)
    return outcomes


def test_all_calls_meet_their_deadline_under_light_load():
    assert attainment(simulate(SimulationPlan(DEFAULT_POLICY), rate=20)) == 1.0


def test_attainment_with_straggler_exceeds_round_robin():
    plan = SimulationPlan(DEFAULT_POLICY, slow_factor=20)
    attained = attainment(simulate(plan, rate=20))
    baseline_attained = attainment(
        simulate(plan._replace(policy=round_robin), rate=20)
    )
    assert attained > baseline_attained


def test_attainment_under_overload_exceeds_policy_without_admission():
    plan = SimulationPlan(DEFAULT_POLICY, replicas=1)
    attained = attainment(simulate(plan, rate=120))
    baseline_attained = attainment(
        simulate(plan._replace(policy=round_robin), rate=120)
    )
    assert attained > baseline_attained

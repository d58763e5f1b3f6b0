"""Check that the in-process trial serves and accounts."""

import trio
from berylcart.coordination.policy.routing import DEFAULT_POLICY
from berylcart_tools.experiments.arrivals import CallKind, Mix, make_arrivals
from berylcart_tools.experiments.baselines import round_robin
from berylcart_tools.experiments.bench_pool import BenchPlan, run_bench
from berylcart_tools.experiments.outcomes import attainment
from trio.testing import MockClock

MIX = Mix((("clerks", 1.0),), (CallKind("model", 1.0, max_tokens=32),))


def run(plan, rate, seed=1):
    arrivals = make_arrivals(seed, MIX, rate, 10)
    clock = MockClock(autojump_threshold=0)
    outcomes = trio.run(run_bench, plan, arrivals, seed, clock=clock)
    assert len(outcomes) == len(arrivals)
    return outcomes


def test_light_load_is_attained():
    assert attainment(run(BenchPlan(DEFAULT_POLICY), rate=20)) == 1.0


def test_straggler_costs_less_than_with_round_robin():
    plan = BenchPlan(DEFAULT_POLICY, slow_factor=20)
    ours = attainment(run(plan, rate=20))
    theirs = attainment(run(plan._replace(policy=round_robin), rate=20))
    assert ours > theirs


def test_overload_keeps_more_goodput_than_without_admission():
    plan = BenchPlan(DEFAULT_POLICY, replicas=1)
    ours = attainment(run(plan, rate=120))
    theirs = attainment(run(plan._replace(policy=round_robin), rate=120))
    assert ours > theirs

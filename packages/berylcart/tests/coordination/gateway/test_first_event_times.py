"""Test what callers get from the observed times to the first event."""

import pytest
from berylcart.coordination.gateway.first_event_times import (
    MAX_SAMPLES,
    MIN_SAMPLES,
    FirstEventTimes,
)
from berylcart.coordination.gateway.stage_times import ENGINE_FIRST_EVENT_S
from berylcart.state.routes import BatchLimits, RouteKind, RouteStage

from ..gateway_fakes import make_route
from ..serving_fakes import run
from ..stage_fleet import Fleet, Load, StageService, deterministic_scheduling

LIMITS = BatchLimits(1, 2, 8, 200.0, 21.25, 17_600_000, 4.0, 10_000.0)
SUMMARY = make_route(
    RouteKind.STREAM,
    gap_ms=150,
    stages=(RouteStage("portal", (), 1_500_000),),
)._replace(name="summary", path_prefix="/s/", target_ms=790, priority=0)
LETTER = SUMMARY._replace(
    name="letter",
    path_prefix="/l/",
    target_ms=1600,
    stages=(
        RouteStage("portal", (), 8_000),
        RouteStage("portal", (0,), 8_000),
    ),
)
# Three replicas process at most 64 pieces a second; the load asks for 56.
LOADS = (Load(SUMMARY, 14.0, (2,)), Load(LETTER, 14.0, (1, 1)))
FAST_ENGINE_S = 0.05


class FixedTimes(FirstEventTimes):
    """Assume the same time to the first event for all routes."""

    def expected_s(self, route):
        """Return the time of a route without samples."""
        return ENGINE_FIRST_EVENT_S


def simulate(seed, times):
    """Simulate a load with a fast engine; return the fleet."""
    fleets = []

    async def check():
        fleet = Fleet({"portal": StageService(LIMITS, 3)}, LOADS, seed)
        fleet.first_event_s = FAST_ENGINE_S
        fleet.gateway.forwarder.first_event_times = times
        fleets.append(fleet)
        await fleet.simulate(30.0, warm_up_s=5.0)

    with deterministic_scheduling(seed):
        run(check)
    return fleets[0]


def count_on_time(times_type):
    """Return the on-time answers of three loads."""
    fleets = [simulate(seed, times_type()) for seed in (1, 2, 3)]
    return sum(sum(fleet.on_time.values()) for fleet in fleets)


def test_more_answers_are_on_time_when_fast_engines_are_observed():
    assert count_on_time(FirstEventTimes) > count_on_time(FixedTimes)


def test_few_samples_do_not_replace_the_assumed_time():
    times = FirstEventTimes()
    for _ in range(MIN_SAMPLES - 1):
        times.record("r", 0.01)
    assert times.expected_s("r") == ENGINE_FIRST_EVENT_S


def test_old_samples_are_replaced():
    times = FirstEventTimes()
    for time_s in [3.0] * MAX_SAMPLES + [0.1] * MAX_SAMPLES:
        times.record("r", time_s)
    assert times.expected_s("r") == pytest.approx(0.1)
    assert times.expected_s("other") == ENGINE_FIRST_EVENT_S

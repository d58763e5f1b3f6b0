"""Test the share of on-time answers while a stage is overloaded."""

import pytest
from berylcart.state.routes import BatchLimits, RouteKind, RouteStage

from ..gateway_fakes import make_route
from ..serving_fakes import run
from ..stage_fleet import Fleet, Load, StageService, deterministic_scheduling

FIRST_STAGE_LIMITS = BatchLimits(
    1, 2, 4, 150.0, 32.0, 18_000_000, 4.0, 10_000.0
)
SECOND_STAGE_LIMITS = BatchLimits(
    1, 2, 8, 150.0, 16.25, 1_280_000, 4.0, 10_000.0
)
THIRD_STAGE_LIMITS = BatchLimits(1, 2, 15, 150.0, 8.52, 275_000, 4.0, 10_000.0)
CHAIN = (
    RouteStage("first", (), 8_000),
    RouteStage("second", (0,), 60_000),
    RouteStage("third", (1,), 6_000),
)
URGENT = make_route(RouteKind.STREAM, gap_ms=200, stages=CHAIN)._replace(
    name="urgent", path_prefix="/urgent/", target_ms=1900, priority=0
)
PLAIN = URGENT._replace(
    name="plain", path_prefix="/plain/", target_ms=1700, priority=2
)
# Minimum shares that users require, of each class under overload and of the
# urgent route, which must reach that of a day without overload.
MIN_ON_TIME_SHARE = 0.34
MIN_URGENT_ON_TIME_SHARE = 0.40
# How far the on-time share of a route may be below that of a less urgent one.
MAX_SHARE_DEFICIT = 0.15
SEEDS = pytest.mark.parametrize("seed", [1, 2, 3])

LOADS = (Load(URGENT, 2.27, (1, 8, 16)), Load(PLAIN, 3.03, (1, 8, 16)))
EQUAL_PRIORITY_LOADS = tuple(
    each._replace(route=each.route._replace(priority=0)) for each in LOADS
)


def simulate(seed, *, second_replicas=3, third_replicas=3, loads=LOADS):
    """Simulate a load; LOADS has 85 pieces of the third stage a second."""
    services = {
        "first": StageService(FIRST_STAGE_LIMITS, 3),
        "second": StageService(SECOND_STAGE_LIMITS, second_replicas),
        "third": StageService(THIRD_STAGE_LIMITS, third_replicas),
    }
    fleets = []

    async def check():
        fleets.append(Fleet(services, loads, seed))
        await fleets[0].simulate(40.0, warm_up_s=5.0)

    with deterministic_scheduling(seed):
        run(check)
    return fleets[0]


@SEEDS
def test_on_time_share_with_third_stage_at_two_thirds_of_the_load(seed):
    # One replica processes 54 pieces a second.
    fleet = simulate(seed, third_replicas=1, loads=EQUAL_PRIORITY_LOADS)
    assert fleet.on_time_share("urgent") >= MIN_ON_TIME_SHARE
    assert fleet.on_time_share("plain") >= MIN_ON_TIME_SHARE


@SEEDS
def test_on_time_share_with_second_stage_at_two_thirds_of_the_load(
    seed,
):
    # One replica processes 29 pieces a second, and 42 are required.
    fleet = simulate(seed, second_replicas=1, loads=EQUAL_PRIORITY_LOADS)
    assert fleet.on_time_share("urgent") >= MIN_ON_TIME_SHARE
    assert fleet.on_time_share("plain") >= MIN_ON_TIME_SHARE


@SEEDS
def test_urgent_route_of_a_workspace_is_on_time_under_overload(seed):
    # The urgent route requires 36 of the 54 pieces a second.
    fleet = simulate(seed, third_replicas=1)
    urgent = fleet.on_time_share("urgent")
    assert urgent >= MIN_URGENT_ON_TIME_SHARE
    assert urgent >= fleet.on_time_share("plain") - MAX_SHARE_DEFICIT


@SEEDS
def test_large_orders_do_not_make_small_ones_late_under_overload(seed):
    # The small orders require 40 of the 54 pieces a second, the large ones 60.
    small = Load(URGENT, 5.0, (1, 8, 8))
    large = Load(PLAIN._replace(priority=0), 1.5, (1, 8, 40))
    fleet = simulate(seed, third_replicas=1, loads=(small, large))
    assert fleet.on_time_share("urgent") >= MIN_URGENT_ON_TIME_SHARE

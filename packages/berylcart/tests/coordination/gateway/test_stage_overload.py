"""Check what callers get while a stage can't keep up with those before it."""

import pytest
from berylcart.state.routes import BatchLimits, RouteKind, RouteStage

from ..gateway_fakes import make_route
from ..serving_fakes import run
from ..stage_fleet import Fleet, Load, StageService, ordered_tasks

FIRST = BatchLimits(1, 2, 4, 150.0, 32.0, 18_000_000, 4.0, 10_000.0)
SECOND = BatchLimits(1, 2, 8, 150.0, 16.25, 1_280_000, 4.0, 10_000.0)
THIRD = BatchLimits(1, 2, 15, 150.0, 8.52, 275_000, 4.0, 10_000.0)
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
# The users' floors: of each class on such a day, and on a calm one.
FLOOR = 0.34
CALM_FLOOR = 0.40
# By how much a route may earn less than a less urgent one.
BEHIND = 0.15
SEEDS = pytest.mark.parametrize("seed", [1, 2, 3])

LOADS = (Load(URGENT, 2.27, (1, 8, 16)), Load(PLAIN, 3.03, (1, 8, 16)))
EQUAL = tuple(
    each._replace(route=each.route._replace(priority=0)) for each in LOADS
)


def play(seed, *, seconds=3, thirds=3, loads=LOADS):
    """Play a load, LOADS with 85 pieces of the third stage a second."""
    services = {
        "first": StageService(FIRST, 3),
        "second": StageService(SECOND, seconds),
        "third": StageService(THIRD, thirds),
    }
    fleets = []

    async def check():
        fleets.append(Fleet(services, loads, seed))
        await fleets[0].play(40.0, count_from_s=5.0)

    with ordered_tasks(seed):
        run(check)
    return fleets[0]


@SEEDS
def test_a_third_stage_that_makes_two_thirds_of_the_load_is_late_for_few(seed):
    # One replica makes 54 pieces a second.
    fleet = play(seed, thirds=1, loads=EQUAL)
    assert fleet.share_in_time("urgent") >= FLOOR
    assert fleet.share_in_time("plain") >= FLOOR


@SEEDS
def test_a_second_stage_that_makes_two_thirds_of_the_load_is_late_for_few(
    seed,
):
    # One replica makes 29 pieces a second, and 42 are wanted.
    fleet = play(seed, seconds=1, loads=EQUAL)
    assert fleet.share_in_time("urgent") >= FLOOR
    assert fleet.share_in_time("plain") >= FLOOR


@SEEDS
def test_the_urgent_route_of_a_workspace_is_served_when_stages_are_short(seed):
    # The urgent route wants 36 of the 54 pieces a second.
    fleet = play(seed, thirds=1)
    urgent = fleet.share_in_time("urgent")
    assert urgent >= CALM_FLOOR
    assert urgent >= fleet.share_in_time("plain") - BEHIND


@SEEDS
def test_large_orders_make_no_small_ones_late_behind_a_short_stage(seed):
    # The small orders want 40 of the 54 pieces a second, the large ones 60.
    small = Load(URGENT, 5.0, (1, 8, 8))
    large = Load(PLAIN._replace(priority=0), 1.5, (1, 8, 40))
    fleet = play(seed, thirds=1, loads=(small, large))
    assert fleet.share_in_time("urgent") >= CALM_FLOOR

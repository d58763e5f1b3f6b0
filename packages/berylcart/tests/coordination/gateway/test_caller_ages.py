"""Check how long callers are taken to have waited."""

from berylcart.coordination.gateway.caller_ages import (
    KEPT_DEADLINES,
    CallerAges,
)


def test_routes_are_learnt_apart():
    ages = CallerAges()
    assert ages.age_ms("long", 15_000) == 0
    assert ages.age_ms("short", 5_000) == 0
    assert ages.age_ms("long", 12_000) == 3_000


def test_a_shorter_limit_of_all_callers_is_learnt_in_time():
    ages = CallerAges()
    ages.age_ms("r", 15_000)
    known = [ages.age_ms("r", 8_000) for _ in range(KEPT_DEADLINES)]
    assert known[0] == 7_000
    assert known[-1] == 0


def test_small_differences_are_no_age():
    ages = CallerAges()
    ages.age_ms("r", 15_000)
    assert ages.age_ms("r", 14_800) == 0

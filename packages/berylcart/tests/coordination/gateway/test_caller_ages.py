"""Test the estimate of how long callers have waited."""

import random

from berylcart.coordination.gateway.caller_ages import (
    MAX_DEADLINE_SAMPLES,
    MIN_DEADLINE_SAMPLES,
    RequestAgeEstimator,
)


def make_ages(**limits):
    ages = RequestAgeEstimator()
    for route, limit_ms in limits.items():
        for _ in range(MIN_DEADLINE_SAMPLES):
            assert ages.age_ms(route, limit_ms) == 0
    return ages


def test_deadlines_are_tracked_per_route():
    ages = make_ages(long=15_000, short=5_000)
    assert ages.age_ms("long", 12_000) == 3_000
    assert ages.age_ms("short", 5_000) == 0


def test_shorter_deadline_of_all_callers_becomes_usual():
    ages = make_ages(r=15_000)
    known = [ages.age_ms("r", 8_000) for _ in range(MAX_DEADLINE_SAMPLES)]
    assert known[0] == 7_000
    assert known[-1] == 0


def test_small_deadline_differences_are_ignored():
    ages = make_ages(r=15_000)
    assert ages.age_ms("r", 14_800) == 0


def test_single_sample_detects_no_retry():
    ages = RequestAgeEstimator()
    assert ages.age_ms("r", 15_000) == 0
    assert ages.age_ms("r", 12_000) == 0


def test_varying_deadlines_are_not_taken_for_retries():
    ages = RequestAgeEstimator()
    rng = random.Random(16)
    limits = [int(12_000 * rng.uniform(0.85, 1.15)) for _ in range(200)]
    taken = [limit for limit in limits if ages.age_ms("r", limit)]
    assert len(taken) <= 0.02 * len(limits)


def test_retry_is_detected_among_varying_deadlines():
    ages = RequestAgeEstimator()
    rng = random.Random(16)
    for _ in range(MAX_DEADLINE_SAMPLES):
        ages.age_ms("r", int(12_000 * rng.uniform(0.85, 1.15)))
    assert 3_500 <= ages.age_ms("r", 8_000) <= 4_500

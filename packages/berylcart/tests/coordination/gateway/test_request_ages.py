"""Test the estimate of how long callers have waited."""

import random

from berylcart.coordination.gateway.request_ages import (
    MAX_DEADLINE_SAMPLES,
    MIN_DEADLINE_SAMPLES,
    RequestAgeEstimator,
)


def make_estimator(**limits):
    estimator = RequestAgeEstimator()
    for route, limit_ms in limits.items():
        for _ in range(MIN_DEADLINE_SAMPLES):
            assert estimator.age_ms(route, limit_ms) == 0
    return estimator


def test_deadlines_are_tracked_per_route():
    estimator = make_estimator(long=15_000, short=5_000)
    assert estimator.age_ms("long", 12_000) == 3_000
    assert estimator.age_ms("short", 5_000) == 0


def test_shorter_deadline_of_all_callers_becomes_usual():
    estimator = make_estimator(r=15_000)
    ages_ms = [
        estimator.age_ms("r", 8_000) for _ in range(MAX_DEADLINE_SAMPLES)
    ]
    assert ages_ms[0] == 7_000
    assert ages_ms[-1] == 0


def test_small_deadline_differences_are_ignored():
    estimator = make_estimator(r=15_000)
    assert estimator.age_ms("r", 14_800) == 0


def test_single_sample_detects_no_retry():
    estimator = RequestAgeEstimator()
    assert estimator.age_ms("r", 15_000) == 0
    assert estimator.age_ms("r", 12_000) == 0


def test_varying_deadlines_are_not_taken_for_retries():
    estimator = RequestAgeEstimator()
    rng = random.Random(16)
    limits = [int(12_000 * rng.uniform(0.85, 1.15)) for _ in range(200)]
    retries = [limit for limit in limits if estimator.age_ms("r", limit)]
    assert len(retries) <= 0.02 * len(limits)


def test_retry_is_detected_among_varying_deadlines():
    estimator = RequestAgeEstimator()
    rng = random.Random(16)
    for _ in range(MAX_DEADLINE_SAMPLES):
        estimator.age_ms("r", int(12_000 * rng.uniform(0.85, 1.15)))
    assert 3_500 <= estimator.age_ms("r", 8_000) <= 4_500

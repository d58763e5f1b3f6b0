"""Check that the limit follows what the upstreams can take."""

from berylcart.coordination.policy.concurrency import (
    AdaptiveLimit,
    LimitSettings,
)


def feed(limit, clock, capacity, answers):
    """Answer as a pool does that slows down beyond its capacity."""
    for _ in range(answers):
        in_flight = limit.value
        latency_ms = 100 * max(1, in_flight / capacity)
        clock.now_s += latency_ms / 1000 / in_flight
        limit.record(latency_ms, in_flight)


def test_limit_settles_between_capacity_and_tolerated_slowdown(clock):
    limit = AdaptiveLimit(LimitSettings(initial=4), clock)
    feed(limit, clock, capacity=20, answers=5000)
    assert 20 <= limit.value <= 3.2 * 20


def test_limit_follows_a_loss_of_capacity(clock):
    limit = AdaptiveLimit(LimitSettings(initial=20), clock)
    feed(limit, clock, capacity=40, answers=3000)
    feed(limit, clock, capacity=5, answers=1000)
    assert limit.value <= 3.5 * 5


def test_idle_answers_do_not_raise_the_limit():
    limit = AdaptiveLimit(LimitSettings(initial=50), lambda: 1.0)
    for _ in range(500):
        limit.record(100, in_flight=1)
    assert limit.value == 50


def test_limit_stays_within_its_bounds(clock):
    limit = AdaptiveLimit(LimitSettings(10, 3, 12), clock)
    for _ in range(100):
        clock.now_s += 10
        limit.record_overload()
    assert limit.value == 3
    for _ in range(500):
        limit.record(100, in_flight=20)
    assert limit.value == 12


def test_jitter_of_short_calls_is_no_strain(clock):
    limit = AdaptiveLimit(LimitSettings(initial=16), clock)
    for number in range(500):
        clock.now_s += 0.05
        limit.record(5.0 if number % 5 == 0 else 40.0, in_flight=1)
    assert limit.value == 16


def test_latency_well_within_the_deadline_is_no_strain(clock):
    patient = AdaptiveLimit(LimitSettings(initial=16), clock)
    hurried = AdaptiveLimit(LimitSettings(initial=16), clock)
    for number in range(200):
        clock.now_s += 0.05
        latency_ms = 200.0 if number == 0 else 1000.0
        patient.record(latency_ms, in_flight=16, deadline_ms=3000.0)
        hurried.record(latency_ms, in_flight=16, deadline_ms=1000.0)
    assert patient.value >= 16
    assert hurried.value < 16

"""Test that the limit adapts to the capacity of the upstreams."""

from berylcart.coordination.policy.concurrency import (
    AdaptiveLimit,
    LimitSettings,
)


def simulate_replies(limit, clock, capacity, replies):
    """Simulate a pool whose latency grows linearly above its capacity."""
    for _ in range(replies):
        in_flight = limit.value
        latency_ms = 100 * max(1, in_flight / capacity)
        clock.now_s += latency_ms / 1000 / in_flight
        limit.record(latency_ms, in_flight)


def test_limit_converges_between_capacity_and_tolerated_slowdown(clock):
    limit = AdaptiveLimit(LimitSettings(initial=4), clock)
    simulate_replies(limit, clock, capacity=20, replies=5000)
    assert 20 <= limit.value <= 3.2 * 20


def test_limit_decreases_with_the_capacity(clock):
    limit = AdaptiveLimit(LimitSettings(initial=20), clock)
    simulate_replies(limit, clock, capacity=40, replies=3000)
    simulate_replies(limit, clock, capacity=5, replies=1000)
    assert limit.value <= 3.5 * 5


def test_replies_below_half_the_limit_do_not_raise_it():
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


def test_jitter_of_short_calls_does_not_decrease_the_limit(clock):
    limit = AdaptiveLimit(LimitSettings(initial=16), clock)
    for number in range(500):
        clock.now_s += 0.05
        limit.record(5.0 if number % 5 == 0 else 40.0, in_flight=1)
    assert limit.value == 16


def test_latency_well_within_the_deadline_does_not_decrease_the_limit(clock):
    long_deadline = AdaptiveLimit(LimitSettings(initial=16), clock)
    short_deadline = AdaptiveLimit(LimitSettings(initial=16), clock)
    for number in range(200):
        clock.now_s += 0.05
        latency_ms = 200.0 if number == 0 else 1000.0
        long_deadline.record(latency_ms, in_flight=16, deadline_ms=3000.0)
        short_deadline.record(latency_ms, in_flight=16, deadline_ms=1000.0)
    assert long_deadline.value >= 16
    assert short_deadline.value < 16

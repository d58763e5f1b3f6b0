"""Test the estimates of load and latency."""

import pytest
from berylcart.coordination.policy.load_table import LoadTable
from berylcart.state.config import Service, ServiceKind

MODEL = Service("model", ServiceKind.ENGINE, frozenset({"lahore-1"}))


@pytest.fixture
def table(clock):
    return LoadTable(clock)


def test_in_flight_attempts_raise_the_expected_latency(table, make_pool):
    vm = make_pool(1)[0]
    idle_ms = table.expected_ms(vm, MODEL)
    table.started(vm)
    assert table.expected_ms(vm, MODEL) > idle_ms


def test_weight_of_reports_decreases_with_age(table, clock, make_pool):
    vm, other = make_pool(2)
    table.reported(vm, in_flight=8, queued=8, capacity=8, age_ms=0)
    table.reported(other, in_flight=8, queued=8, capacity=8, age_ms=2000)
    assert table.expected_ms(vm, MODEL) > table.expected_ms(other, MODEL)
    fresh_ms = table.expected_ms(vm, MODEL)
    clock.now_s = 5
    assert table.expected_ms(vm, MODEL) < fresh_ms


def test_own_attempts_in_a_report_are_not_counted_twice(table, make_pool):
    vm = make_pool(1)[0]
    table.started(vm)
    before = table.occupancy(vm)
    table.reported(vm, in_flight=1, queued=0, capacity=8, age_ms=0)
    assert table.occupancy(vm) == before


def test_expected_latency_reflects_a_slow_replica(table, make_pool):
    slow, fast = make_pool(2)
    for _ in range(20):
        for vm, latency_ms in ((slow, 500), (fast, 100)):
            table.started(vm)
            table.finished(vm, latency_ms, True)
    assert table.expected_ms(slow, MODEL) > 2 * table.expected_ms(fast, MODEL)


def test_fast_failures_do_not_lower_the_expected_latency(table, make_pool):
    failing, good = make_pool(2)
    for _ in range(20):
        table.started(good)
        table.finished(good, 100, True)
    for _ in range(5):
        table.started(failing)
        table.finished(failing, 1, False)
    assert table.expected_ms(failing, MODEL) > table.expected_ms(good, MODEL)


def test_cancelled_attempts_can_only_raise_the_estimate(table, make_pool):
    vm = make_pool(1)[0]
    table.started(vm)
    table.finished(vm, 100, True)
    before_ms = table.expected_ms(vm, MODEL)
    table.started(vm)
    table.cancelled(vm, 1)
    assert table.expected_ms(vm, MODEL) == before_ms
    table.started(vm)
    table.cancelled(vm, 900)
    assert table.expected_ms(vm, MODEL) > before_ms
    assert table.in_flight(vm) == 0


def test_retain_discards_estimates_of_other_vms(table, make_pool):
    gone, kept = make_pool(2)
    for vm in (gone, kept):
        table.started(vm)
        table.finished(vm, 10, True)
    table.retain([kept])
    assert len(table.loads) == 1


def test_new_instance_has_no_attempts_in_flight(table, make_pool):
    vm = make_pool(1)[0]
    table.started(vm)
    assert table.in_flight(vm._replace(instance="new")) == 0


def test_reports_below_capacity_do_not_change_the_expected_latency(
    table, make_pool
):
    busy, idle = make_pool(2)
    table.reported(busy, in_flight=6, queued=0, capacity=8, age_ms=0)
    table.reported(idle, in_flight=1, queued=0, capacity=8, age_ms=0)
    assert table.expected_ms(busy, MODEL) == table.expected_ms(idle, MODEL)
    table.reported(busy, in_flight=8, queued=200, capacity=8, age_ms=0)
    assert table.expected_ms(busy, MODEL) > table.expected_ms(idle, MODEL)

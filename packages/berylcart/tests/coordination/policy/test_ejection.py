"""Test the ejection of replicas, its bound, probes and restoration."""

import pytest
from berylcart.coordination.policy.ejection import (
    MAX_CONSECUTIVE_FAILURES,
    Ejector,
)


@pytest.fixture
def ejector(clock):
    return Ejector(clock)


def record_attempts(ejector, pool, latency_ms, is_ok=True, times=10):
    for _ in range(times):
        for vm in pool:
            ejector.record_outcome(vm, latency_ms, is_ok)


def test_slow_replica_is_ejected(ejector, make_pool):
    pool = make_pool(5)
    record_attempts(ejector, pool[1:], 100)
    record_attempts(ejector, pool[:1], 500)
    assert ejector.usable(pool) == pool[1:]


def test_moderate_latency_differences_eject_no_replica(ejector, make_pool):
    pool = make_pool(3)
    for vm, latency_ms in zip(pool, (100, 150, 200), strict=True):
        record_attempts(ejector, [vm], latency_ms)
    assert ejector.usable(pool) == pool


@pytest.mark.parametrize(
    ("size", "usable_count"), [(1, 1), (2, 1), (3, 2), (4, 2), (5, 3)]
)
def test_at_most_half_of_a_pool_is_ejected(
    ejector, make_pool, size, usable_count
):
    pool = make_pool(size)
    record_attempts(ejector, pool, 10, is_ok=False)
    assert len(ejector.usable(pool)) == usable_count


def test_replica_is_restored_only_after_successful_probes(
    ejector, clock, make_pool
):
    pool = make_pool(5)
    record_attempts(ejector, pool[1:], 100)
    record_attempts(ejector, pool[:1], 100, is_ok=False, times=3)
    assert ejector.probe(pool) is None
    clock.now_s = 3
    assert ejector.probe(pool) == pool[0]
    assert ejector.probe(pool) is None
    ejector.record_outcome(pool[0], 110, True)
    assert pool[0] not in ejector.usable(pool)
    assert ejector.probe(pool) == pool[0]
    ejector.record_outcome(pool[0], 110, True)
    assert pool[0] in ejector.usable(pool)


def test_failed_probe_doubles_the_ejection_period(ejector, clock, make_pool):
    pool = make_pool(5)
    record_attempts(ejector, pool[1:], 100)
    record_attempts(ejector, pool[:1], 100, is_ok=False, times=3)
    clock.now_s = 3
    assert ejector.probe(pool) == pool[0]
    ejector.record_outcome(pool[0], 5, False)
    clock.now_s = 6
    assert ejector.probe(pool) is None
    clock.now_s = 8
    assert ejector.probe(pool) == pool[0]


def test_results_of_earlier_attempts_do_not_count_as_probes(
    ejector, clock, make_pool
):
    pool = make_pool(5)
    record_attempts(ejector, pool[1:], 100)
    record_attempts(ejector, pool[:1], 100, is_ok=False, times=3)
    record_attempts(ejector, pool[:1], 100)
    assert pool[0] not in ejector.usable(pool)
    record_attempts(ejector, pool[:1], 100, is_ok=False)
    clock.now_s = 3
    assert ejector.probe(pool) == pool[0]


def test_slow_probe_does_not_restore_the_replica(ejector, clock, make_pool):
    pool = make_pool(5)
    record_attempts(ejector, pool[1:], 100)
    record_attempts(ejector, pool[:1], 500)
    clock.now_s = 3
    assert ejector.probe(pool) == pool[0]
    ejector.record_outcome(pool[0], 250, True)
    assert pool[0] not in ejector.usable(pool)


def test_slow_cancelled_attempts_eject_a_replica(ejector, make_pool):
    pool = make_pool(5)
    record_attempts(ejector, pool[1:], 100)
    for _ in range(10):
        ejector.cancelled(pool[0], 500)
    assert pool[0] not in ejector.usable(pool)


def test_lost_races_count_as_failures_only_of_a_stalled_replica(
    ejector, make_pool
):
    pool = make_pool(5)
    record_attempts(ejector, pool[1:], 100)
    for _ in range(9):
        ejector.record_lost_race(pool[0], 120, has_stalled=False)
    assert not ejector.is_ejected(pool[0])
    for _ in range(MAX_CONSECUTIVE_FAILURES):
        ejector.record_lost_race(pool[0], 120, has_stalled=True)
    assert ejector.is_ejected(pool[0])


def test_lost_race_is_not_a_successful_probe(ejector, clock, make_pool):
    """Guard against restoring a slow replica because of lost races.

    A probe that is cancelled as another replica was faster ends early, and
    its elapsed time looks like a low latency.
    """
    pool = make_pool(5)
    record_attempts(ejector, pool[1:], 100)
    record_attempts(ejector, pool[:1], 500)
    for number in range(1, 4):
        clock.now_s = 12 * number
        assert ejector.probe(pool) == pool[0]
        ejector.record_lost_race(pool[0], 120, has_stalled=False)
    assert ejector.is_ejected(pool[0])


def test_retain_discards_state_of_other_replicas(ejector, make_pool):
    pool = make_pool(2)
    record_attempts(ejector, pool, 100)
    ejector.retain(pool[:1])
    assert len(ejector.services["model"]) == 1

"""Check ejection, its bound, probes and hysteresis."""

import pytest
from berylcart.coordination.policy.ejection import (
    MAX_FAILURES_IN_ROW,
    Ejector,
)


@pytest.fixture
def ejector(clock):
    return Ejector(clock)


def note_all(ejector, pool, latency_ms, is_ok=True, times=10):
    for _ in range(times):
        for vm in pool:
            ejector.note(vm, latency_ms, is_ok)


def test_straggler_is_left_out(ejector, make_pool):
    pool = make_pool(5)
    note_all(ejector, pool[1:], 100)
    note_all(ejector, pool[:1], 500)
    assert ejector.usable(pool) == pool[1:]


def test_uneven_but_similar_replicas_stay(ejector, make_pool):
    pool = make_pool(3)
    for vm, latency_ms in zip(pool, (100, 150, 200), strict=True):
        note_all(ejector, [vm], latency_ms)
    assert ejector.usable(pool) == pool


@pytest.mark.parametrize(
    ("size", "left"), [(1, 1), (2, 1), (3, 2), (4, 2), (5, 3)]
)
def test_never_below_half_of_a_pool(ejector, make_pool, size, left):
    pool = make_pool(size)
    note_all(ejector, pool, 10, is_ok=False)
    assert len(ejector.usable(pool)) == left


def test_comes_back_only_after_good_probes(ejector, clock, make_pool):
    pool = make_pool(5)
    note_all(ejector, pool[1:], 100)
    note_all(ejector, pool[:1], 100, is_ok=False, times=3)
    assert ejector.probe(pool) is None
    clock.now_s = 3
    assert ejector.probe(pool) == pool[0]
    assert ejector.probe(pool) is None
    ejector.note(pool[0], 110, True)
    assert pool[0] not in ejector.usable(pool)
    assert ejector.probe(pool) == pool[0]
    ejector.note(pool[0], 110, True)
    assert pool[0] in ejector.usable(pool)


def test_failed_probe_doubles_the_ejection(ejector, clock, make_pool):
    pool = make_pool(5)
    note_all(ejector, pool[1:], 100)
    note_all(ejector, pool[:1], 100, is_ok=False, times=3)
    clock.now_s = 3
    assert ejector.probe(pool) == pool[0]
    ejector.note(pool[0], 5, False)
    clock.now_s = 6
    assert ejector.probe(pool) is None
    clock.now_s = 8
    assert ejector.probe(pool) == pool[0]


def test_late_answers_are_no_probes(ejector, clock, make_pool):
    pool = make_pool(5)
    note_all(ejector, pool[1:], 100)
    note_all(ejector, pool[:1], 100, is_ok=False, times=3)
    note_all(ejector, pool[:1], 100)
    assert pool[0] not in ejector.usable(pool)
    note_all(ejector, pool[:1], 100, is_ok=False)
    clock.now_s = 3
    assert ejector.probe(pool) == pool[0]


def test_slow_probe_keeps_it_out(ejector, clock, make_pool):
    pool = make_pool(5)
    note_all(ejector, pool[1:], 100)
    note_all(ejector, pool[:1], 500)
    clock.now_s = 3
    assert ejector.probe(pool) == pool[0]
    ejector.note(pool[0], 250, True)
    assert pool[0] not in ejector.usable(pool)


def test_cancelled_attempts_reveal_a_straggler(ejector, make_pool):
    pool = make_pool(5)
    note_all(ejector, pool[1:], 100)
    for _ in range(10):
        ejector.cancelled(pool[0], 500)
    assert pool[0] not in ejector.usable(pool)


def test_outrun_attempts_fail_only_a_stalled_replica(ejector, make_pool):
    pool = make_pool(5)
    note_all(ejector, pool[1:], 100)
    for _ in range(9):
        ejector.outrun(pool[0], 120, has_stalled=False)
    assert not ejector.is_ejected(pool[0])
    for _ in range(MAX_FAILURES_IN_ROW):
        ejector.outrun(pool[0], 120, has_stalled=True)
    assert ejector.is_ejected(pool[0])


def test_outrun_probe_is_no_good_one(ejector, clock, make_pool):
    """Guards against a slow replica that comes back by attempts that lost."""
    pool = make_pool(5)
    note_all(ejector, pool[1:], 100)
    note_all(ejector, pool[:1], 500)
    for number in range(1, 4):
        clock.now_s = 12 * number
        assert ejector.probe(pool) == pool[0]
        ejector.outrun(pool[0], 120, has_stalled=False)
    assert ejector.is_ejected(pool[0])


def test_records_go_with_their_vms(ejector, make_pool):
    pool = make_pool(2)
    note_all(ejector, pool, 100)
    ejector.retain(pool[:1])
    assert len(ejector.services["model"]) == 1

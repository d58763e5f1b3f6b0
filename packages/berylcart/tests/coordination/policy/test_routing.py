"""Test the choice of upstreams by load, affinity and ejection."""

from collections import Counter
from random import Random

import pytest
from berylcart.coordination.policy.ejection import Ejector
from berylcart.coordination.policy.load_table import LoadTable
from berylcart.coordination.policy.routing import Router
from berylcart.state.config import Service, ServiceKind

MODEL = Service("model", ServiceKind.ENGINE, frozenset({"lahore-1"}))


@pytest.fixture
def table():
    return LoadTable(lambda: 0.0)


@pytest.fixture
def ejector():
    return Ejector(lambda: 0.0)


@pytest.fixture
def router(table, ejector):
    return Router(table, ejector, Random(5))


def test_empty_pool_returns_none(router):
    assert router.choose((), service=MODEL) is None
    assert router.hedge_target((), service=MODEL) is None


def test_excluded_vms_are_never_chosen(router, make_pool):
    pool = make_pool(3)
    exclude = frozenset({"v0", "v2"})
    for _ in range(20):
        vm = router.choose(pool, service=MODEL, exclude=exclude)
        assert vm.vm_id == "v1"


def test_busy_replicas_are_avoided(router, table, make_pool):
    pool = make_pool(3)
    for _ in range(8):
        table.started(pool[0])
    chosen = {router.choose(pool, service=MODEL).vm_id for _ in range(50)}
    assert "v0" not in chosen


def test_repeated_prefix_is_routed_to_one_replica(router, make_pool):
    pool = make_pool(5)
    router.choose(pool, service=MODEL, affinity="prefix")
    chosen = {
        router.choose(pool, service=MODEL, affinity="prefix").vm_id
        for _ in range(20)
    }
    assert len(chosen) == 1


def test_removing_a_vm_reroutes_only_its_own_prefixes(router, make_pool):
    pool = make_pool(5)
    names = [f"prefix-{number}" for number in range(200)]
    for name in names:
        router.choose(pool, service=MODEL, affinity=name)
    before = {
        name: router.choose(pool, service=MODEL, affinity=name).vm_id
        for name in names
    }
    after = {
        name: router.choose(pool[1:], service=MODEL, affinity=name).vm_id
        for name in names
    }
    moved = [name for name in names if before[name] != after[name]]
    assert all(before[name] == "v0" for name in moved)


def test_affinity_is_bounded_by_load(router, table, make_pool):
    pool = make_pool(5)
    counts = Counter()
    for _ in range(60):
        vm = router.choose(pool, service=MODEL, affinity="hot")
        table.started(vm)
        counts[vm.vm_id] += 1
    assert len(counts) >= 4
    assert max(counts.values()) <= 1.25 * 12 + 2


def test_hedge_goes_to_another_replica_and_keeps_the_affinity(
    router, make_pool
):
    pool = make_pool(5)
    router.choose(pool, service=MODEL, affinity="p")
    first = router.choose(pool, service=MODEL, affinity="p")
    second = router.hedge_target(
        pool,
        service=MODEL,
        affinity="p",
        exclude=frozenset({first.vm_id}),
    )
    assert second.vm_id != first.vm_id
    assert router.choose(pool, service=MODEL, affinity="p") == first


def test_ejected_replica_is_chosen_only_if_all_others_are_excluded(
    router, ejector, make_pool
):
    pool = make_pool(3)
    for _ in range(5):
        ejector.record_outcome(pool[0], 1, False)
    others = frozenset({"v1", "v2"})
    assert router.choose(pool, service=MODEL).vm_id in others
    last = router.choose(pool, service=MODEL, exclude=others)
    assert last == pool[0]
    assert router.hedge_target(pool, service=MODEL, exclude=others) is None


def test_prefix_seen_once_is_routed_to_the_least_loaded_replica(
    router, table, make_pool
):
    pool = make_pool(2)
    for _ in range(3):
        table.started(pool[0])
    names = [f"only-once-{number}" for number in range(20)]
    chosen = {
        router.choose(pool, service=MODEL, affinity=name).vm_id
        for name in names
    }
    assert chosen == {"v1"}


def test_seen_prefixes_are_bounded(router, make_pool):
    pool = make_pool(2)
    for number in range(5000):
        router.choose(pool, service=MODEL, affinity=f"prefix-{number}")
    assert len(router.seen_prefixes) <= 4096

"""Test that no state of a replica outlives its restart."""

import anyio
from berylcart.coordination.policy.ejection import MAX_CONSECUTIVE_FAILURES
from berylcart.state.relay_messages import ReplicaLoad, ReplicaNotice

from ..gateway_fakes import (
    BOOKING,
    RESUMABLE,
    SERVICE,
    make_keeper,
    make_policy,
    make_vm,
)
from ..serving_fakes import run
from .test_batcher import (
    FakeReplicas,
    make_batcher,
    make_order,
    with_batcher,
)
from .test_batcher import make_vm as make_stage_vm

OLD = make_vm("v1")
NEW = OLD._replace(incarnation=2)


def test_failures_and_load_are_tracked_per_incarnation():
    """Guards against ejecting a new process for its predecessor's failures."""

    async def check():
        policy = make_policy(make_keeper(BOOKING))
        others = [make_vm("v2"), make_vm("v3")]
        for vm in others:
            policy.ejector.record_outcome(vm, 10.0, is_ok=True)
        for _ in range(MAX_CONSECUTIVE_FAILURES):
            policy.load_table.started(OLD)
            policy.ejector.record_outcome(OLD, 10.0, is_ok=False)
        assert OLD not in policy.ejector.usable([OLD, *others])
        assert NEW in policy.ejector.usable([NEW, *others])
        assert policy.load_table.in_flight(OLD)
        assert not policy.load_table.in_flight(NEW)
        assert policy.load_table.occupancy(NEW) == 0

    run(check)


def test_limits_and_pauses_are_tracked_per_incarnation():
    async def check():
        policy = make_policy(make_keeper(BOOKING))
        policy.limits.cold_per_s = lambda service: 5.9
        notice = ReplicaNotice(
            limit_per_s=0.5, retry_after_s=9.0, cold_ms=9000
        )
        policy.apply_notice(OLD, notice)
        assert not policy.ready([OLD], frozenset())
        assert policy.ready([NEW], frozenset()) == [NEW]
        policy.retain((NEW,))
        assert not policy.limits.limits
        assert not policy.limits.cold_ends_s
        assert not policy.pauses.ends_s

    run(check)


def test_results_of_an_earlier_incarnation_are_forgotten():
    """Guards against drop requests to a process without the results."""

    async def check():
        replicas = FakeReplicas()
        pool = [make_stage_vm("v1")]
        batcher = make_batcher(replicas, pool)

        async def body(_):
            handles = await batcher.make_pieces(make_order("r1", 3))
            old = pool[0]
            assert batcher.replica_tracker.state(old).held_bytes
            pool[0] = old._replace(incarnation=2)
            batcher.release_results(handles[:2])
            await anyio.sleep(1)
            assert not replicas.freed
            assert not batcher.replica_tracker.state(pool[0]).held_bytes
            batcher.release_results(["v1:80/of-another-home"])
            await anyio.sleep(1)
            assert replicas.freed == ["v1:80/of-another-home"]

        await with_batcher(batcher, body)

    run(check)


def test_results_waiting_to_be_dropped_are_forgotten_with_their_replica():
    async def check():
        replicas = FakeReplicas()
        pool = [make_stage_vm("v1")]
        batcher = make_batcher(replicas, pool)

        async def body(_):
            handles = await batcher.make_pieces(make_order("r1", 3))
            batcher.release_results(handles)
            pool[0] = pool[0]._replace(incarnation=2)
            await anyio.sleep(1)
            assert not replicas.freed

        await with_batcher(batcher, body)

    run(check)


def test_results_of_a_relisted_replica_are_dropped():
    """An entry may expire while its replica keeps running."""

    async def check():
        replicas = FakeReplicas()
        pool = [make_stage_vm("v1")]
        batcher = make_batcher(replicas, pool)

        async def body(_):
            handles = await batcher.make_pieces(make_order("r1", 1))
            vm = pool.pop()
            batcher.replica_tracker.retain(pool)
            pool.append(vm)
            batcher.release_results(handles)
            await anyio.sleep(1)
            assert replicas.freed == list(handles)

        await with_batcher(batcher, body)

    run(check)


def test_reported_load_counts_for_plain_services_only():
    """The number of an engine's slots does not indicate its latency."""

    async def check():
        load = ReplicaLoad(running=4, waiting=30, slots=4)
        policy = make_policy(make_keeper(BOOKING))
        policy.apply_notice(make_vm("v2", "plain"), ReplicaNotice(load=load))
        assert policy.load_table.capacity(make_vm("v2", "plain")) == 4
        assert policy.load_table.occupancy(make_vm("v2", "plain")) > 1
        engine = make_policy(make_keeper(RESUMABLE))
        engine.apply_notice(make_vm("v1", SERVICE), ReplicaNotice(load=load))
        assert engine.load_table.occupancy(make_vm("v1", SERVICE)) == 0

    run(check)


def test_reported_speed_counts_less_than_a_measured_call():
    """Guards against one report marking a replica as slow for long."""

    async def check():
        batcher = make_batcher(FakeReplicas(), [make_stage_vm("v1")])
        state = batcher.replica_tracker.state(make_stage_vm("v1"))
        batcher.record_load(make_stage_vm("v1"), ReplicaLoad(1, 0, 1, 300))
        once = state.slowdown_at(anyio.current_time())
        assert 1.2 < once < 1.6
        for _ in range(20):
            batcher.record_load(make_stage_vm("v1"), ReplicaLoad(1, 0, 1, 300))
        assert state.slowdown_at(anyio.current_time()) > 2.5

    run(check)

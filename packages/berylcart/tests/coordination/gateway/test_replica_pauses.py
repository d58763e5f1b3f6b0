"""Test that replicas are paused for exactly the time they ask for."""

import anyio
from berylcart.coordination.gateway.replica_pauses import (
    MAX_PAUSE_S,
    ReplicaPauses,
)
from berylcart.coordination.gateway.response_checks import (
    REFUSED_RETRY_AFTER_MS,
)
from berylcart.state.errors import BerylcartError, Code, Ran
from berylcart.state.relay_messages import ReplicaNotice

from ..gateway_fakes import (
    BOOKING,
    REFUSED,
    SERVICE,
    Forwarding,
    ScriptedResponse,
    make_keeper,
    make_policy,
    make_vm,
)
from ..serving_fakes import run

BUSY = REFUSED._replace(retry_after_s=3.0)


def refusal_of(policy):
    """Choose a replica and return the error."""
    try:
        policy.choose(SERVICE, "", frozenset(), None)
    except BerylcartError as error:
        return error
    raise AssertionError


def test_an_earlier_pause_is_not_shortened():
    """Two responses each state a delay; both must be respected."""

    async def check():
        pauses = ReplicaPauses()
        vm = make_vm("v1")
        pauses.record(vm, 4.0)
        await anyio.sleep(1)
        pauses.record(vm, 1.0)
        assert pauses.remaining_s(vm) == 3.0
        await anyio.sleep(3)
        assert pauses.usable([vm]) == [vm]
        assert pauses.count() == 0

    run(check)


def test_pause_is_limited():
    async def check():
        pauses = ReplicaPauses()
        pauses.record(make_vm("v1"), 86_400.0)
        assert pauses.remaining_s(make_vm("v1")) == MAX_PAUSE_S

    run(check)


def test_another_incarnation_is_not_paused():
    """Guards against state that outlives the replica's incarnation."""

    async def check():
        pauses = ReplicaPauses()
        vm = make_vm("v1")
        pauses.record(vm, 4.0)
        again = vm._replace(incarnation=2)
        assert pauses.usable([vm, again]) == [again]
        pauses.retain([again])
        assert not pauses.ends_s

    run(check)


def test_paused_replica_gets_no_requests_until_the_pause_ends():
    """Guards against requests to a replica during its pause."""

    async def check():
        forwarding = Forwarding(
            BOOKING,
            ScriptedResponse(BUSY),
            ScriptedResponse(),
            vms=("v1", "v2"),
        )
        assert await forwarding.forward() == 200
        busy = forwarding.relay.sent[0].address
        for _ in range(20):
            vm = forwarding.policy.choose(SERVICE, "", frozenset(), None)
            assert vm.address != busy
        await anyio.sleep(3)
        chosen = {
            forwarding.policy.choose(SERVICE, "", frozenset(), None).address
            for _ in range(40)
        }
        assert busy in chosen

    run(check)


def test_rejection_by_the_only_replica_carries_its_pause():
    async def check():
        forwarding = Forwarding(BOOKING, ScriptedResponse(BUSY), vms=("v1",))
        error = await forwarding.fail()
        assert (error.ran, error.retry_after_ms) == (Ran.NO, 3000)

    run(check)


def test_retry_delay_is_the_shortest_pause_of_all_replicas():
    async def check():
        policy = make_policy(make_keeper(BOOKING), ("v1", "v2"))
        policy.apply_notice(make_vm("v1"), ReplicaNotice(retry_after_s=9.0))
        policy.apply_notice(make_vm("v2"), ReplicaNotice(retry_after_s=2.0))
        await anyio.sleep(0.5)
        error = refusal_of(policy)
        assert (error.code, error.ran) == (Code.NO_UPSTREAM, Ran.NO)
        assert error.retry_after_ms == 1500
        assert not policy.accepts_now(make_vm("v2"), SERVICE, None)
        await anyio.sleep(1.5)
        assert policy.choose(SERVICE, "", frozenset(), None).vm_id == "v2"

    run(check)


def test_rejection_without_a_delay_pauses_nothing():
    async def check():
        forwarding = Forwarding(
            BOOKING, ScriptedResponse(REFUSED), vms=("v1",)
        )
        error = await forwarding.fail()
        assert error.retry_after_ms == REFUSED_RETRY_AFTER_MS
        assert forwarding.policy.accepts_now(make_vm("v1"), SERVICE, None)

    run(check)


def test_shutdown_notice_is_applied_before_the_response_is_forwarded():
    """A client that has the response must not reach the replica again."""

    async def check():
        leaving = REFUSED._replace(is_leaving=True)
        forwarding = Forwarding(
            BOOKING, ScriptedResponse(leaving), ScriptedResponse()
        )
        seen = []
        forwarding.policy.on_leaving = lambda vm: seen.append(
            (vm.address, forwarding.exchange.is_started)
        )
        assert await forwarding.forward() == 200
        assert seen == [(forwarding.relay.sent[0].address, False)]

    run(check)

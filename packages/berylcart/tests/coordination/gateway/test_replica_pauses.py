"""Check that replicas which asked to wait are left alone, and only they."""

import anyio
from berylcart.coordination.gateway.answer_checks import (
    REFUSED_RETRY_AFTER_MS,
)
from berylcart.coordination.gateway.replica_pauses import (
    MAX_PAUSE_S,
    ReplicaPauses,
)
from berylcart.state.errors import BerylcartError, Code, Ran
from berylcart.state.relayed import ReplicaNotice

from ..gateway_fakes import (
    BOOKING,
    REFUSED,
    SERVICE,
    Forwarding,
    Script,
    make_keeper,
    make_policy,
    make_vm,
)
from ..serving_fakes import run

BUSY = REFUSED._replace(retry_after_s=3.0)


def refusal_of(policy):
    """Choose a replica and give the refusal."""
    try:
        policy.choose(SERVICE, "", frozenset(), None)
    except BerylcartError as error:
        return error
    raise AssertionError


def test_an_earlier_pause_is_not_shortened():
    """Two answers each name a time; the replica meant both."""

    async def check():
        pauses = ReplicaPauses()
        vm = make_vm("v1")
        pauses.note(vm, 4.0)
        await anyio.sleep(1)
        pauses.note(vm, 1.0)
        assert pauses.left_s(vm) == 3.0
        await anyio.sleep(3)
        assert pauses.usable([vm]) == [vm]
        assert pauses.count() == 0

    run(check)


def test_a_wrong_figure_does_not_take_a_replica_out_of_use():
    async def check():
        pauses = ReplicaPauses()
        pauses.note(make_vm("v1"), 86_400.0)
        assert pauses.left_s(make_vm("v1")) == MAX_PAUSE_S

    run(check)


def test_another_incarnation_is_not_paused():
    """What was learnt of a replica must end with it."""

    async def check():
        pauses = ReplicaPauses()
        vm = make_vm("v1")
        pauses.note(vm, 4.0)
        again = vm._replace(incarnation=2)
        assert pauses.usable([vm, again]) == [again]
        pauses.retain([again])
        assert not pauses.ends_s

    run(check)


def test_request_goes_elsewhere_and_later_ones_at_once():
    """Guards against sends to a replica in the time for which it refused."""

    async def check():
        one = Forwarding(BOOKING, Script(BUSY), Script(), vms=("v1", "v2"))
        assert await one.forward() == 200
        busy = one.relay.sent[0].address
        for _ in range(20):
            vm = one.policy.choose(SERVICE, "", frozenset(), None)
            assert vm.address != busy
        await anyio.sleep(3)
        chosen = {
            one.policy.choose(SERVICE, "", frozenset(), None).address
            for _ in range(40)
        }
        assert busy in chosen

    run(check)


def test_request_refused_by_the_only_replica_names_its_pause():
    async def check():
        one = Forwarding(BOOKING, Script(BUSY), vms=("v1",))
        error = await one.fail()
        assert (error.ran, error.retry_after_ms) == (Ran.NO, 3000)

    run(check)


def test_with_all_replicas_paused_the_shortest_time_is_named():
    async def check():
        policy = make_policy(make_keeper(BOOKING), ("v1", "v2"))
        policy.note_notice(make_vm("v1"), ReplicaNotice(retry_after_s=9.0))
        policy.note_notice(make_vm("v2"), ReplicaNotice(retry_after_s=2.0))
        await anyio.sleep(0.5)
        error = refusal_of(policy)
        assert (error.code, error.ran) == (Code.NO_UPSTREAM, Ran.NO)
        assert error.retry_after_ms == 1500
        assert not policy.takes_now(make_vm("v2"), SERVICE, None)
        await anyio.sleep(1.5)
        assert policy.choose(SERVICE, "", frozenset(), None).vm_id == "v2"

    run(check)


def test_a_promise_without_a_time_pauses_nothing():
    async def check():
        one = Forwarding(BOOKING, Script(REFUSED), vms=("v1",))
        error = await one.fail()
        assert error.retry_after_ms == REFUSED_RETRY_AFTER_MS
        assert one.policy.takes_now(make_vm("v1"), SERVICE, None)

    run(check)


def test_leaving_notice_is_taken_before_the_answer_is_passed_on():
    """A caller that has the answer must not reach the replica again."""

    async def check():
        leaving = REFUSED._replace(is_leaving=True)
        one = Forwarding(BOOKING, Script(leaving), Script())
        seen = []
        one.policy.on_leaving = lambda vm: seen.append(
            (vm.address, one.exchange.is_started)
        )
        assert await one.forward() == 200
        assert seen == [(one.relay.sent[0].address, False)]

    run(check)

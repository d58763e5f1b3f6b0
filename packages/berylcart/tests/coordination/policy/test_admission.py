"""Check admission, its refusals and its order."""

import anyio
import pytest
import trio
from berylcart.coordination.policy.admission import (
    Admission,
    AdmissionSettings,
)
from berylcart.coordination.policy.concurrency import LimitSettings
from berylcart.state.config import Workspace
from berylcart.state.errors import BerylcartError, Code, Ran
from trio.testing import MockClock

CLERKS = Workspace("clerks", frozenset(), max_in_flight=1000)
TAILORS = Workspace("tailors", frozenset(), max_in_flight=1000)


def run(scenario):
    """Run a scenario on a clock that jumps over every sleep."""
    return trio.run(scenario, clock=MockClock(autojump_threshold=0))


def fixed(limit, **changes):
    """Make an admission whose limit stays the same."""
    settings = AdmissionSettings(LimitSettings(limit, limit, limit))
    return Admission(settings._replace(**changes))


async def refused(admission, workspace, expected_ms, deadline_ms):
    """Give the error and the time that a refusal took."""
    started_s = anyio.current_time()
    with pytest.raises(BerylcartError) as caught:
        async with admission.admit(workspace, expected_ms, deadline_ms):
            pass
    return caught.value, anyio.current_time() - started_s


async def hold(admission, workspace, seconds, done=None, name=""):
    async with admission.admit(workspace, seconds * 1000, 60_000):
        await anyio.sleep(seconds)
    if done is not None:
        done.append(name or workspace.name)


def test_hopeless_deadline_is_refused_at_once():
    async def scenario():
        admission = fixed(10)
        error, took_s = await refused(admission, CLERKS, 500, 400)
        assert error.code is Code.DEADLINE_TOO_CLOSE
        assert error.ran is Ran.NO
        assert took_s == 0

    run(scenario)


def test_overload_is_refused_at_once_with_retry_after():
    async def scenario():
        admission = fixed(1)
        async with anyio.create_task_group() as tasks:
            for _ in range(3):
                tasks.start_soon(hold, admission, CLERKS, 0.2)
            await anyio.wait_all_tasks_blocked()
            error, took_s = await refused(admission, CLERKS, 200, 700)
        assert error.code is Code.OVERLOADED
        assert error.retry_after_ms >= 50
        assert took_s == 0

    run(scenario)


def test_queue_is_bounded():
    async def scenario():
        admission = fixed(1, max_waiting=2, over_share_max_wait_ms=60_000)
        async with anyio.create_task_group() as tasks:
            for _ in range(3):
                tasks.start_soon(hold, admission, CLERKS, 0.2)
            await anyio.wait_all_tasks_blocked()
            error, _ = await refused(admission, TAILORS, 1, 60_000)
        assert error.code is Code.OVERLOADED

    run(scenario)


def test_workspace_limit_is_refused_at_once():
    async def scenario():
        admission = fixed(10)
        limited = CLERKS._replace(max_in_flight=2)
        async with anyio.create_task_group() as tasks:
            for _ in range(2):
                tasks.start_soon(hold, admission, limited, 1)
            await anyio.wait_all_tasks_blocked()
            error, took_s = await refused(admission, limited, 1, 60_000)
            assert error.code is Code.WORKSPACE_LIMIT
            assert took_s == 0
            await hold(admission, TAILORS, 0.1)
        await hold(admission, limited, 0.1)

    run(scenario)


def test_flood_does_not_hold_up_the_others():
    async def scenario():
        admission = fixed(1, over_share_max_wait_ms=60_000)
        done = []
        async with anyio.create_task_group() as tasks:
            for _ in range(10):
                tasks.start_soon(hold, admission, CLERKS, 0.1, done)
            await anyio.wait_all_tasks_blocked()
            tasks.start_soon(hold, admission, TAILORS, 0.1, done)
        assert done.index("tailors") <= 2

    run(scenario)


def test_cancelled_waiter_leaves_no_trace():
    async def scenario():
        admission = fixed(1)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(hold, admission, CLERKS, 1)
            await anyio.wait_all_tasks_blocked()
            with anyio.move_on_after(0.1):
                await hold(admission, CLERKS, 0.1)
            assert len(admission.queue) == 0
        assert admission.in_flight == 0
        assert not admission.requests_by_workspace

    run(scenario)


def test_failed_block_frees_its_slot():
    async def scenario():
        admission = fixed(1)
        with pytest.raises(ValueError, match="boom"):
            async with admission.admit(CLERKS, 1, 100):
                raise ValueError("boom")
        assert admission.in_flight == 0

    run(scenario)


def test_strain_cuts_the_limit():
    async def scenario():
        admission = Admission()
        before = admission.limit.value
        async with admission.admit(CLERKS, 1, 100) as admitted:
            admitted.record_overload()
        assert admission.limit.value < before

    run(scenario)


def test_headroom_is_kept_for_workspaces_below_their_share():
    async def scenario():
        admission = fixed(
            10, reserved_share=0.2, over_share_max_wait_ms=60_000
        )
        done = []
        async with anyio.create_task_group() as tasks:
            await hold(admission, TAILORS, 0.1)
            for _ in range(20):
                tasks.start_soon(hold, admission, CLERKS, 1, done)
            await anyio.wait_all_tasks_blocked()
            assert admission.in_flight == 8
            started_s = anyio.current_time()
            await hold(admission, TAILORS, 0.1)
            assert anyio.current_time() - started_s < 0.11
            tasks.cancel_scope.cancel()

    run(scenario)


def test_single_workspace_may_use_the_whole_limit():
    async def scenario():
        admission = fixed(10)
        async with anyio.create_task_group() as tasks:
            for _ in range(10):
                tasks.start_soon(hold, admission, CLERKS, 1)
            await anyio.wait_all_tasks_blocked()
            assert admission.in_flight == 10

    run(scenario)


def test_slow_turns_are_learnt_and_refused_early():
    async def scenario():
        admission = fixed(1, over_share_max_wait_ms=60_000, slack_share=1.0)
        async with anyio.create_task_group() as tasks:
            for _ in range(4):
                tasks.start_soon(hold_as, admission, CLERKS, 2.0, 1)
            await anyio.sleep(4.1)
            error, took_s = await refused(admission, CLERKS, 1, 3000)
            tasks.cancel_scope.cancel()
        assert error.code is Code.OVERLOADED
        assert took_s == 0

    run(scenario)


async def hold_as(admission, workspace, seconds, expected_ms):
    """Hold a slot for longer than was expected."""
    async with admission.admit(workspace, expected_ms, 60_000):
        await anyio.sleep(seconds)

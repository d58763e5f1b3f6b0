"""Test admission control: refusals, fairness and slot accounting."""

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
    """Run a scenario on a virtual clock that skips sleeps."""
    return trio.run(scenario, clock=MockClock(autojump_threshold=0))


def make_fixed_limit_admission(limit, **changes):
    """Build an admission control with a constant limit."""
    settings = AdmissionSettings(LimitSettings(limit, limit, limit))
    return Admission(settings._replace(**changes))


async def expect_refusal(admission, workspace, expected_ms, deadline_ms):
    """Return the error of a refused request and the time it took."""
    started_s = anyio.current_time()
    with pytest.raises(BerylcartError) as caught:
        async with admission.admit(workspace, expected_ms, deadline_ms):
            pass
    return caught.value, anyio.current_time() - started_s


async def hold_slot(admission, workspace, seconds, done=None, name=""):
    async with admission.admit(workspace, seconds * 1000, 60_000):
        await anyio.sleep(seconds)
    if done is not None:
        done.append(name or workspace.name)


def test_deadline_below_expected_latency_is_refused_without_waiting():
    async def scenario():
        admission = make_fixed_limit_admission(10)
        error, took_s = await expect_refusal(admission, CLERKS, 500, 400)
        assert error.code is Code.DEADLINE_TOO_CLOSE
        assert error.ran is Ran.NO
        assert took_s == 0

    run(scenario)


def test_overload_is_refused_without_waiting_and_with_retry_after():
    async def scenario():
        admission = make_fixed_limit_admission(1)
        async with anyio.create_task_group() as tasks:
            for _ in range(3):
                tasks.start_soon(hold_slot, admission, CLERKS, 0.2)
            await anyio.wait_all_tasks_blocked()
            error, took_s = await expect_refusal(admission, CLERKS, 200, 700)
        assert error.code is Code.OVERLOADED
        assert error.retry_after_ms >= 50
        assert took_s == 0

    run(scenario)


def test_queue_is_bounded():
    async def scenario():
        admission = make_fixed_limit_admission(
            1, max_queue_length=2, over_share_max_wait_ms=60_000
        )
        async with anyio.create_task_group() as tasks:
            for _ in range(3):
                tasks.start_soon(hold_slot, admission, CLERKS, 0.2)
            await anyio.wait_all_tasks_blocked()
            error, _ = await expect_refusal(admission, TAILORS, 1, 60_000)
        assert error.code is Code.OVERLOADED

    run(scenario)


def test_workspace_limit_is_refused_without_waiting():
    async def scenario():
        admission = make_fixed_limit_admission(10)
        limited = CLERKS._replace(max_in_flight=2)
        async with anyio.create_task_group() as tasks:
            for _ in range(2):
                tasks.start_soon(hold_slot, admission, limited, 1)
            await anyio.wait_all_tasks_blocked()
            error, took_s = await expect_refusal(admission, limited, 1, 60_000)
            assert error.code is Code.WORKSPACE_LIMIT
            assert took_s == 0
            await hold_slot(admission, TAILORS, 0.1)
        await hold_slot(admission, limited, 0.1)

    run(scenario)


def test_backlog_of_one_workspace_does_not_delay_another():
    async def scenario():
        admission = make_fixed_limit_admission(
            1, over_share_max_wait_ms=60_000
        )
        done = []
        async with anyio.create_task_group() as tasks:
            for _ in range(10):
                tasks.start_soon(hold_slot, admission, CLERKS, 0.1, done)
            await anyio.wait_all_tasks_blocked()
            tasks.start_soon(hold_slot, admission, TAILORS, 0.1, done)
        assert done.index("tailors") <= 2

    run(scenario)


def test_cancelled_waiter_leaves_the_queue_and_the_counts():
    async def scenario():
        admission = make_fixed_limit_admission(1)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(hold_slot, admission, CLERKS, 1)
            await anyio.wait_all_tasks_blocked()
            with anyio.move_on_after(0.1):
                await hold_slot(admission, CLERKS, 0.1)
            assert len(admission.queue) == 0
        assert admission.in_flight == 0
        assert not admission.requests_by_workspace

    run(scenario)


def test_exception_in_block_releases_the_slot():
    async def scenario():
        admission = make_fixed_limit_admission(1)
        with pytest.raises(ValueError, match="boom"):
            async with admission.admit(CLERKS, 1, 100):
                raise ValueError("boom")
        assert admission.in_flight == 0

    run(scenario)


def test_overloaded_upstream_decreases_the_limit():
    async def scenario():
        admission = Admission()
        before = admission.limit.value
        async with admission.admit(CLERKS, 1, 100) as admitted:
            admitted.record_overload()
        assert admission.limit.value < before

    run(scenario)


def test_reserved_slots_are_for_workspaces_below_their_share():
    async def scenario():
        admission = make_fixed_limit_admission(
            10, reserved_share=0.2, over_share_max_wait_ms=60_000
        )
        done = []
        async with anyio.create_task_group() as tasks:
            await hold_slot(admission, TAILORS, 0.1)
            for _ in range(20):
                tasks.start_soon(hold_slot, admission, CLERKS, 1, done)
            await anyio.wait_all_tasks_blocked()
            assert admission.in_flight == 8
            started_s = anyio.current_time()
            await hold_slot(admission, TAILORS, 0.1)
            assert anyio.current_time() - started_s < 0.11
            tasks.cancel_scope.cancel()

    run(scenario)


def test_single_workspace_may_use_the_whole_limit():
    async def scenario():
        admission = make_fixed_limit_admission(10)
        async with anyio.create_task_group() as tasks:
            for _ in range(10):
                tasks.start_soon(hold_slot, admission, CLERKS, 1)
            await anyio.wait_all_tasks_blocked()
            assert admission.in_flight == 10

    run(scenario)


def test_observed_queue_wait_leads_to_refusal():
    async def scenario():
        admission = make_fixed_limit_admission(
            1, over_share_max_wait_ms=60_000, slack_share=1.0
        )
        async with anyio.create_task_group() as tasks:
            for _ in range(4):
                tasks.start_soon(
                    hold_slot_longer_than_expected, admission, CLERKS, 2.0, 1
                )
            await anyio.sleep(4.1)
            error, took_s = await expect_refusal(admission, CLERKS, 1, 3000)
            tasks.cancel_scope.cancel()
        assert error.code is Code.OVERLOADED
        assert took_s == 0

    run(scenario)


async def hold_slot_longer_than_expected(
    admission, workspace, seconds, expected_ms
):
    """Hold a slot for another time than the expected latency."""
    async with admission.admit(workspace, expected_ms, 60_000):
        await anyio.sleep(seconds)

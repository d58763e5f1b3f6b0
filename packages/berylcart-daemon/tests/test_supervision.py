"""Test that an unexpected error in one task does not end other tasks."""

import anyio
import pytest
from berylcart_daemon import supervision
from berylcart_daemon.supervision import run_and_log_errors, run_with_restarts

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend():
    """Use the same backend as the daemon."""
    return "asyncio"


async def test_failed_task_is_restarted(monkeypatch):
    monkeypatch.setattr(supervision, "RESTART_DELAY_S", 0.01)
    runs = []

    async def fail_twice(name):
        runs.append(name)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(anyio.sleep_forever)
            if len(runs) < 3:
                raise KeyError("malformed")
            tasks.cancel_scope.cancel()

    with anyio.fail_after(5):
        await run_with_restarts(fail_twice, "loop")
    assert runs == ["loop"] * 3


async def test_failed_task_does_not_end_other_tasks():
    finished = anyio.Event()

    async def finish_later():
        await anyio.sleep(0.01)
        finished.set()

    async def fail():
        raise OverflowError

    with anyio.fail_after(5):
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(run_and_log_errors, finish_later)
            tasks.start_soon(run_and_log_errors, fail)
    assert finished.is_set()


async def test_cancellation_ends_a_task():
    with anyio.move_on_after(0.01) as scope:
        await run_with_restarts(anyio.sleep_forever)
    assert scope.cancelled_caught

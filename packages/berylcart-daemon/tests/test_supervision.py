"""Check that an unexpected error of one task ends no others."""

import anyio
import pytest
from berylcart_daemon import supervision
from berylcart_daemon.supervision import keep_running, run_guarded

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend():
    """Run on the backend of the daemon."""
    return "asyncio"


async def test_task_that_fails_is_run_again(monkeypatch):
    monkeypatch.setattr(supervision, "RESTART_PAUSE_S", 0.01)
    runs = []

    async def fail_twice(name):
        runs.append(name)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(anyio.sleep_forever)
            if len(runs) < 3:
                raise KeyError("malformed")
            tasks.cancel_scope.cancel()

    with anyio.fail_after(5):
        await keep_running(fail_twice, "loop")
    assert runs == ["loop"] * 3


async def test_task_that_fails_once_ends_no_others():
    ended = anyio.Event()

    async def work():
        await anyio.sleep(0.01)
        ended.set()

    async def fail():
        raise OverflowError

    with anyio.fail_after(5):
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(run_guarded, work)
            tasks.start_soon(run_guarded, fail)
    assert ended.is_set()


async def test_cancellation_ends_a_task():
    with anyio.move_on_after(0.01) as scope:
        await keep_running(anyio.sleep_forever)
    assert scope.cancelled_caught

"""Test that large input is processed in turns."""

import anyio
import pytest
from berylcart.coordination.gateway.input_turns import InputTurns

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend():
    """Run on the backend of the daemon."""
    return "asyncio"


async def test_others_run_between_two_turns():
    """Many connections with large input kept all others from running."""
    turns = InputTurns()
    steps = []

    async def process(name):
        for _ in range(3):
            await turns.wait()
            steps.append(name)

    async def count_passes():
        while len(steps) < 30:
            steps_before = len(steps)
            await anyio.lowlevel.checkpoint()
            assert len(steps) <= steps_before + 1

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(count_passes)
        for name in range(10):
            tasks.start_soon(process, name)
    assert steps == [*range(10)] * 3


async def test_cancelled_wait_passes_the_turn_on():
    turns = InputTurns()
    async with anyio.create_task_group() as tasks:
        for _ in range(5):
            tasks.start_soon(turns.wait)
        tasks.cancel_scope.cancel()
    with anyio.fail_after(1):
        await turns.wait()

"""Test that requests with the same ordering key run one at a time."""

import anyio
import trio
from berylcart.coordination.claims.ordering import OrderingLocks
from trio.testing import MockClock


def run(scenario):
    """Run a scenario on a mock clock that skips every sleep."""
    return trio.run(scenario, clock=MockClock(autojump_threshold=0))


def test_same_key_runs_in_order_of_arrival():
    async def scenario():
        queue = OrderingLocks()
        phases = []

        async def request(n, key):
            async with queue.serialize("tailors", key):
                phases.append(("begin", key, n))
                await anyio.sleep(10 - n)
                phases.append(("end", key, n))

        async with anyio.create_task_group() as tasks:
            for n in range(5):
                tasks.start_soon(request, n, "counter-1")
                await anyio.sleep(0.1)
        expected = [
            (phase, "counter-1", n)
            for n in range(5)
            for phase in ("begin", "end")
        ]
        assert phases == expected
        assert queue.locks == {}

    run(scenario)


def test_different_and_empty_keys_run_concurrently():
    async def scenario():
        queue = OrderingLocks()
        start = anyio.current_time()

        async def request(key):
            async with queue.serialize("tailors", key):
                await anyio.sleep(1)

        async with anyio.create_task_group() as tasks:
            for key in ("a", "b", "", ""):
                tasks.start_soon(request, key)
        assert anyio.current_time() - start < 1.5

    run(scenario)


def test_cancellation_releases_the_lock():
    async def scenario():
        queue = OrderingLocks()
        with anyio.move_on_after(1):
            async with queue.serialize("tailors", "a"):
                await anyio.sleep_forever()
        async with queue.serialize("tailors", "a"):
            pass
        assert queue.locks == {}

    run(scenario)

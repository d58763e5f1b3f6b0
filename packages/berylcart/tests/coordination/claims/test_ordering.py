"""Check that requests of one ordering key run one after another."""

import anyio
import trio
from berylcart.coordination.claims.ordering import OrderingQueue
from trio.testing import MockClock


def run(scenario):
    """Run a scenario on a clock that jumps over every sleep."""
    return trio.run(scenario, clock=MockClock(autojump_threshold=0))


def test_one_key_runs_in_order_of_arrival():
    async def scenario():
        queue = OrderingQueue()
        seen = []

        async def request(n, key):
            async with queue.turn("tailors", key):
                seen.append(("begin", key, n))
                await anyio.sleep(10 - n)
                seen.append(("end", key, n))

        async with anyio.create_task_group() as tasks:
            for n in range(5):
                tasks.start_soon(request, n, "counter-1")
                await anyio.sleep(0.1)
        expected = [
            (word, "counter-1", n)
            for n in range(5)
            for word in ("begin", "end")
        ]
        assert seen == expected
        assert queue.turns == {}

    run(scenario)


def test_other_keys_and_no_key_do_not_wait():
    async def scenario():
        queue = OrderingQueue()
        start = anyio.current_time()

        async def request(key):
            async with queue.turn("tailors", key):
                await anyio.sleep(1)

        async with anyio.create_task_group() as tasks:
            for key in ("a", "b", "", ""):
                tasks.start_soon(request, key)
        assert anyio.current_time() - start < 1.5

    run(scenario)


def test_cancelled_waiter_lets_the_next_run():
    async def scenario():
        queue = OrderingQueue()
        with anyio.move_on_after(1):
            async with queue.turn("tailors", "a"):
                await anyio.sleep_forever()
        async with queue.turn("tailors", "a"):
            pass
        assert queue.turns == {}

    run(scenario)

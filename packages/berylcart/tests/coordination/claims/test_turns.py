"""Check that claims of one ordering key run in the log's order."""

import anyio
import pytest
from berylcart.state.errors import BerylcartError, Code, Ran

from .test_keeper import ANSWER, fleet, run

WORK_S = 0.5
DEADLINE_MS = 3000


class Work:
    """Run ordered requests at any keeper and note what overlaps."""

    def __init__(self):
        self.running = 0
        self.begun = []

    async def run(self, keeper, key, ordering_key="raft-7"):
        """Claim, work for a while and finish."""
        granted = await claim_in_order(keeper, key, ordering_key)
        self.running += 1
        assert self.running == 1
        self.begun.append(key)
        await anyio.sleep(WORK_S)
        self.running -= 1
        keeper.finish(granted.claim_id, ANSWER)


async def claim_in_order(keeper, key, ordering_key="raft-7"):
    return await keeper.claim(
        key,
        "stations",
        "parts",
        b"{}",
        ordering_key=ordering_key,
        timeout_ms=DEADLINE_MS,
    )


def test_claims_of_several_daemons_run_one_after_another():
    async def scenario():
        work = Work()
        async with fleet(3) as made, anyio.create_task_group() as tasks:
            for number in range(6):
                keeper = made.keepers[number % 3]
                tasks.start_soon(work.run, keeper, f"k{number}")
                await anyio.sleep(0.1)
        assert work.begun == [f"k{number}" for number in range(6)]

    run(scenario)


def test_other_ordering_keys_do_not_wait():
    async def scenario():
        async with fleet(2) as made:
            first, second = made.keepers
            await claim_in_order(first, "k1", "raft-1")
            before_s = anyio.current_time()
            await claim_in_order(second, "k2", "raft-2")
            assert anyio.current_time() - before_s < WORK_S

    run(scenario)


def test_claimant_that_is_gone_is_passed_over():
    async def scenario():
        async with fleet(2) as made:
            first, second = made.keepers
            await claim_in_order(first, "k1")
            made.unreachable.add(first.claimant)
            assert await claim_in_order(second, "k2")

    run(scenario)


def test_released_claim_lets_the_next_one_run():
    async def scenario():
        async with fleet(2) as made:
            first, second = made.keepers
            granted = await claim_in_order(first, "k1")
            first.release(granted.claim_id)
            assert await claim_in_order(second, "k2")

    run(scenario)


def test_turn_that_does_not_come_ends_as_not_run_and_frees_the_key():
    async def scenario():
        async with fleet(2) as made:
            first, second = made.keepers
            granted = await claim_in_order(first, "k1")
            with pytest.raises(BerylcartError) as caught:
                await claim_in_order(second, "k2")
            assert caught.value.code is Code.DEADLINE_EXCEEDED
            assert caught.value.ran is Ran.NO
            first.finish(granted.claim_id, ANSWER)
            assert await claim_in_order(second, "k2")

    run(scenario)

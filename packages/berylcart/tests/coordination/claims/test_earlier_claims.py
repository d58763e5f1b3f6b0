"""Test that claims with the same ordering key run in log order."""

import anyio
import pytest
from berylcart.state.errors import BerylcartError, Code, Ran

from .test_coordinator import ANSWER, run, running_fleet

WORK_S = 0.5
DEADLINE_MS = 3000


class OrderedRequests:
    """Run requests in sequence and check that none overlap."""

    def __init__(self):
        self.running = 0
        self.started = []

    async def run(self, coordinator, key, ordering_key="raft-7"):
        """Claim a request, sleep for WORK_S and finish it."""
        granted = await claim_in_order(coordinator, key, ordering_key)
        self.running += 1
        assert self.running == 1
        self.started.append(key)
        await anyio.sleep(WORK_S)
        self.running -= 1
        coordinator.finish(granted.claim_id, ANSWER)


async def claim_in_order(coordinator, key, ordering_key="raft-7"):
    return await coordinator.claim(
        key,
        "stations",
        "parts",
        b"{}",
        ordering_key=ordering_key,
        timeout_ms=DEADLINE_MS,
    )


def test_claims_of_several_daemons_run_one_at_a_time():
    async def scenario():
        requests = OrderedRequests()
        async with (
            running_fleet(3) as fleet,
            anyio.create_task_group() as tasks,
        ):
            for number in range(6):
                coordinator = fleet.coordinators[number % 3]
                tasks.start_soon(requests.run, coordinator, f"k{number}")
                await anyio.sleep(0.1)
        assert requests.started == [f"k{number}" for number in range(6)]

    run(scenario)


def test_different_ordering_keys_run_concurrently():
    async def scenario():
        async with running_fleet(2) as fleet:
            first, second = fleet.coordinators
            await claim_in_order(first, "k1", "raft-1")
            before_s = anyio.current_time()
            await claim_in_order(second, "k2", "raft-2")
            assert anyio.current_time() - before_s < WORK_S

    run(scenario)


def test_claim_of_an_unreachable_claimant_is_skipped():
    async def scenario():
        async with running_fleet(2) as fleet:
            first, second = fleet.coordinators
            await claim_in_order(first, "k1")
            fleet.unreachable.add(first.claimant)
            assert await claim_in_order(second, "k2")

    run(scenario)


def test_release_lets_the_next_claim_run():
    async def scenario():
        async with running_fleet(2) as fleet:
            first, second = fleet.coordinators
            granted = await claim_in_order(first, "k1")
            first.release(granted.claim_id)
            assert await claim_in_order(second, "k2")

    run(scenario)


def test_timeout_of_the_wait_reports_not_run_and_releases_the_claim():
    async def scenario():
        async with running_fleet(2) as fleet:
            first, second = fleet.coordinators
            granted = await claim_in_order(first, "k1")
            with pytest.raises(BerylcartError) as caught:
                await claim_in_order(second, "k2")
            assert caught.value.code is Code.DEADLINE_EXCEEDED
            assert caught.value.ran is Ran.NO
            first.finish(granted.claim_id, ANSWER)
            assert await claim_in_order(second, "k2")

    run(scenario)

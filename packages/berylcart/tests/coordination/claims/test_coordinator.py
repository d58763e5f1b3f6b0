"""Test that a claimed request runs once and every sender gets its result."""

from contextlib import asynccontextmanager

import anyio
import pytest
import trio
from berylcart.coordination.claims.answers import StoredAnswer
from berylcart.coordination.claims.coordinator import ClaimCoordinator
from berylcart.coordination.claims.results import (
    ClaimSettings,
    Granted,
    PriorResult,
)
from berylcart.state.claim_ledger import ClaimRules
from berylcart.state.errors import BerylcartError, Code, Ran
from berylcart.transport.memory_log import MemoryLog
from trio.testing import MockClock

SETTINGS = ClaimSettings(rules=ClaimRules(claim_keep_ms=3_600_000))
ANSWER = StoredAnswer(Ran.YES, 0, b"booked")


class Fleet:
    """Hold coordinators that share a log and collect from each other."""

    def __init__(self, log, count, settings=SETTINGS):
        self.log = log
        self.unreachable = set()
        self.coordinators = [
            ClaimCoordinator(log, f"d{n}", 1, self.collect_from, settings)
            for n in range(count)
        ]

    async def collect_from(self, claimant, key_digest, claim_id, workspace):
        """Collect from the named coordinator, unless it is unreachable."""
        if claimant in self.unreachable:
            raise BerylcartError(Code.PEER_UNAVAILABLE, claimant)
        coordinators_by_claimant = {
            coordinator.claimant: coordinator
            for coordinator in self.coordinators
        }
        return await coordinators_by_claimant[claimant].collect(
            key_digest, claim_id
        )


@asynccontextmanager
async def running_fleet(count=1, log=None, settings=SETTINGS):
    """Run a fleet inside a with block."""
    fleet = Fleet(log or MemoryLog(), count, settings)
    async with anyio.create_task_group() as tasks:
        for coordinator in fleet.coordinators:
            tasks.start_soon(coordinator.run)
        yield fleet
        tasks.cancel_scope.cancel()


def run(scenario):
    """Run a scenario on a mock clock that skips every sleep."""
    return trio.run(scenario, clock=MockClock(autojump_threshold=0))


def claim(coordinator, key="k", body=b"{}"):
    return coordinator.claim(key, "tailors", "booking", body)


def test_repeated_send_gets_the_stored_answer():
    async def scenario():
        async with running_fleet(2) as fleet:
            first, second = fleet.coordinators
            granted = await claim(first)
            assert isinstance(granted, Granted)
            first.finish(granted.claim_id, ANSWER)
            assert await claim(second) == PriorResult(Ran.YES, 0, ANSWER)
            assert await claim(first) == PriorResult(Ran.YES, 0, ANSWER)

    run(scenario)


def test_concurrent_send_waits_for_the_answer():
    async def scenario():
        async with running_fleet(2) as fleet:
            first, second = fleet.coordinators
            granted = await claim(first)
            async with anyio.create_task_group() as tasks:
                results = []

                async def send():
                    results.append(await claim(second))

                tasks.start_soon(send)
                await anyio.sleep(1)
                first.finish(granted.claim_id, ANSWER)
            assert results == [PriorResult(Ran.YES, 0, ANSWER)]

    run(scenario)


def test_unreachable_claimant_gives_outcome_unknown_without_delay():
    async def scenario():
        async with running_fleet(2) as fleet:
            first, second = fleet.coordinators
            await claim(first)
            fleet.unreachable.add(first.claimant)
            start = anyio.current_time()
            with pytest.raises(BerylcartError) as caught:
                await claim(second)
            assert caught.value.code is Code.OUTCOME_UNKNOWN
            assert caught.value.ran is Ran.UNKNOWN
            assert anyio.current_time() - start < 1

    run(scenario)


def test_unreachable_claimant_gives_its_recorded_outcome():
    async def scenario():
        async with running_fleet(2) as fleet:
            first, second = fleet.coordinators
            granted = await claim(first)
            first.finish(granted.claim_id, ANSWER)
            await first.flush()
            fleet.unreachable.add(first.claimant)
            await anyio.sleep(1)
            assert await claim(second) == PriorResult(Ran.YES, 0, None)

    run(scenario)


def test_different_body_is_a_key_conflict():
    async def scenario():
        async with running_fleet(2) as fleet:
            first, second = fleet.coordinators
            await claim(first)
            for coordinator in fleet.coordinators:
                with pytest.raises(BerylcartError) as caught:
                    await claim(coordinator, body=b"[]")
                assert caught.value.code is Code.KEY_CONFLICT
            assert second.local.active == {}

    run(scenario)


def test_released_key_can_be_claimed_again():
    async def scenario():
        async with running_fleet(2) as fleet:
            first, second = fleet.coordinators
            granted = await claim(first)
            first.release(granted.claim_id)
            assert isinstance(await claim(second), Granted)

    run(scenario)


def test_log_outage_refuses_immediately_with_retry_after():
    async def scenario():
        async with running_fleet() as fleet:
            await anyio.sleep(1)
            fleet.log.is_down = True
            start = anyio.current_time()
            for _ in range(2):
                with pytest.raises(BerylcartError) as caught:
                    await claim(fleet.coordinators[0])
                assert caught.value.code is Code.CLAIMS_UNAVAILABLE
                assert caught.value.ran is Ran.NO
                assert caught.value.retry_after_ms > 0
            assert anyio.current_time() - start < 0.1
            fleet.log.is_down = False
            await anyio.sleep(1)
            assert isinstance(await claim(fleet.coordinators[0]), Granted)

    run(scenario)


def test_claim_with_a_lost_append_reply_is_granted_on_read_back():
    async def scenario():
        async with running_fleet() as fleet:
            fleet.log.lost_append_responses = 1
            assert isinstance(await claim(fleet.coordinators[0]), Granted)

    run(scenario)


def test_abandoned_claim_is_released_when_it_is_read_back():
    async def scenario():
        async with running_fleet(2) as fleet:
            first, second = fleet.coordinators
            fleet.log.delay_ms = 1500
            with anyio.move_on_after(0.5):
                await claim(first)
            await anyio.sleep(5)
            fleet.log.delay_ms = 0
            await anyio.sleep(5)
            assert isinstance(await claim(second), Granted)

    run(scenario)


def test_claims_are_appended_in_batches():
    async def scenario():
        log = MemoryLog()
        async with running_fleet(log=log) as fleet:
            log.delay_ms = 50
            async with anyio.create_task_group() as tasks:
                for n in range(100):
                    tasks.start_soon(claim, fleet.coordinators[0], f"k{n}")
            assert log.append_calls <= 3

    run(scenario)

"""Check that claims let each request run once and answer every sender."""

from contextlib import asynccontextmanager

import anyio
import pytest
import trio
from berylcart.coordination.claims.answers import StoredAnswer
from berylcart.coordination.claims.keeper import ClaimKeeper
from berylcart.coordination.claims.results import (
    ClaimSettings,
    Found,
    Granted,
)
from berylcart.state.claim_ledger import ClaimRules
from berylcart.state.errors import BerylcartError, Code, Ran
from berylcart.transport.memory_log import MemoryLog
from trio.testing import MockClock

SETTINGS = ClaimSettings(rules=ClaimRules(claim_keep_ms=3_600_000))
ANSWER = StoredAnswer(Ran.YES, 0, b"booked")


class Fleet:
    """Run keepers on one log and connect them as peers."""

    def __init__(self, log, count, settings=SETTINGS):
        self.log = log
        self.unreachable = set()
        self.keepers = [
            ClaimKeeper(log, f"d{n}", 1, self.collect_from, settings)
            for n in range(count)
        ]

    async def collect_from(self, claimant, key_digest, claim_id, workspace):
        """Ask the keeper of that name unless it is unreachable."""
        if claimant in self.unreachable:
            raise BerylcartError(Code.PEER_UNAVAILABLE, claimant)
        named = {keeper.claimant: keeper for keeper in self.keepers}
        return await named[claimant].collect(key_digest, claim_id)


@asynccontextmanager
async def fleet(count=1, log=None, settings=SETTINGS):
    """Run a fleet for the length of a block."""
    made = Fleet(log or MemoryLog(), count, settings)
    async with anyio.create_task_group() as tasks:
        for keeper in made.keepers:
            tasks.start_soon(keeper.run)
        yield made
        tasks.cancel_scope.cancel()


def run(scenario):
    """Run a scenario on a clock that jumps over every sleep."""
    return trio.run(scenario, clock=MockClock(autojump_threshold=0))


def claim(keeper, key="k", body=b"{}"):
    return keeper.claim(key, "tailors", "booking", body)


def test_granted_then_found():
    async def scenario():
        async with fleet(2) as made:
            first, second = made.keepers
            granted = await claim(first)
            assert isinstance(granted, Granted)
            first.finish(granted.claim_id, ANSWER)
            assert await claim(second) == Found(Ran.YES, 0, ANSWER)
            assert await claim(first) == Found(Ran.YES, 0, ANSWER)

    run(scenario)


def test_later_sender_waits_for_the_answer():
    async def scenario():
        async with fleet(2) as made:
            first, second = made.keepers
            granted = await claim(first)
            async with anyio.create_task_group() as tasks:
                found = []

                async def ask():
                    found.append(await claim(second))

                tasks.start_soon(ask)
                await anyio.sleep(1)
                first.finish(granted.claim_id, ANSWER)
            assert found == [Found(Ran.YES, 0, ANSWER)]

    run(scenario)


def test_gone_claimant_leaves_an_unknown_outcome_at_once():
    async def scenario():
        async with fleet(2) as made:
            first, second = made.keepers
            await claim(first)
            made.unreachable.add(first.claimant)
            start = anyio.current_time()
            with pytest.raises(BerylcartError) as caught:
                await claim(second)
            assert caught.value.code is Code.OUTCOME_UNKNOWN
            assert caught.value.ran is Ran.UNKNOWN
            assert anyio.current_time() - start < 1

    run(scenario)


def test_gone_claimant_leaves_its_recorded_outcome():
    async def scenario():
        async with fleet(2) as made:
            first, second = made.keepers
            granted = await claim(first)
            first.finish(granted.claim_id, ANSWER)
            await first.flush()
            made.unreachable.add(first.claimant)
            await anyio.sleep(1)
            assert await claim(second) == Found(Ran.YES, 0, None)

    run(scenario)


def test_other_body_is_a_conflict():
    async def scenario():
        async with fleet(2) as made:
            first, second = made.keepers
            await claim(first)
            for keeper in made.keepers:
                with pytest.raises(BerylcartError) as caught:
                    await claim(keeper, body=b"[]")
                assert caught.value.code is Code.KEY_CONFLICT
            assert second.own.live == {}

    run(scenario)


def test_release_lets_another_claim():
    async def scenario():
        async with fleet(2) as made:
            first, second = made.keepers
            granted = await claim(first)
            first.release(granted.claim_id)
            assert isinstance(await claim(second), Granted)

    run(scenario)


def test_outage_refuses_at_once_and_says_when_to_retry():
    async def scenario():
        async with fleet() as made:
            await anyio.sleep(1)
            made.log.is_down = True
            start = anyio.current_time()
            for _ in range(2):
                with pytest.raises(BerylcartError) as caught:
                    await claim(made.keepers[0])
                assert caught.value.code is Code.CLAIMS_UNAVAILABLE
                assert caught.value.ran is Ran.NO
                assert caught.value.retry_after_ms > 0
            assert anyio.current_time() - start < 0.1
            made.log.is_down = False
            await anyio.sleep(1)
            assert isinstance(await claim(made.keepers[0]), Granted)

    run(scenario)


def test_lost_append_answer_is_read_back():
    async def scenario():
        async with fleet() as made:
            made.log.lost_answers = 1
            assert isinstance(await claim(made.keepers[0]), Granted)

    run(scenario)


def test_claim_given_up_is_released_when_it_appears():
    async def scenario():
        async with fleet(2) as made:
            first, second = made.keepers
            made.log.delay_ms = 1500
            with anyio.move_on_after(0.5):
                await claim(first)
            await anyio.sleep(5)
            made.log.delay_ms = 0
            await anyio.sleep(5)
            assert isinstance(await claim(second), Granted)

    run(scenario)


def test_claims_are_appended_in_groups():
    async def scenario():
        log = MemoryLog()
        async with fleet(log=log) as made:
            log.delay_ms = 50
            async with anyio.create_task_group() as tasks:
                for n in range(100):
                    tasks.start_soon(claim, made.keepers[0], f"k{n}")
            assert log.append_calls <= 3

    run(scenario)

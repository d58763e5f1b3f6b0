"""Check that one attempt of a race wins and the others end."""

import anyio
import pytest
from berylcart.coordination.serving.hedging import first_reply
from berylcart.state.errors import BerylcartError, Code

from ..serving_fakes import run


def replying(reply, after_s):
    """Make an attempt that replies after a while."""

    async def attempt(entrant):
        await anyio.sleep(after_s)
        return reply

    return attempt


def failing(error, after_s):
    """Make an attempt that fails after a while."""

    async def attempt(entrant):
        await anyio.sleep(after_s)
        raise error

    return attempt


class Claiming:
    """Claim the race after a while, then reply or fail."""

    def __init__(self, after_s, lasts_s, error=None):
        self.after_s = after_s
        self.lasts_s = lasts_s
        self.error = error
        self.has_claimed = False
        self.is_cancelled = False

    async def __call__(self, entrant):
        """Run once."""
        try:
            await anyio.sleep(self.after_s)
            await entrant.claim()
            self.has_claimed = True
            await anyio.sleep(self.lasts_s)
        except anyio.get_cancelled_exc_class():
            self.is_cancelled = True
            raise
        if self.error is not None:
            raise self.error
        return "claimed"


def failure(detail):
    return BerylcartError(Code.UPSTREAM_FAILED, detail)


def test_claim_ends_the_other_before_the_reply_is_whole():
    async def check():
        slow = Claiming(5.0, 0.0)
        quick = Claiming(0.1, 3.0)
        assert await first_reply(slow, quick, 1.0) == "claimed"
        assert slow.is_cancelled
        assert not slow.has_claimed

    run(check)


def test_claims_at_the_same_moment_let_one_through():
    """Guards against two writers: the loser is runnable when it loses."""

    async def check():
        gate = anyio.Event()
        claimed = []

        async def attempt(entrant):
            await gate.wait()
            await entrant.claim()
            claimed.append(entrant)
            return entrant

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(first_reply, attempt, attempt, 1.0)
            await anyio.sleep(2.0)
            gate.set()
        assert len(claimed) == 1

    run(check)


def test_claim_before_the_delay_leaves_no_hedge():
    async def check():
        hedge = Claiming(0.0, 0.0)
        await first_reply(Claiming(0.5, 3.0), hedge, 1.0)
        assert not hedge.has_claimed

    run(check)


def test_failure_of_a_winner_is_the_races():
    async def check():
        quick = Claiming(0.1, 1.0, failure("broke off"))
        for first in (replying("late", 9.0), failing(failure("first"), 1.05)):
            with pytest.raises(BerylcartError, match="broke off"):
                await first_reply(first, quick, 1.0)

    run(check)


def test_failure_of_one_leaves_the_other_running():
    async def check():
        failed = failing(failure("first"), 1.5)
        assert await first_reply(failed, replying("b", 2.0), 1.0) == "b"
        failed = failing(failure("second"), 0.5)
        assert await first_reply(replying("a", 3.0), failed, 1.0) == "a"

    run(check)


def test_failures_of_all_are_merged():
    async def check():
        both = failing(failure("a"), 2.0), failing(failure("b"), 0.5)
        with pytest.raises(BerylcartError, match="a"):
            await first_reply(*both, 1.0)
        with pytest.raises(BerylcartError, match="b"):
            await first_reply(*both, 1.0, lambda failures: failures[0])

    run(check)


def test_hedge_that_may_not_start_leaves_the_first_running():
    async def check():
        assert await first_reply(replying("a", 3), replying(None, 0), 1) == "a"

    run(check)


def test_other_errors_come_out_as_they_are():
    async def check():
        with pytest.raises(BrokenPipeError):
            await first_reply(
                replying("a", 9.0), failing(BrokenPipeError(), 0.5), 1.0
            )

    run(check)

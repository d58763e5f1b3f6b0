"""Test that one attempt of a race wins and the others are cancelled."""

import anyio
import pytest
from berylcart.coordination.serving.hedging import first_reply
from berylcart.state.errors import BerylcartError, Code

from ..serving_fakes import run


def make_replying_attempt(reply, after_s):
    """Return an attempt that replies after after_s seconds."""

    async def attempt(entrant):
        await anyio.sleep(after_s)
        return reply

    return attempt


def make_failing_attempt(error, after_s):
    """Return an attempt that fails after after_s seconds."""

    async def attempt(entrant):
        await anyio.sleep(after_s)
        raise error

    return attempt


class ClaimingAttempt:
    """An attempt that claims the race after after_s, then replies or fails."""

    def __init__(self, after_s, duration_after_claim_s, error=None):
        self.after_s = after_s
        self.duration_after_claim_s = duration_after_claim_s
        self.error = error
        self.has_claimed = False
        self.is_cancelled = False

    async def __call__(self, entrant):
        """Run the attempt."""
        try:
            await anyio.sleep(self.after_s)
            await entrant.claim()
            self.has_claimed = True
            await anyio.sleep(self.duration_after_claim_s)
        except anyio.get_cancelled_exc_class():
            self.is_cancelled = True
            raise
        if self.error is not None:
            raise self.error
        return "claimed"


def make_failure(detail):
    return BerylcartError(Code.UPSTREAM_FAILED, detail)


def test_claim_cancels_the_other_attempt_before_the_reply_is_complete():
    async def scenario():
        slow = ClaimingAttempt(5.0, 0.0)
        quick = ClaimingAttempt(0.1, 3.0)
        assert await first_reply(slow, quick, 1.0) == "claimed"
        assert slow.is_cancelled
        assert not slow.has_claimed

    run(scenario)


def test_of_simultaneous_claims_only_one_succeeds():
    """Guard against two winners.

    The loser may already be scheduled when it loses, before its cancellation
    is delivered.
    """

    async def scenario():
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

    run(scenario)


def test_claim_before_the_delay_prevents_the_hedge():
    async def scenario():
        hedge = ClaimingAttempt(0.0, 0.0)
        await first_reply(ClaimingAttempt(0.5, 3.0), hedge, 1.0)
        assert not hedge.has_claimed

    run(scenario)


def test_failure_of_the_winner_is_raised():
    async def scenario():
        quick = ClaimingAttempt(0.1, 1.0, make_failure("broke off"))
        for first in (
            make_replying_attempt("late", 9.0),
            make_failing_attempt(make_failure("first"), 1.05),
        ):
            with pytest.raises(BerylcartError, match="broke off"):
                await first_reply(first, quick, 1.0)

    run(scenario)


def test_failure_of_one_attempt_does_not_cancel_the_other():
    async def scenario():
        failed = make_failing_attempt(make_failure("first"), 1.5)
        assert (
            await first_reply(failed, make_replying_attempt("b", 2.0), 1.0)
            == "b"
        )
        failed = make_failing_attempt(make_failure("second"), 0.5)
        assert (
            await first_reply(make_replying_attempt("a", 3.0), failed, 1.0)
            == "a"
        )

    run(scenario)


def test_failures_of_all_are_merged():
    async def scenario():
        both = (
            make_failing_attempt(make_failure("a"), 2.0),
            make_failing_attempt(make_failure("b"), 0.5),
        )
        with pytest.raises(BerylcartError, match="a"):
            await first_reply(*both, 1.0)
        with pytest.raises(BerylcartError, match="b"):
            await first_reply(*both, 1.0, lambda failures: failures[0])

    run(scenario)


def test_hedge_without_permission_does_not_cancel_the_primary():
    async def scenario():
        assert (
            await first_reply(
                make_replying_attempt("a", 3),
                make_replying_attempt(None, 0),
                1,
            )
            == "a"
        )

    run(scenario)


def test_other_exceptions_are_raised_unchanged():
    async def scenario():
        with pytest.raises(BrokenPipeError):
            await first_reply(
                make_replying_attempt("a", 9.0),
                make_failing_attempt(BrokenPipeError(), 0.5),
                1.0,
            )

    run(scenario)

"""Check that a granted claim is settled whatever ends its run."""

import anyio
import pytest
import trio
from berylcart.coordination.claims.answers import StoredAnswer
from berylcart.coordination.claims.results import Found, Granted
from berylcart.coordination.claims.run_once import run_once
from berylcart.state.errors import BerylcartError, Code, Ran
from trio.testing import MockClock

ANSWER = StoredAnswer(Ran.YES, 0, b"booked")


class Keeper:
    """Note how claims were settled."""

    def __init__(self):
        self.finished = []
        self.released = []

    def finish(self, claim_id, answer):
        """Note an outcome."""
        self.finished.append((claim_id, answer))

    def release(self, claim_id):
        """Note a release."""
        self.released.append(claim_id)


def run(scenario):
    """Run a scenario on a clock that jumps over every sleep."""
    return trio.run(scenario, clock=MockClock(autojump_threshold=0))


def settle(run_upstream):
    """Run a granted claim to its end and return its keeper."""
    keeper = Keeper()

    async def scenario():
        with anyio.move_on_after(1):
            await run_once(keeper, Granted("c"), run_upstream)

    run(scenario)
    return keeper


def test_answer_is_finished():
    async def succeed():
        return ANSWER

    assert settle(succeed).finished == [("c", ANSWER)]


def test_cancelled_run_may_have_run():
    keeper = settle(anyio.sleep_forever)
    ((claim_id, answer),) = keeper.finished
    assert (claim_id, answer.ran) == ("c", Ran.UNKNOWN)
    assert keeper.released == []


@pytest.mark.parametrize("ran", list(Ran))
def test_only_a_run_that_never_began_is_released(ran):
    async def fail():
        raise BerylcartError(Code.UPSTREAM_FAILED, "no", ran=ran)

    keeper = Keeper()

    async def scenario():
        with pytest.raises(BerylcartError):
            await run_once(keeper, Granted("c"), fail)

    run(scenario)
    assert bool(keeper.released) is (ran is Ran.NO)
    assert bool(keeper.finished) is (ran is not Ran.NO)


def test_found_runs_nothing():
    async def scenario():
        found = Found(Ran.YES, 0, ANSWER)
        assert await run_once(Keeper(), found, anyio.sleep_forever) is found

    run(scenario)

"""Test that every end of a run finishes or releases its claim."""

import anyio
import pytest
import trio
from berylcart.coordination.claims.answers import StoredAnswer
from berylcart.coordination.claims.results import Granted, PriorResult
from berylcart.coordination.claims.run_once import run_once
from berylcart.state.errors import BerylcartError, Code, Ran
from trio.testing import MockClock

ANSWER = StoredAnswer(Ran.YES, 0, b"booked")


class RecordingCoordinator:
    """Record which claims were finished and released."""

    def __init__(self):
        self.finished = []
        self.released = []

    def finish(self, claim_id, answer):
        """Record an outcome."""
        self.finished.append((claim_id, answer))

    def release(self, claim_id):
        """Record a release."""
        self.released.append(claim_id)


def run(scenario):
    """Run a scenario on a mock clock that skips every sleep."""
    return trio.run(scenario, clock=MockClock(autojump_threshold=0))


def run_granted(run_upstream):
    """Run a granted claim for at most 1 s and return its coordinator."""
    coordinator = RecordingCoordinator()

    async def scenario():
        with anyio.move_on_after(1):
            await run_once(coordinator, Granted("c"), run_upstream)

    run(scenario)
    return coordinator


def test_answer_finishes_the_claim():
    async def succeed():
        return ANSWER

    assert run_granted(succeed).finished == [("c", ANSWER)]


def test_cancelled_run_is_recorded_as_unknown():
    coordinator = run_granted(anyio.sleep_forever)
    ((claim_id, answer),) = coordinator.finished
    assert (claim_id, answer.ran) == ("c", Ran.UNKNOWN)
    assert coordinator.released == []


@pytest.mark.parametrize("ran", list(Ran))
def test_claim_is_released_only_if_ran_is_no(ran):
    async def fail():
        raise BerylcartError(Code.UPSTREAM_FAILED, "no", ran=ran)

    coordinator = RecordingCoordinator()

    async def scenario():
        with pytest.raises(BerylcartError):
            await run_once(coordinator, Granted("c"), fail)

    run(scenario)
    assert bool(coordinator.released) is (ran is Ran.NO)
    assert bool(coordinator.finished) is (ran is not Ran.NO)


def test_prior_result_is_returned_without_running():
    async def scenario():
        found = PriorResult(Ran.YES, 0, ANSWER)
        assert (
            await run_once(RecordingCoordinator(), found, anyio.sleep_forever)
            is found
        )

    run(scenario)

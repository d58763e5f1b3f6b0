"""Run a claimed request once and settle its claim whatever happens."""

from collections.abc import Awaitable, Callable

from berylcart.coordination.claim_answers import StoredAnswer
from berylcart.coordination.claim_results import Found, Granted
from berylcart.coordination.claims import ClaimKeeper
from berylcart.state.errors import BerylcartError, Code, Ran

Run = Callable[[], Awaitable[StoredAnswer]]


def unknown_answer(error: BaseException) -> StoredAnswer:
    """Make the answer to a run whose end nobody saw."""
    code = Code.OUTCOME_UNKNOWN
    if isinstance(error, BerylcartError):
        code = error.code
    return StoredAnswer(Ran.UNKNOWN, int(code), b"")


async def run_once(
    keeper: ClaimKeeper, claimed: Granted | Found, run: Run
) -> Found:
    """Run a granted request, or give what an earlier send led to.

    The run raises BerylcartError with ran=no only when no upstream began;
    then the claim is released. Any other end is recorded as an outcome.
    """
    if isinstance(claimed, Found):
        return claimed
    try:
        answer = await run()
    except BaseException as error:
        settle_failure(keeper, claimed.claim_id, error)
        raise
    keeper.finish(claimed.claim_id, answer)
    return Found(answer.ran, answer.code, answer)


def settle_failure(
    keeper: ClaimKeeper, claim_id: str, error: BaseException
) -> None:
    """Release a claim that did not run, else record what is known."""
    if isinstance(error, BerylcartError) and error.ran is Ran.NO:
        keeper.release(claim_id)
    else:
        keeper.finish(claim_id, unknown_answer(error))

"""Run a claimed request once and settle its claim whatever happens."""

from collections.abc import Awaitable, Callable

from berylcart.coordination.claims.answers import StoredAnswer
from berylcart.coordination.claims.keeper import ClaimKeeper
from berylcart.coordination.claims.results import Found, Granted
from berylcart.state.errors import BerylcartError, Code, Ran

Run = Callable[[], Awaitable[StoredAnswer]]


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
        settle_failure(keeper, claimed.claim_id, ran_of(error), error)
        raise
    keeper.finish(claimed.claim_id, answer)
    return Found(answer.ran, answer.code, answer)


def ran_of(error: BaseException) -> Ran:
    """Say whether a run that ended in an error ran; others may have run.

    >>> ran_of(BerylcartError(Code.OVERLOADED, "full")).value
    'no'
    """
    return error.ran if isinstance(error, BerylcartError) else Ran.UNKNOWN


def settle_failure(
    keeper: ClaimKeeper, claim_id: str, ran: Ran, error: BaseException
) -> None:
    """Release a claim that did not run, else record what is known."""
    if ran is Ran.NO:
        keeper.release(claim_id)
        return
    code = Code.OUTCOME_UNKNOWN
    if isinstance(error, BerylcartError):
        code = error.code
    keeper.finish(claim_id, StoredAnswer(ran, int(code), b""))

"""Run a claimed request once and record how it ended."""

from collections.abc import Awaitable, Callable

from berylcart.coordination.claims.answers import StoredAnswer
from berylcart.coordination.claims.coordinator import ClaimCoordinator
from berylcart.coordination.claims.results import Granted, PriorResult
from berylcart.state.errors import BerylcartError, Code, Ran

RunRequest = Callable[[], Awaitable[StoredAnswer]]


async def run_once(
    coordinator: ClaimCoordinator,
    claimed: Granted | PriorResult,
    run: RunRequest,
) -> PriorResult:
    """Run a granted request, or return the result of an earlier send.

    run() must raise BerylcartError with ran=no only if no upstream began the
    request; the claim is then released. Any other end is appended to the log
    as an outcome.
    """
    if isinstance(claimed, PriorResult):
        return claimed
    try:
        answer = await run()
    except BaseException as error:
        settle_failure(coordinator, claimed.claim_id, ran_status(error), error)
        raise
    coordinator.finish(claimed.claim_id, answer)
    return PriorResult(answer.ran, answer.code, answer)


def ran_status(error: BaseException) -> Ran:
    """Return whether a failed request ran, UNKNOWN for foreign errors.

    >>> ran_status(BerylcartError(Code.OVERLOADED, "full")).value
    'no'
    """
    return error.ran if isinstance(error, BerylcartError) else Ran.UNKNOWN


def settle_failure(
    coordinator: ClaimCoordinator,
    claim_id: str,
    ran: Ran,
    error: BaseException,
) -> None:
    """Release the claim of a request that did not run, else finish it."""
    if ran is Ran.NO:
        coordinator.release(claim_id)
        return
    code = Code.OUTCOME_UNKNOWN
    if isinstance(error, BerylcartError):
        code = error.code
    coordinator.finish(claim_id, StoredAnswer(ran, int(code), b""))
